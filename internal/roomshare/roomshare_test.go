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

// crossRegionDelay is the additional one-way delay of a datagram to another region.
const crossRegionDelay = 20 * time.Millisecond

// slots is the number of slots of each back end.
const slots = 4

// fleet is a set of daemons in several regions of two zones each, with two back ends per zone.
type fleet struct {
	network   *peerlinktest.Network
	distances distance.Map
	zones     map[string]identity.Zone
	daemons   []*daemon
	// crossZoneDelay is the additional one-way delay of a datagram to another zone of the region.
	crossZoneDelay time.Duration
	// crossRegionDatagrams and crossRegionBytes count the traffic between regions.
	crossRegionDatagrams, crossRegionBytes atomic.Int64
}

type daemon struct {
	*peerlinktest.Node
	fleet  *fleet
	pool   *backendpool.Pool
	sharer *Sharer
	zone   identity.Zone
}

// Send delays datagrams to other zones and regions.
func (d *daemon) Send(to string, datagram []byte) {
	between := d.fleet.distances.Between(d.zone, d.fleet.zones[to])
	if between == distance.SameRegion && d.fleet.crossZoneDelay > 0 {
		time.AfterFunc(d.fleet.crossZoneDelay, func() { d.Node.Send(to, datagram) })
		return
	}
	if between != distance.OtherRegion {
		d.Node.Send(to, datagram)
		return
	}
	d.fleet.crossRegionDatagrams.Add(1)
	d.fleet.crossRegionBytes.Add(int64(len(datagram)))
	time.AfterFunc(crossRegionDelay, func() { d.Node.Send(to, datagram) })
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

// setLoad sets the number of requests in flight at each back end of a region, as known to all daemons.
func (f *fleet) setLoad(region identity.Region, requests int) {
	for _, each := range f.daemons {
		loads := map[uint64]backendpool.Load{}
		for _, key := range each.pool.SampleRegion(region, 100) {
			loads[key] = backendpool.Load{Key: key, InFlight: float64(requests)}
		}
		each.pool.SetOthersLoad(loads, false)
	}
}

// TestLateAnswersServeLaterRequests places zones so far apart that answers arrive after the request that sent the
// query has continued. Each daemon must still know the other region's capacity within a quarter of a second.
func TestLateAnswersServeLaterRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 2, 16)
		fleet.crossZoneDelay = answerTimeout
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fleet.run(ctx)
		time.Sleep(time.Second)
		for _, each := range fleet.daemons {
			each.sharer.Rooms(ctx, "s")
		}
		time.Sleep(minQueryInterval + 50*time.Millisecond)
		for number, each := range fleet.daemons {
			assert.Equal(t, len(each.sharer.Rooms(ctx, "s")), 1, "daemon %d", number)
		}
	})
}

// TestCapacityOfOtherRegionsIsKnown runs fleets of 1, 2 and 6 regions with datagram loss. Within a second each
// daemon must be able to query the capacity of all other regions.
func TestCapacityOfOtherRegionsIsKnown(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed, regions := rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{1, 2, 6}).Draw(rt, "regions")
		loss := rapid.Float64Range(0, 0.05).Draw(rt, "loss")
		found := map[int][]CapacityReport{}
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(seed, regions, 4*regions)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			fleet.network.Lose(loss)
			fleet.setLoad(regionOf(0), slots)
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

// TestUnreachableRegionExpires partitions a region. Its capacity must expire soon, and must be known again soon
// after the partition ends.
func TestUnreachableRegionExpires(t *testing.T) {
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
		time.Sleep(reportTTL + sendInterval)
		assert.Equal(t, len(asking.sharer.Rooms(t.Context(), "s")), 0)
		cut(false)
		time.Sleep(2 * sendInterval)
		assert.Equal(t, len(asking.sharer.Rooms(t.Context(), "s")), 1)
	})
}

// TestExchangerFailureIsTolerated stops one of the two exchangers of a region. The other regions must still know
// its capacity.
func TestExchangerFailureIsTolerated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 2, 8)
		fleet.run(t.Context())
		lost := fleet.daemons[0].sharer.exchangers(regionOf(1))[0]
		for _, each := range fleet.daemons {
			each.SetDown(each.Address() == lost)
		}
		time.Sleep(time.Second)
		for _, each := range fleet.daemons {
			if each.Address() != lost && each.sharer.ownRegion == regionOf(0) {
				assert.Equal(t, len(each.sharer.Rooms(t.Context(), "s")), 1)
			}
		}
	})
}

// TestEmptyAnswerDoesNotEndQuery makes the exchanger that answers first know no reports, as after a restart. The
// answer of the other exchanger must be used.
func TestEmptyAnswerDoesNotEndQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 2, 12)
		fleet.run(t.Context())
		time.Sleep(time.Second + sendInterval/2)
		tellers := fleet.daemons[0].sharer.exchangers(regionOf(0))
		for _, each := range fleet.daemons {
			if each.Address() == tellers[0] {
				each.sharer.mutex.Lock()
				clear(each.sharer.reports)
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
			if each.sharer.ownRegion == regionOf(0) && !slices.Contains(tellers, each.Address()) {
				asked++
				assert.Equal(t, len(each.sharer.Rooms(t.Context(), "s")), 1)
			}
		}
		assert.Assert(t, asked > 0)
	})
}

// TestRegionFollowsLaterZone has a daemon become known before its zone. Once the list of daemons is replaced after
// the zone is known, the daemon must count in its region.
func TestRegionFollowsLaterZone(t *testing.T) {
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

// TestCrossRegionTrafficIsBounded counts the traffic of 60 daemons in 3 regions that query continuously. It must
// depend neither on the number of daemons nor on that of queries.
func TestCrossRegionTrafficIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 3, 60)
		fleet.run(t.Context())
		began := time.Now()
		for range 100 {
			for _, each := range fleet.daemons {
				each.sharer.Rooms(t.Context(), "s")
			}
		}
		const regions, tellers, hearers, bytes = 3, exchangersPerRegion, 2 * exchangersPerRegion, 160
		maxDatagrams := regions * tellers * hearers * int64(time.Since(began)/sendInterval+1)
		assert.Assert(t, fleet.crossRegionDatagrams.Load() <= maxDatagrams, "%d datagrams, %d at most", fleet.crossRegionDatagrams.Load(), maxDatagrams)
		assert.Assert(t, fleet.crossRegionBytes.Load() <= bytes*maxDatagrams, "%d bytes", fleet.crossRegionBytes.Load())
	})
}

// TestSingleRegionSendsNothing checks that a fleet in a single region sends no reports and knows none.
func TestSingleRegionSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 1, 20)
		fleet.run(t.Context())
		time.Sleep(2 * time.Second)
		assert.Equal(t, fleet.crossRegionDatagrams.Load(), int64(0))
		assert.Equal(t, len(fleet.daemons[0].sharer.Rooms(t.Context(), "s")), 0)
	})
}
