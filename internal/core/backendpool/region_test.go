package backendpool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// regionMap returns a map of regions with two zones each; the first zone is "0-a".
func regionMap(regions int) distance.Map {
	made := map[identity.Zone]identity.Region{}
	for region := range regions {
		for _, zone := range []string{"a", "b"} {
			made[identity.Zone(fmt.Sprint(region, "-", zone))] = identity.Region(fmt.Sprint("region-", region))
		}
	}
	return distance.NewMap(made)
}

// spreadEngines returns back ends spread over the zones of some regions.
func spreadEngines(count, regions int) []Backend {
	list := engines(count)
	for index := range list {
		list[index].Zone = identity.Zone(fmt.Sprint(index%regions, "-", []string{"a", "b"}[index/regions%2]))
		list[index].Slots = 4
	}
	return list
}

func spreadPool(count, regions int) (*Pool, []Backend) {
	pool := New("0-a")
	pool.SetDistances(regionMap(regions))
	list := spreadEngines(count, regions)
	pool.Update(list)
	return pool, list
}

// TestPicksStayInRegion draws queries for regions. Picked and sampled back ends must be in the region, and one
// must be found if there is one.
func TestPicksStayInRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "regions")
		count := rapid.IntRange(0, 14).Draw(t, "back ends")
		pool, list := spreadPool(count, regions)
		distances := regionMap(regions)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			region := identity.Region(fmt.Sprint("region-", rapid.IntRange(0, regions-1).Draw(t, "region")))
			query := Query{Service: "llm", Model: "m", Home: 7, SharedTokens: 100, Region: region}
			if rapid.Bool().Draw(t, "limits") {
				query.Limits = Limits{EnforceSlots: true}
			}
			ticket, shortage := pool.PickOrExplain(start, query)
			listed := 0
			for _, backend := range list {
				if distances.Region(backend.Zone) == region {
					listed++
				}
			}
			if ticket == nil {
				assert.Equal(t, shortage.Listed, listed)
				assert.Assert(t, shortage.Busy == listed, "%+v", shortage)
				continue
			}
			assert.Equal(t, distances.Region(ticket.Backend.Zone), region)
			for _, key := range pool.Sample(start, query, nil) {
				zone, known := pool.Zone(key)
				assert.Assert(t, known && distances.Region(zone) == region)
			}
		}
	})
}

// TestRegionCapacitiesAddUp compares the capacities of regions with a sum over all requests in flight.
func TestRegionCapacitiesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "regions")
		pool, list := spreadPool(rapid.IntRange(1, 14).Draw(t, "back ends"), regions)
		distances := regionMap(regions)
		others := map[uint64]Load{}
		expected := map[identity.Region]RegionCapacity{}
		sum := func(backend Backend, add RegionCapacity) {
			region := distances.Region(backend.Zone)
			room := expected[region]
			expected[region] = RegionCapacity{
				Region: region, Backends: room.Backends + add.Backends, Slots: room.Slots + add.Slots, InFlight: room.InFlight + add.InFlight,
				Reading: room.Reading + add.Reading, Tokens: room.Tokens + add.Tokens,
			}
		}
		for _, backend := range list {
			load := Load{Key: rendezvous.Key(string(backend.ID)), InFlight: float64(rapid.IntRange(0, 3).Draw(t, "others")), Reading: 50}
			others[load.Key] = load
			sum(backend, RegionCapacity{Backends: 1, Slots: 4, InFlight: load.InFlight, Reading: 50})
		}
		pool.SetOthersLoad(others, true)
		for range rapid.IntRange(0, 20).Draw(t, "requests") {
			ticket := pool.Pick(start, Query{Service: "llm", Model: "m", OwnTokens: 10})
			sum(ticket.Backend, RegionCapacity{InFlight: 1, Reading: 10, Tokens: 10})
		}
		rooms := pool.RegionCapacities(start, "llm")
		assert.Equal(t, len(rooms), len(expected))
		for _, room := range rooms {
			assert.DeepEqual(t, room, expected[room.Region])
		}
	})
}

