package belief

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// testChain makes a chain of checkpoints only, which nests with the others of
// the same family up to a fork.
func testChain(family, fork, length int) prefix.Chain {
	chain := make(prefix.Chain, length)
	for index := range chain {
		branch := 0
		if index >= 4 {
			branch = fork + 1
		}
		chain[index] = prefix.Hash((family*1_000_000 + branch*1_000 + index + 1) * BlocksPerCheckpoint)
	}
	return chain
}

// oracleEngine is what one engine holds when nothing is evicted.
type oracleEngine struct {
	incarnation identity.Incarnation
	blocks      map[prefix.Hash]bool
}

func (o oracleEngine) depth(chain prefix.Chain) int {
	for index, hash := range chain {
		if !o.blocks[hash] {
			return index
		}
	}
	return len(chain)
}

// TestBeliefOfRestartsAndEvents drives the index with placements, answers,
// restarts and events of old incarnations, and compares it with plain sets.
func TestBeliefOfRestartsAndEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := New(Options{})
		oracles := map[identity.BackendID]oracleEngine{}
		engines := rapid.SampledFrom([]identity.BackendID{"e1", "e2", "e3"})
		for _, id := range []identity.BackendID{"e1", "e2", "e3"} {
			index.SetEngine(id, 1)
			oracles[id] = oracleEngine{incarnation: 1, blocks: map[prefix.Hash]bool{}}
		}
		sequence := uint64(0)
		drawChain := func(t *rapid.T) prefix.Chain {
			return testChain(rapid.IntRange(1, 2).Draw(t, "family"), rapid.IntRange(0, 2).Draw(t, "fork"), rapid.IntRange(1, 9).Draw(t, "length"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				id := engines.Draw(t, "engine")
				chain := drawChain(t)
				slot := index.SetEngine(id, oracles[id].incarnation)
				points := AppendCheckpoints(nil, chain)
				expected := oracles[id].depth(chain)
				placement := index.Place(points, slot)
				assert.Equal(t, placement.Expected.Blocks, expected)
				if rapid.Bool().Draw(t, "fails") {
					index.Forget(points, placement)
					return
				}
				reporter := oracles[id].incarnation - identity.Incarnation(rapid.IntRange(0, 1).Draw(t, "stale"))
				index.Confirm(points, placement, reporter, expected)
				if reporter != oracles[id].incarnation {
					index.Forget(points, placement)
					return
				}
				for _, hash := range chain {
					oracles[id].blocks[hash] = true
				}
			},
			"restart": func(t *rapid.T) {
				id := engines.Draw(t, "engine")
				oracles[id] = oracleEngine{incarnation: oracles[id].incarnation + 1, blocks: map[prefix.Hash]bool{}}
				index.SetEngine(id, oracles[id].incarnation)
			},
			"stored": func(t *rapid.T) {
				id := engines.Draw(t, "engine")
				chain := drawChain(t)
				sequence++
				late := identity.Incarnation(rapid.IntRange(0, 1).Draw(t, "late"))
				batch := enginewire.CacheEventBatch{Sequence: sequence, Incarnation: oracles[id].incarnation - late}
				blocks := make([]uint64, len(chain))
				for position, hash := range chain {
					blocks[position] = uint64(hash)
					if late == 0 {
						oracles[id].blocks[hash] = true
					}
				}
				batch.Events = []enginewire.CacheEvent{{Kind: enginewire.BlockStored, Blocks: blocks}}
				index.ApplyEvents(index.SetEngine(id, oracles[id].incarnation), batch)
			},
			"": func(t *rapid.T) {
				chain := drawChain(t)
				points := AppendCheckpoints(nil, chain)
				total := 0
				for _, match := range index.AppendMatches(nil, points) {
					assert.Assert(t, match.Blocks > 0)
				}
				for id, oracle := range oracles {
					slot := index.SetEngine(id, oracle.incarnation)
					assert.Equal(t, index.Depth(points, slot).Blocks, oracle.depth(chain))
					assert.Equal(t, index.EngineEntries(slot), len(oracle.blocks))
					total += len(oracle.blocks)
				}
				assert.Equal(t, index.Entries(), total)
			},
		})
	})
}

