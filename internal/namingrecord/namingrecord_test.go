package namingrecord

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/port/porttest"
)

// belief is what a daemon knows of namings.
type belief struct {
	reads   bool
	seen    []directory.SeenVersion
	learned []directory.SeenVersion
}

func (b *belief) IsReader() bool                                                  { return b.reads }
func (b *belief) SeenVersions() []directory.SeenVersion                           { return b.seen }
func (b *belief) AddSeenVersions(_ context.Context, told []directory.SeenVersion) { b.learned = told }

func seen(version uint64, at time.Duration) directory.SeenVersion {
	return directory.SeenVersion{Model: "m", Version: version, StoreClock: at}
}

func keeperOf(known *belief, table port.TableService) *Keeper {
	return New(Options{Table: table, Directory: known, Log: logging.Discard()})
}

// steps has a keeper look a few times.
func steps(t *testing.T, keeper *Keeper) {
	t.Helper()
	for range 3 {
		assert.NilError(t, keeper.sync(context.Background()))
	}
}

// rowOf returns what the row holds.
func rowOf(t *testing.T, service *porttest.Service) []directory.SeenVersion {
	t.Helper()
	rows := service.Table.Read([]string{RowKey})
	assert.Equal(t, len(rows), 1)
	var held []directory.SeenVersion
	assert.NilError(t, msgpack.Unmarshal(rows[0].Value, &held))
	return held
}

// TestNextReaderLearnsWhatTheLastOneKept writes what a reader saw, and gives it to one that guesses.
func TestNextReaderLearnsWhatTheLastOneKept(t *testing.T) {
	service := porttest.NewService()
	steps(t, keeperOf(&belief{reads: true, seen: []directory.SeenVersion{seen(1, 0), seen(2, 7*time.Second)}}, service))
	starter := &belief{reads: true, seen: []directory.SeenVersion{seen(2, 0)}}
	steps(t, keeperOf(starter, service))
	want := []directory.SeenVersion{seen(1, 0), seen(2, 7*time.Second)}
	assert.DeepEqual(t, starter.learned, want)
	assert.DeepEqual(t, rowOf(t, service), want)
}

// TestOnlyTheReaderKeepsTheRow costs the others no call.
func TestOnlyTheReaderKeepsTheRow(t *testing.T) {
	service := porttest.NewService()
	steps(t, keeperOf(&belief{seen: []directory.SeenVersion{seen(2, time.Second)}}, service))
	assert.Equal(t, len(service.Table.Read([]string{RowKey})), 0)
}

// TestMalformedRowIsWrittenAnew learns nothing of it.
func TestMalformedRowIsWrittenAnew(t *testing.T) {
	service := porttest.NewService()
	_, written := service.Table.Commit(port.Transaction{Writes: []port.Write{{Key: RowKey, Value: []byte("nonsense")}}})
	assert.Assert(t, written)
	known := &belief{reads: true, seen: []directory.SeenVersion{seen(2, time.Second)}}
	steps(t, keeperOf(known, service))
	assert.Assert(t, known.learned == nil)
	assert.DeepEqual(t, rowOf(t, service), known.seen)
}

// FuzzRow reads whatever anybody may have left in the row: nothing panics, and what is written next is in order.
func FuzzRow(f *testing.F) {
	for _, held := range [][]directory.SeenVersion{nil, {seen(2, time.Second), seen(1, 0), seen(2, 0)}, {seen(9, -time.Hour)}} {
		value, err := msgpack.Marshal(held)
		assert.NilError(f, err)
		f.Add(value)
	}
	f.Add([]byte("nonsense"))
	f.Fuzz(func(t *testing.T, value []byte) {
		service := porttest.NewService()
		_, written := service.Table.Commit(port.Transaction{Writes: []port.Write{{Key: RowKey, Value: value}}})
		assert.Assert(t, written)
		known := &belief{reads: true, seen: []directory.SeenVersion{seen(3, time.Second)}}
		keeper := keeperOf(known, service)
		steps(t, keeper)
		assert.Assert(t, slices.IsSortedFunc(keeper.held, compare))
		assert.Assert(t, slices.ContainsFunc(keeper.held, func(each directory.SeenVersion) bool { return each.Model == "m" }))
	})
}

// TestTwoReadersKeepBoth has a second daemon write in between.
func TestTwoReadersKeepBoth(t *testing.T) {
	service := porttest.NewService()
	first := &belief{reads: true, seen: []directory.SeenVersion{seen(1, time.Second)}}
	keeper := keeperOf(first, service)
	steps(t, keeper)
	steps(t, keeperOf(&belief{reads: true, seen: []directory.SeenVersion{seen(2, 2*time.Second)}}, service))
	first.seen = append(first.seen, seen(3, 3*time.Second))
	steps(t, keeper)
	assert.DeepEqual(t, rowOf(t, service), []directory.SeenVersion{seen(1, time.Second), seen(2, 2*time.Second), seen(3, 3*time.Second)})
}

// TestLostCallsAreMadeAgain ends with the row as it should be, whichever answers are lost.
func TestLostCallsAreMadeAgain(t *testing.T) {
	service := porttest.NewService()
	service.LoseEvery(2)
	known := &belief{reads: true, seen: []directory.SeenVersion{seen(1, time.Second)}}
	keeper := keeperOf(known, service)
	for range 8 {
		_ = keeper.sync(context.Background())
	}
	assert.DeepEqual(t, rowOf(t, service), known.seen)
}

// TestMergeKeepsTimes holds merging against a map: a time is never replaced, a guess by any time, and the
// newest versions of each model stay.
func TestMergeKeepsTimes(t *testing.T) {
	type version struct {
		model  identity.ModelName
		number uint64
	}
	list := rapid.Custom(func(t *rapid.T) []directory.SeenVersion {
		drawn := map[version]directory.SeenVersion{}
		for range rapid.IntRange(0, 12).Draw(t, "count") {
			each := directory.SeenVersion{
				Model:      identity.ModelName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")),
				Version:    rapid.Uint64Range(1, 14).Draw(t, "version"),
				StoreClock: time.Duration(rapid.IntRange(0, 3).Draw(t, "clock")),
			}
			drawn[version{each.Model, each.Version}] = each
		}
		var sorted []directory.SeenVersion
		for _, each := range drawn {
			sorted = append(sorted, each)
		}
		slices.SortFunc(sorted, compare)
		return newest(sorted)
	})
	rapid.Check(t, func(t *rapid.T) {
		held, known := list.Draw(t, "held"), list.Draw(t, "seen")
		before := slices.Clone(held)
		want := map[version]time.Duration{}
		for _, each := range slices.Concat(held, known) {
			at := version{each.Model, each.Version}
			if want[at] == 0 {
				want[at] = each.StoreClock
			}
		}
		merged := merge(held, known)
		assert.DeepEqual(t, held, before)
		perModel := map[identity.ModelName]int{}
		for _, each := range merged {
			at := version{each.Model, each.Version}
			assert.Equal(t, each.StoreClock, want[at])
			delete(want, at)
			perModel[each.Model]++
		}
		for left := range want { // what was left out is older than all that stayed
			assert.Equal(t, perModel[left.model], keptVersions)
			for _, each := range merged {
				assert.Assert(t, each.Model != left.model || each.Version > left.number)
			}
		}
	})
}
