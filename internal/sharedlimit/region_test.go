package sharedlimit

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quota"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
)

// crossRegionDelay is the one-way delay of a datagram to another region.
const crossRegionDelay = 20 * time.Millisecond

// assignRegions assigns each daemon a region by its number, sets the network delays accordingly and restarts the
// daemons.
func (f *fleet) assignRegions(regions int) func(address string) int {
	region := func(address string) int {
		var number int
		_, _ = fmt.Sscanf(address, "10.0.0.%d:", &number) // addresses of fleets are of this form
		return number % regions
	}
	f.region = func(address string) identity.Region { return identity.Region(fmt.Sprint(region(address))) }
	for _, daemon := range f.daemons {
		daemon.start()
	}
	f.network.SetWay(func(from, to string) time.Duration {
		if region(from) != region(to) {
			return crossRegionDelay
		}
		return peerlinktest.Delay
	})
	return region
}

// partition isolates one region from the others.
type partition struct {
	at, length time.Duration
	// inward and outward select the directions in which datagrams to or from the region are lost.
	inward, outward bool
}

func drawPartition(t *rapid.T) partition {
	way := rapid.SampledFrom([]string{"both", "in", "out"}).Draw(t, "way")
	return partition{
		at:     time.Duration(rapid.IntRange(0, 5000).Draw(t, "at")) * time.Millisecond,
		length: time.Duration(rapid.SampledFrom([]int{1000, 4000, 60000}).Draw(t, "length")) * time.Millisecond,
		inward: way != "out", outward: way != "in",
	}
}

// TestLimitHoldsDuringPartition requests twice a tenant's limit at daemons of several regions, one of which is
// partitioned in one or both directions, temporarily or permanently. No window may exceed the bound.
func TestLimitHoldsDuringPartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count, regions := rapid.IntRange(4, 14).Draw(rt, "daemons"), rapid.IntRange(2, 3).Draw(rt, "regions")
		cutOff, seed := drawPartition(rt), rapid.Uint64().Draw(rt, "seed")
		tenant := quota.Owner(fmt.Sprint("t", rapid.IntRange(0, 9).Draw(rt, "tenant")))
		most := 0.0
		synctest.Test(t, func(*testing.T) {
			fleet := newFleet(seed, count)
			region := fleet.assignRegions(regions)
			const length = 14 * time.Second
			fleet.demand(tenant, length, 2, func(elapsed time.Duration) {
				if elapsed < cutOff.at || elapsed >= cutOff.at+cutOff.length {
					fleet.network.Block(nil)
					return
				}
				fleet.network.Block(func(from, to string) bool {
					in, out := region(from) != 0 && region(to) == 0, region(from) == 0 && region(to) != 0
					return in && cutOff.inward || out && cutOff.outward
				})
			})
			most = fleet.maxGranted(tenant, testWindow)
		})
		if most > bound() {
			rt.Fatalf("%v was granted in a window, %v is allowed", most, bound())
		}
	})
}

// TestBothSidesOfPartitionAreServed partitions a region with a third of the daemons. A tenant that uses half of
// its limit must be granted most of it on both sides once each side has detected the partition.
func TestBothSidesOfPartitionAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(7, 12)
		region := fleet.assignRegions(3)
		fleet.exchangePresence()
		settle()
		fleet.network.Block(func(from, to string) bool { return (region(from) == 0) != (region(to) == 0) })
		fleet.demand("t", 5*time.Second, 0.5, func(time.Duration) {})
		clear(fleet.refused)
		clear(fleet.asked)
		fleet.demand("t", 10*time.Second, 0.5, func(time.Duration) {})
		refused := fleet.refused["t"] / fleet.asked["t"]
		assert.Assert(t, refused < 0.05, "%v of it refused", refused)
	})
}

// TestUseBelowLimitIsGrantedAcrossRegions requests nine tenths of the limit's rate at daemons of three regions. At
// least 98% must be granted, and without loss hardly any question may be sent twice.
func TestUseBelowLimitIsGrantedAcrossRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(8, 12)
		fleet.assignRegions(3)
		fleet.exchangePresence()
		settle()
		var questions, answers atomic.Int64
		fleet.network.Observe(func(_, _ string, datagram []byte) {
			switch peerlink.Kind(datagram[0]) {
			case peerlink.KindLimitAsk:
				questions.Add(1)
			case peerlink.KindLimitAnswer:
				answers.Add(1)
			}
		})
		fleet.demand("t", 20*time.Second, 0.9, func(time.Duration) {})
		requests := int64(len(fleet.granted["t"]))
		assert.Assert(t, answers.Load() <= questions.Load() && questions.Load() < requests*11/10, "%d questions for %d requests", questions.Load(), requests)
		refused := fleet.refused["t"] / fleet.asked["t"]
		assert.Assert(t, refused < 0.02, "%v of it refused", refused)
	})
}

// TestSubstituteGrantsOnlyItsRegionShare drops everything that a region with a third of the daemons sends, so that
// it hears a tenant's home which does not hear it. Home and substitute together must leave a part of the bound for
// the moment in which the partition starts.
func TestSubstituteGrantsOnlyItsRegionShare(t *testing.T) {
	const reservedShare = 0.04
	checked := 0
	for number := range 12 {
		tenant := quota.Owner(fmt.Sprint("t", number))
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(1, 12)
			region := fleet.assignRegions(3)
			fleet.exchangePresence()
			settle()
			ranking := fleet.daemons[0].limiter.ranking(tenant)
			if region(ranking[0]) == 0 || region(ranking[1]) != 0 {
				return
			}
			checked++
			fleet.network.Block(func(from, to string) bool { return region(from) == 0 && region(to) != 0 })
			fleet.demand(tenant, 12*time.Second, 3, func(time.Duration) {})
			most := fleet.maxGranted(tenant, testWindow)
			assert.Assert(t, most < bound()*(1-reservedShare), "%s: %v of %v", tenant, most, bound())
		})
	}
	assert.Assert(t, checked > 0)
}

// TestTimeoutsFollowRegionRTT records slow answers. Timeouts within the own region must not change, and those for
// other regions must grow up to the limit that a request can bear.
func TestTimeoutsFollowRegionRTT(t *testing.T) {
	for _, regions := range []int{1, 3} {
		fleet := newFleet(1, 6)
		if regions > 1 {
			fleet.assignRegions(regions)
		}
		limiter := fleet.daemons[0].limiter
		own, far := limiter.options.Topology.RegionOf(limiter.self), identity.Region("1")
		limiter.roundTrips.Note(own, time.Second)
		repeat, answer := limiter.timing(own)
		assert.Equal(t, repeat, retryInterval)
		assert.Equal(t, answer, answerTimeout)
		if regions == 1 {
			continue
		}
		limiter.roundTrips.Note(far, 40*time.Millisecond)
		repeat, answer = limiter.timing(far)
		assert.Assert(t, repeat > 40*time.Millisecond && answer > repeat, "%v, %v", repeat, answer)
		for range 100 {
			limiter.roundTrips.Note(far, time.Second)
		}
		repeat, answer = limiter.timing(far)
		assert.Assert(t, repeat < answer && answer <= 400*time.Millisecond, "%v, %v", repeat, answer)
	}
}
