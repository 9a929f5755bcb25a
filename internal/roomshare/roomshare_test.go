package roomshare

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"context"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
)

// farWay is how much longer a datagram takes to another region, one way.
const farWay = 20 * time.Millisecond

// slots are the places of each back end of a test.
const slots = 4

// fleet is daemons over some regions with two zones each, before two back ends a zone.
type fleet struct {
	network   *peerlinktest.Network
	distances distance.Map
	zones     map[string]identity.Zone
	daemons   []*daemon
	// zoneWay is how much longer a datagram takes to another zone of the region, one way.
	zoneWay time.Duration
	// crossed counts datagrams between regions, and crossedBytes their bytes.
	crossed, crossedBytes atomic.Int64
}

type daemon struct {
	*peerlinktest.Node
	fleet  *fleet
	pool   *backendpool.Pool
	sharer *Sharer
	zone   identity.Zone
}

// Send takes longer to another region.
func (d *daemon) Send(to string, datagram []byte) {
	between := d.fleet.distances.Between(d.zone, d.fleet.zones[to])
	if between == distance.SameRegion && d.fleet.zoneWay > 0 {
		time.AfterFunc(d.fleet.zoneWay, func() { d.Node.Send(to, datagram) })
		return
	}
	if between != distance.OtherRegion {
		d.Node.Send(to, datagram)
		return
	}
	d.fleet.crossed.Add(1)
	d.fleet.crossedBytes.Add(int64(len(datagram)))
	time.AfterFunc(farWay, func() { d.Node.Send(to, datagram) })
}

var _ peerlink.Carrier = (*daemon)(nil)

func newFleet(seed uint64, regions, count int) *fleet {
	made := &fleet{network: peerlinktest.NewNetwork(seed), zones: map[string]identity.Zone{}}
	byZone := map[identity.Zone]identity.Region{}
	var zones []identity.Zone
	for number := range 2 * regions {
		zone := identity.Zone(fmt.Sprint("zone-", number))
		zones = append(zones, zone)
		byZone[zone] = regionOf(number % regions)
	}
	made.distances = distance.NewMap(byZone)
	var addresses []string
	for number := range count {
		address := fmt.Sprintf("10.0.0.%d:1", number)
		addresses = append(addresses, address)
		made.zones[address] = zones[number%len(zones)]
	}
	var list []backendpool.Backend
	for number := range 2 * len(zones) {
		list = append(list, backendpool.Backend{ID: identity.BackendID(fmt.Sprint("b", number)), Service: "s", Zone: zones[number%len(zones)], Address: fmt.Sprint("b:", number), Slots: slots})
	}
	for number, address := range addresses {
		joined := &daemon{Node: made.network.Add(address), fleet: made, zone: made.zones[address], pool: backendpool.New(made.zones[address])}
		joined.pool.SetDistances(made.distances)
		joined.pool.Update(list)
		others := append(append([]string(nil), addresses[:number]...), addresses[number+1:]...)
		joined.sharer = New(Options{
			Link: joined, Others: func() []string { return others }, Zone: func(address string) identity.Zone { return made.zones[address] },
			Capacity: func(string) float64 { return 1 }, OwnZone: joined.zone, Distances: made.distances, Pool: joined.pool,
		})
		made.daemons = append(made.daemons, joined)
	}
	return made
}

func regionOf(number int) identity.Region { return identity.Region(fmt.Sprint("region-", number)) }

// run runs all daemons until the context ends.
func (f *fleet) run(ctx context.Context) {
	for _, each := range f.daemons {
		go func() { _ = each.sharer.Run(ctx) }()
	}
}

// load lets all daemons know of requests under way at all back ends of a region.
func (f *fleet) load(region identity.Region, requests int) {
	for _, each := range f.daemons {
		loads := map[uint64]backendpool.Load{}
		for _, key := range each.pool.SampleRegion(region, 100) {
			loads[key] = backendpool.Load{Key: key, InFlight: float64(requests)}
		}
		each.pool.SetOthersLoad(loads, false)
	}
}

// TestLateAnswersServeLaterRequests has zones so far apart that answers come after the request that asked has gone on.
// Within a quarter of a second each daemon knows the other region's room nevertheless.
func TestLateAnswersServeLaterRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 2, 16)
		fleet.zoneWay = answerTimeout
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fleet.run(ctx)
		time.Sleep(time.Second)
		for _, each := range fleet.daemons {
			each.sharer.Rooms(ctx, "s")
		}
		time.Sleep(askAgainAfter + 50*time.Millisecond)
		for number, each := range fleet.daemons {
			assert.Equal(t, len(each.sharer.Rooms(ctx, "s")), 1, "daemon %d", number)
		}
	})
}