// TestMatchesFindDeepestEngines compares a match with asking each engine.
func TestMatchesFindDeepestEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := New(Options{})
		for number := range 8 {
			slot := index.SetEngine(identity.BackendID(fmt.Sprint("e", number)), 1)
			chain := testChain(1, rapid.IntRange(0, 2).Draw(t, "fork"), rapid.IntRange(0, 9).Draw(t, "length"))
			index.Place(AppendCheckpoints(nil, chain), slot)
		}
		points := AppendCheckpoints(nil, testChain(1, 0, 9))
		found := map[Slot]int{}
		for _, match := range index.AppendMatches(nil, points) {
			_, repeated := found[match.Slot]
			assert.Assert(t, !repeated)
			found[match.Slot] = match.Blocks
		}
		for slot := range Slot(8) {
			assert.Equal(t, found[slot], index.Depth(points, slot).Blocks)
		}
	})
}

// TestBeliefFollowsEviction lets an engine with a least-recently-used cache take
// another daemon's work unseen. The belief must come back to the engine's truth
// once answers report fewer cached tokens than expected.
func TestBeliefFollowsEviction(t *testing.T) {
	index := New(Options{MaxEntries: 1000})
	slot := index.SetEngine("e1", 1)
	// Room for 40 entries beside what running requests use.
	index.SetCapacity(slot, (40*BlocksPerCheckpoint*parts+cachedParts-1)/cachedParts)
	for family := range 10 {
		points := AppendCheckpoints(nil, testChain(family+1, 0, 8))
		index.Confirm(points, index.Place(points, slot), 1, 0)
	}
	assert.Equal(t, index.EngineEntries(slot), 40)
	assert.Equal(t, index.Depth(AppendCheckpoints(nil, testChain(5, 0, 8)), slot).Blocks, 0)

	// The engine has evicted family 8 and all that is older.
	points := AppendCheckpoints(nil, testChain(8, 0, 8))
	placement := index.Place(points, slot)
	assert.Equal(t, placement.Expected.Blocks, 8)
	index.Confirm(points, placement, 1, -1)
	assert.Equal(t, index.Depth(AppendCheckpoints(nil, testChain(7, 0, 8)), slot).Blocks, 8)
	longer := AppendCheckpoints(nil, append(testChain(9, 0, 8), 9_999*BlocksPerCheckpoint))
	placement = index.Place(longer, slot)
	placement.Expected.Blocks += 2 * BlocksPerCheckpoint
	index.Confirm(longer, placement, 1, 0)
	assert.Equal(t, index.Depth(AppendCheckpoints(nil, testChain(7, 0, 8)), slot).Blocks, 0)
	assert.Equal(t, index.Depth(AppendCheckpoints(nil, testChain(10, 0, 8)), slot).Blocks, 8)
}

// TestIndexStaysBounded fills an index far beyond its bound.
func TestIndexStaysBounded(t *testing.T) {
	const bound = 500
	index := New(Options{MaxEntries: bound})
	for number := range 2000 {
		slot := index.SetEngine(identity.BackendID(fmt.Sprint("e", number%7)), 1)
		index.Place(AppendCheckpoints(nil, testChain(number+1, 0, 9)), slot)
		assert.Assert(t, index.Entries() <= bound)
	}
	assert.Equal(t, len(index.byPair), bound)
}

// randomChain makes a chain as a prompt's hashes look.
func randomChain(random *rand.Rand, blocks int) prefix.Chain {
	chain := make(prefix.Chain, blocks)
	for index := range chain {
		chain[index] = prefix.Hash(random.Uint64())
	}
	return chain
}

// BenchmarkIndexMemory reports the index's heap bytes per cached block.
func BenchmarkIndexMemory(b *testing.B) {
	const chains, blocks = 1000, 2048
	for b.Loop() {
		random := rand.New(rand.NewPCG(1, 2))
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		index := New(Options{})
		for number := range chains {
			slot := index.SetEngine(identity.BackendID(fmt.Sprint("e", number%100)), 1)
			index.Place(AppendCheckpoints(nil, randomChain(random, blocks)), slot)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(chains*blocks), "B/block")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(index.Entries()), "B/entry")
		runtime.KeepAlive(index)
	}
}