// TestUncachedIsWhatNoBackEndHolds compares the uncached tokens of regions with a reference computed from their back
// ends.
func TestUncachedIsWhatNoBackEndHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "regions")
		pool, list := spreadPool(rapid.IntRange(1, 14).Draw(t, "back ends"), regions)
		distances := regionMap(regions)
		cached := Cached{{Tokens: 900}, {Tokens: 400}}
		least := map[identity.Region]int{}
		for _, backend := range list {
			region, lacks := distances.Region(backend.Zone), 1000
			for index := range cached {
				if rapid.IntRange(0, 3).Draw(t, "holds") == 0 {
					cached[index].Read = append(cached[index].Read, rendezvous.Key(string(backend.ID)))
					lacks = min(lacks, 1000-cached[index].Tokens)
				}
			}
			if before, found := least[region]; !found || lacks < before {
				least[region] = lacks
			}
		}
		found := pool.UncachedByRegion(start, Query{Service: "llm", Model: "m", SharedTokens: 1000, Cached: func(uint64) Cached { return cached }})
		assert.Equal(t, len(found), len(least))
		for _, uncached := range found {
			assert.Equal(t, uncached.Tokens, least[uncached.Region])
		}
	})
}

// TestLeavingBackEndsDontCountTowardRegion checks that leaving and draining back ends don't count toward a region.
func TestLeavingBackEndsDontCountTowardRegion(t *testing.T) {
	pool, list := spreadPool(4, 2)
	pool.SetLeaving(Leaving{Now: []uint64{rendezvous.Key(string(list[0].ID))}})
	list[2].Draining = true
	pool.Update(list)
	assert.Equal(t, len(pool.RegionCapacities(start, "llm")), 1)
	uncached := pool.UncachedByRegion(start, Query{Service: "llm", Model: "m"})
	assert.DeepEqual(t, uncached, []RegionUncached{{Region: "region-1"}})
}

// TestSourceIsNear checks that a cache is transferred from the same zone if possible, else from the region, and
// from another region only if no nearer back end has any of it.
func TestSourceIsNear(t *testing.T) {
	pool, list := spreadPool(8, 2)
	key := func(number int) uint64 { return rendezvous.Key(string(list[number].ID)) }
	// Back ends 0 and 4 are in the zone 0-a, 2 and 6 in 0-b, those of odd numbers elsewhere.
	for _, example := range []struct {
		holders []int
		source  []int
	}{
		{[]int{1, 2, 4}, []int{4}},
		{[]int{1, 2, 6}, []int{2, 6}},
		{[]int{1, 3}, []int{1, 3}},
	} {
		cached := Cached{{Tokens: 900}}
		for _, holder := range example.holders {
			cached[0].Read = append(cached[0].Read, key(holder))
		}
		ticket := pool.Pick(start, Query{
			Service: "llm", Model: "m", SharedTokens: 900, Region: "region-0", CandidateKeys: []uint64{key(0)},
			Cached: func(uint64) Cached { return cached },
		})
		holder := ticket.Source.Holder
		assert.Assert(t, holder != nil)
		assert.Assert(t, slices.ContainsFunc(example.source, func(number int) bool { return list[number].ID == holder.ID }), "%v of %v", holder.ID, example)
	}
}

// TestFarSourceMustAddMost checks that a longer prefix is transferred from another region although the own one has a
// shorter one, if the difference is most of the transfer.
func TestFarSourceMustAddMost(t *testing.T) {
	pool, list := spreadPool(8, 2)
	key := func(number int) uint64 { return rendezvous.Key(string(list[number].ID)) }
	for _, example := range []struct {
		deep, first, held int
		far               bool
	}{{900, 400, 0, true}, {900, 500, 0, false}, {900, 500, 500, true}, {900, 900, 0, false}} {
		cached := Cached{{Tokens: example.deep, Read: []uint64{key(1)}}, {Tokens: example.first, Read: []uint64{key(2)}}}
		if example.first == example.deep {
			cached = Cached{{Tokens: example.deep, Read: []uint64{key(1), key(2)}}}
		}
		if example.held > 0 {
			cached[1].Read = append(cached[1].Read, key(0))
		}
		ticket := pool.Pick(start, Query{
			Service: "llm", Model: "m", SharedTokens: 900, Region: "region-0", CandidateKeys: []uint64{key(0)},
			Cached: func(uint64) Cached { return cached },
		})
		assert.Assert(t, ticket.Source.Holder != nil)
		assert.Equal(t, ticket.Source.Holder.ID == list[1].ID, example.far, "%+v", example)
	}
}