// TestRoomsOfOtherRegionsAreKnown lets daemons of 1, 2 and 6 regions tell: within a second each
// daemon that asks is told all other regions' rooms, though datagrams are lost.
func TestRoomsOfOtherRegionsAreKnown(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed, regions := rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{1, 2, 6}).Draw(rt, "regions")
		loss := rapid.Float64Range(0, 0.05).Draw(rt, "loss")
		found := map[int][]CapacityReport{}
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(seed, regions, 4*regions)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			fleet.network.Lose(loss)
			fleet.load(regionOf(0), slots)
			fleet.run(ctx)
			time.Sleep(time.Second)
			fleet.network.Lose(0)
			for number, each := range fleet.daemons {
				found[number] = each.sharer.Rooms(ctx, "s")
			}
		})
		for number, rooms := range found {
			if len(rooms) != regions-1 {
				rt.Fatalf("daemon %d knows %d of %d other regions", number, len(rooms), regions-1)
			}
			for _, room := range rooms {
				expected := float64(2 * 2 * slots)
				if room.Region == regionOf(0) {
					expected = 0
				}
				if room.Free(backendpool.Limits{}, 0) != expected || room.DaemonsOutside != 4*(regions-1) {
					rt.Fatalf("daemon %d is told %+v", number, room)
				}
			}
		}
	})
}

// TestRegionOutOfReachIsForgotten cuts a region off: soon nobody counts on its room, and it is
// back soon after the cut.
func TestRegionOutOfReachIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 2, 8)
		fleet.run(t.Context())
		time.Sleep(time.Second)
		asking := fleet.daemons[0]
		assert.Equal(t, len(asking.sharer.Rooms(t.Context(), "s")), 1)
		cut := func(down bool) {
			for _, each := range fleet.daemons {
				if fleet.distances.Between(each.zone, asking.zone) == distance.OtherRegion {
					each.SetDown(down)
				}
			}
		}
		cut(true)
		time.Sleep(forgetAfter + tellInterval)
		assert.Equal(t, len(asking.sharer.Rooms(t.Context(), "s")), 0)
		cut(false)
		time.Sleep(2 * tellInterval)
		assert.Equal(t, len(asking.sharer.Rooms(t.Context(), "s")), 1)
	})
}

// TestLostTellerIsNoLoss stops one of two daemons that tell for a region.
func TestLostTellerIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 2, 8)
		fleet.run(t.Context())
		lost := fleet.daemons[0].sharer.tellers(regionOf(1))[0]
		for _, each := range fleet.daemons {
			each.SetDown(each.Address() == lost)
		}
		time.Sleep(time.Second)
		for _, each := range fleet.daemons {
			if each.Address() != lost && each.sharer.own == regionOf(0) {
				assert.Equal(t, len(each.sharer.Rooms(t.Context(), "s")), 1)
			}
		}
	})
}

// TestAnswerWithoutRoomsIsNotTheLast asks two daemons of which the quicker one has heard nothing, as
// one that has just started: the other one's answer counts.
func TestAnswerWithoutRoomsIsNotTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 2, 12)
		fleet.run(t.Context())
		time.Sleep(time.Second + tellInterval/2)
		tellers := fleet.daemons[0].sharer.tellers(regionOf(0))
		for _, each := range fleet.daemons {
			if each.Address() == tellers[0] {
				each.sharer.mutex.Lock()
				clear(each.sharer.heard)
				each.sharer.mutex.Unlock()
			}
		}
		fleet.network.SetWay(func(from, _ string) time.Duration {
			if from == tellers[1] {
				return 2 * peerlinktest.Delay
			}
			return peerlinktest.Delay
		})
		asked := 0
		for _, each := range fleet.daemons {
			if each.sharer.own == regionOf(0) && !slices.Contains(tellers, each.Address()) {
				asked++
				assert.Equal(t, len(each.sharer.Rooms(t.Context(), "s")), 1)
			}
		}
		assert.Assert(t, asked > 0)
	})
}

// TestDaemonWhoseZoneIsToldLaterIsPlaced lets a daemon be heard of before its zone: once the list of
// daemons is told anew with the zone, it is counted in its region.
func TestDaemonWhoseZoneIsToldLaterIsPlaced(t *testing.T) {
	fleet := newFleet(1, 2, 8)
	sharer := fleet.daemons[0].sharer
	late := fleet.daemons[7].Address()
	zone := fleet.zones[late]
	delete(fleet.zones, late)
	assert.Equal(t, len(sharer.byRegion()[regionOf(1)]), 3)
	fleet.zones[late] = zone
	told := slices.Clone(sharer.options.Others())
	sharer.options.Others = func() []string { return told }
	assert.Equal(t, len(sharer.byRegion()[regionOf(1)]), 4)
}

// TestLittleCrossesBorders counts what 60 daemons of 3 regions tell while all ask all the time: that
// grows neither with the daemons, nor with what they ask.
func TestLittleCrossesBorders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 3, 60)
		fleet.run(t.Context())
		began := time.Now()
		for range 100 {
			for _, each := range fleet.daemons {
				each.sharer.Rooms(t.Context(), "s")
			}
		}
		const regions, tellers, hearers, bytes = 3, tellersEach, 2 * tellersEach, 160
		most := regions * tellers * hearers * int64(time.Since(began)/tellInterval+1)
		assert.Assert(t, fleet.crossed.Load() <= most, "%d datagrams, %d at most", fleet.crossed.Load(), most)
		assert.Assert(t, fleet.crossedBytes.Load() <= bytes*most, "%d bytes", fleet.crossedBytes.Load())
	})
}

// TestOneRegionTellsNothing has nothing to tell.
func TestOneRegionTellsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 1, 20)
		fleet.run(t.Context())
		time.Sleep(2 * time.Second)
		assert.Equal(t, fleet.crossed.Load(), int64(0))
		assert.Equal(t, len(fleet.daemons[0].sharer.Rooms(t.Context(), "s")), 0)
	})
}
