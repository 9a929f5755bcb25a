package regionchoice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

var start = time.Unix(1_000_000, 0)

// drawRegions draws 1, 2 or 6 regions. The first is the local one, if there is any.
func drawRegions(t *rapid.T) []Region {
	count := rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "regions")
	own := rapid.IntRange(0, 9).Draw(t, "own") > 0
	var regions []Region
	for number := range count {
		region := Region{
			RegionCapacity: backendpool.RegionCapacity{Region: identity.Region(fmt.Sprint("r", number)), Backends: float64(rapid.IntRange(0, 30).Draw(t, "back ends"))},
			Local:          own && number == 0,
			Known:          rapid.Bool().Draw(t, "known"),
			UncachedTokens: rapid.IntRange(0, 8000).Draw(t, "lacking"),
		}
		region.Reading = float64(rapid.IntRange(0, 24000).Draw(t, "reading")) * region.Backends
		region.InFlight = float64(rapid.IntRange(0, 24).Draw(t, "in flight")) * region.Backends
		region.Free = float64(rapid.IntRange(0, 50).Draw(t, "free"))
		regions = append(regions, region)
	}
	return regions
}

// TestOrderByRoomAndCost compares Order with a reference model: remote regions appear only with
// known free capacity or if there is no local region, and costs are in ascending order.
func TestOrderByRoomAndCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := drawRegions(t)
		hasLocal := regions[0].Local
		found := Order(regions, true)
		expected := 0
		for _, region := range regions {
			may := region.Local || !hasLocal || (region.Known && region.Free > 0)
			if may {
				expected++
			}
			assert.Equal(t, may, slices.Contains(found, region))
		}
		assert.Equal(t, len(found), expected)
		for index := 1; index < len(found); index++ {
			assert.Assert(t, oracleCost(found[index-1]) <= oracleCost(found[index]))
		}
	})
}

// oracleCost is an independent implementation of Region.cost.
func oracleCost(region Region) float64 {
	cost := 2 * float64(region.UncachedTokens)
	if region.Backends > 0 {
		cost += region.Reading/region.Backends + 60*region.InFlight/region.Backends
	}
	if !region.Local {
		cost += 3200
	}
	return cost
}

// TestLocalIsCheapestAgreesWithOrder checks that, whatever the load elsewhere, the local region is
// first in the order whenever LocalIsCheapest is true.
func TestLocalIsCheapestAgreesWithOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := drawRegions(t)
		if LocalIsCheapest(regions) {
			assert.Assert(t, Order(regions, true)[0].Local)
		}
	})
}

// TestSingleRegionIsAlwaysChosen checks that a request stays local if there is only one region.
func TestSingleRegionIsAlwaysChosen(t *testing.T) {
	only := []Region{{Local: true, UncachedTokens: 9000}}
	assert.Assert(t, LocalIsCheapest(only))
	assert.Equal(t, len(Order(only, false)), 1)
}

// TestRequestGoesElsewhereWhenQueueingCostsMore checks that a request goes to another region once
// the queue in the local one costs more than the round trip, if both have the same prompts cached.
func TestRequestGoesElsewhereWhenQueueingCostsMore(t *testing.T) {
	for _, example := range []struct {
		waiting float64
		first   identity.Region
	}{{0, "own"}, {crossRegionCost - 1, "own"}, {crossRegionCost + 1, "other"}} {
		regions := []Region{
			{RegionCapacity: backendpool.RegionCapacity{Region: "own", Backends: 1, Reading: example.waiting}, Local: true, Known: true},
			{RegionCapacity: backendpool.RegionCapacity{Region: "other", Backends: 1}, Known: true, Free: 1},
		}
		assert.Equal(t, Order(regions, true)[0].Region, example.first, "%v tokens wait", example.waiting)
	}
}

// TestUnlimitedRequestAvoidsFullRegion checks that a request without limits goes to another region
// if all local slots are in use, even if the round trip costs more than waiting.
func TestUnlimitedRequestAvoidsFullRegion(t *testing.T) {
	regions := []Region{
		{RegionCapacity: backendpool.RegionCapacity{Region: "own", Backends: 2, Slots: 12, InFlight: 12}, Local: true, Known: true},
		{RegionCapacity: backendpool.RegionCapacity{Region: "other", Backends: 2, Slots: 12}, Known: true, Free: 12},
	}
	assert.Equal(t, Order(regions, false)[0].Region, identity.Region("other"))
	assert.Equal(t, Order(regions, true)[0].Region, identity.Region("own"))
}

// TestDaemonsTogetherSendNoMoreThanTheRoom has all daemons outside a region use their full credit
// after each capacity report. They must not exceed the reported capacity by more than one request
// each, nor on average at all, so that there is no thundering herd.
func TestDaemonsTogetherSendNoMoreThanTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outside := rapid.IntRange(1, 80).Draw(t, "outside")
		free := rapid.Float64Range(0, 200).Draw(t, "free")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var credits []*Credit
		for range outside {
			credits = append(credits, NewCredit(random.Float64))
		}
		const reports = 200
		total := 0
		for report := range reports {
			reportedAt, sent := start.Add(time.Duration(report)*renewInterval), 0
			for _, credit := range credits {
				for credit.Take("s", "r", reportedAt, free, outside) {
					sent++
				}
				assert.Assert(t, !credit.Take("s", "r", reportedAt.Add(renewInterval/2), free, outside), "credit renewed too early")
			}
			assert.Assert(t, float64(sent) <= free+float64(outside))
			total += sent
		}
		assert.Assert(t, math.Abs(float64(total)-reports*free) <= float64(outside)+0.001, "%d sent on %v", total, reports*free)
	})
}

// TestFullRegionGrantsNoCredit checks that nothing is sent to a region without free capacity.
func TestFullRegionGrantsNoCredit(t *testing.T) {
	credit := NewCredit(func() float64 { return 0 })
	assert.Assert(t, !credit.Take("s", "r", start, 0, 1))
	assert.Assert(t, !credit.Take("s", "r", start, 0, 0))
}

func benchmarkOrder(b *testing.B, count int) {
	regions := make([]Region, count)
	for index := range regions {
		regions[index] = Region{RegionCapacity: backendpool.RegionCapacity{Region: identity.Region(fmt.Sprint("r", index)), Backends: 30, Slots: 720, Reading: float64(index * 1000)}, Local: index == 0, Known: true, Free: 100, UncachedTokens: 3780}
	}
	credit := NewCredit(rand.Float64)
	for number := range b.N {
		ordered := Order(regions, true)
		credit.Take("s", ordered[len(ordered)-1].Region, start.Add(time.Duration(number)*time.Millisecond), 100, 50)
	}
}

// BenchmarkOrder3 and BenchmarkOrder6 measure the choice among 3 and 6 regions including the
// credit. It takes 0.69 us and 1.8 us.
func BenchmarkOrder3(b *testing.B) { benchmarkOrder(b, 3) }
func BenchmarkOrder6(b *testing.B) { benchmarkOrder(b, 6) }