// TestHolderInOtherRegionDoesNotAttract checks that prefixes cached in another region count as uncached, unless
// transfers from there are fast.
func TestHolderInOtherRegionDoesNotAttract(t *testing.T) {
	for _, far := range []bool{false, true} {
		pool, list := spreadPool(2, 2)
		cached := Cached{{Tokens: 900, Read: []uint64{rendezvous.Key(string(list[1].ID))}}}
		query := Query{Service: "llm", Model: "m", SharedTokens: 900, Region: "region-0", FastCrossRegionMoves: far, Cached: func(uint64) Cached { return cached }}
		ticket := pool.Pick(start, query)
		expected := unknownElsewhereCost * 900.0
		if far {
			expected = moveCost * 900
		}
		assert.Equal(t, ticket.work, expected)
		assert.Equal(t, len(cached[0].Read), 1, "what was asked for isn't changed")
	}
}

// TestFreeIsLimitedByScarcestResource checks that free capacity is limited by slots, memory and prefill work.
func TestFreeIsLimitedByScarcestResource(t *testing.T) {
	room := RegionCapacity{Backends: 2, Slots: 8, InFlight: 3, Reading: 1000, Tokens: 2000}
	assert.Equal(t, room.Free(Limits{EnforceSlots: true}, 500), 5.0)
	assert.Equal(t, room.Free(Limits{EnforceSlots: true, Tokens: 2000}, 500), 4.0)
	assert.Equal(t, room.Free(Limits{EnforceSlots: true, Reading: 1000}, 500), 2.0)
	assert.Equal(t, room.Free(Limits{EnforceSlots: true, Reading: 501}, 500), 2.0, "each takes one more")
	assert.Equal(t, room.Free(Limits{EnforceSlots: true, Reading: 500}, 500), 0.0)
	assert.Equal(t, room.Free(Limits{Reading: 400}, 500), 0.0)
	assert.Equal(t, room.Free(Limits{}, 0), 5.0)
}

// TestFarRegionDelayCountsAgainstDeadline checks that the latency to another region counts against a request's
// start deadline.
func TestFarRegionDelayCountsAgainstDeadline(t *testing.T) {
	pool, _ := spreadPool(2, 2)
	bound := start.Add(minStartDelay + farRegionDelay)
	query := Query{Service: "llm", Model: "m", BeginBy: func(uint64) time.Time { return bound }}
	query.Region = "region-0"
	assert.Assert(t, pool.Pick(start, query) != nil)
	query.Region = "region-1"
	assert.Assert(t, pool.Pick(start, query) == nil)
}

// BenchmarkRegions measures the added cost of a choice with three regions: the uncached tokens and the capacity of
// each, for 240 back ends of which 30 have the prompt cached. It takes 16 us.
func BenchmarkRegions(b *testing.B) {
	pool, list := spreadPool(240, 3)
	level := Level{Tokens: 3780}
	for _, backend := range list[:30] {
		level.Read = append(level.Read, rendezvous.Key(string(backend.ID)))
	}
	query := Query{Service: "llm", Model: "m", SharedTokens: 3780, Cached: func(uint64) Cached { return Cached{level} }}
	for b.Loop() {
		pool.UncachedByRegion(start, query)
		pool.RegionCapacities(start, "llm")
	}
}

// TestBackEndOfAnUnknownZoneCountsAsNear checks that a back end in a zone that the settings don't list yet counts
// as in the daemon's own region everywhere.
func TestBackEndOfAnUnknownZoneCountsAsNear(t *testing.T) {
	pool := New("a")
	pool.SetDistances(distance.NewMap(map[identity.Zone]identity.Region{"a": "r1", "b": "r2"}))
	pool.Update([]Backend{
		{ID: "near", Service: "s", Zone: "a", Address: "1", Slots: 1}, {ID: "far", Service: "s", Zone: "b", Address: "2", Slots: 1},
		{ID: "new", Service: "s", Zone: "c", Address: "3", Slots: 1},
	})
	now := time.Now()
	assert.Equal(t, len(pool.UncachedByRegion(now, Query{Service: "s"})), 2)
	assert.Equal(t, len(pool.SampleRegion("r1", 10)), 2)
	for _, room := range pool.RegionCapacities(now, "s") {
		assert.Equal(t, room.Slots, map[identity.Region]float64{"r1": 2, "r2": 1}[room.Region])
	}
	assert.Equal(t, pool.RegionOf("c"), identity.Region("r1"))
	for range 2 {
		assert.Assert(t, pool.Pick(now, Query{Service: "s", Region: "r1", Limits: Limits{Tokens: 100}}) != nil)
	}
}
