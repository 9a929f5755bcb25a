package loadhome

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
	"github.com/lotusward/lotusward/internal/presence"
)

// farWay is how much longer a datagram takes to another region, one way.
const farWay = 20 * time.Millisecond

// spread is daemons and back ends over some regions.
type spread struct {
	distances distance.Map
	zones     map[string]identity.Zone
	addresses []string
	list      []backendpool.Backend
}

func newSpread(regions, daemons, backends int) *spread {
	made := &spread{zones: map[string]identity.Zone{}}
	byZone := map[identity.Zone]identity.Region{}
	zone := func(number int) identity.Zone { return identity.Zone(fmt.Sprint("zone-", number%regions)) }
	for region := range regions {
		byZone[zone(region)] = identity.Region(fmt.Sprint("region-", region))
	}
	made.distances = distance.NewMap(byZone)
	for number := range daemons {
		address := fmt.Sprintf("10.0.%d.%d:1", number/200, number%200)
		made.addresses = append(made.addresses, address)
		made.zones[address] = zone(number)
	}
	for number := range backends {
		made.list = append(made.list, backendpool.Backend{ID: backendID(number), Service: "s", Zone: zone(number), Address: fmt.Sprint("b:", number)})
	}
	return made
}

// wayCarrier takes longer to another region.
type wayCarrier struct {
	*peerlinktest.Node
	spread *spread
}

func (c wayCarrier) Send(to string, datagram []byte) {
	if c.spread.distances.Between(c.spread.zones[c.Address()], c.spread.zones[to]) == distance.OtherRegion {
		time.AfterFunc(farWay, func() { c.Node.Send(to, datagram) })
		return
	}
	c.Node.Send(to, datagram)
}

// homes makes the Homes of one daemon.
func (s *spread) homes(network *peerlinktest.Network, number int) *Homes {
	self := s.addresses[number]
	var others []string
	for _, address := range s.addresses {
		if address != self {
			others = append(others, address)
		}
	}
	pool := backendpool.New(s.zones[self])
	pool.SetDistances(s.distances)
	pool.Update(s.list)
	return New(Options{
		Link: wayCarrier{Node: network.Add(self), spread: s}, Others: func() []string { return others }, Pool: pool, Presence: presence.New(),
		Zone: func(address string) identity.Zone { return s.zones[address] }, OwnZone: s.zones[self], Distances: s.distances,
	})
}

// TestHomesAreInTheBackEndsRegion lets all daemons of 1, 2 and 6 regions say where back ends
// have their homes: all agree, and the homes are in the back end's region.
func TestHomesAreInTheBackEndsRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "regions")
		made := newSpread(regions, rapid.IntRange(regions, 24).Draw(t, "daemons"), 8)
		network := peerlinktest.NewNetwork(1)
		agreed := map[uint64][]string{}
		for number := range made.addresses {
			homes := made.homes(network, number)
			for _, backend := range made.list {
				key := rendezvous.Key(string(backend.ID))
				found := homes.homes(key)
				if agreed[key] == nil {
					agreed[key] = found
				}
				assert.DeepEqual(t, found, agreed[key])
				for _, home := range found {
					assert.Equal(t, made.distances.Region(made.zones[home]), made.distances.Region(backend.Zone))
				}
			}
		}
	})
}

// TestRegionWithoutDaemonsHasHomesElsewhere gives its back ends homes among all.
func TestRegionWithoutDaemonsHasHomesElsewhere(t *testing.T) {
	made := newSpread(2, 20, 2)
	for address := range made.zones {
		made.zones[address] = "zone-0"
	}
	homes := made.homes(peerlinktest.NewNetwork(1), 0)
	assert.Equal(t, len(homes.homes(rendezvous.Key(string(backendID(1))))), homesEach)
}

// TestBackEndThatIsListedLaterMovesHome looks again for the homes of one that was asked for
// before it was listed.
func TestBackEndThatIsListedLaterMovesHome(t *testing.T) {
	made := newSpread(2, 20, 2)
	list := made.list
	made.list = nil
	homes := made.homes(peerlinktest.NewNetwork(1), 0)
	key := rendezvous.Key(string(backendID(1)))
	homes.homes(key)
	homes.options.Pool.Update(list)
	for _, home := range homes.homes(key) {
		assert.Equal(t, made.zones[home], identity.Zone("zone-1"))
	}
}

// TestAnswersFromAnotherRegionAreWaitedFor begins a request in another region: a daemon that
// asks is told of it, 44 ms away, and its own region's homes answer in 4 ms.
func TestAnswersFromAnotherRegionAreWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		made := newSpread(2, 20, 2)
		network := peerlinktest.NewNetwork(1)
		var all []*Homes
		for number := range made.addresses {
			all = append(all, made.homes(network, number))
		}
		for _, number := range []int{0, 1} {
			sender := all[number+2] // of the back end's region
			sender.options.Pool.Pick(time.Now(), backendpool.Query{Service: "s", Region: made.distances.Region(made.zones[sender.self])})
			sender.noteAll(sender.options.Pool.ChangedLoads())
		}
		time.Sleep(time.Second)
		asking := all[4]
		for backend, longest := range map[int]time.Duration{0: 2 * peerlinktest.Delay, 1: 2 * (peerlinktest.Delay + farWay)} {
			began := time.Now()
			asking.Refresh(t.Context(), []uint64{rendezvous.Key(string(backendID(backend)))})
			assert.Assert(t, time.Since(began) <= longest, "back end %d took %v", backend, time.Since(began))
			assert.Equal(t, asking.options.Pool.InFlight(backendID(backend)), 1.0)
		}
	})
}

// TestFarTimeoutFollowsTheRoundTrip learns round trips: answers that take about as long as the
// last ones are waited for, and one that never comes not for much longer.
func TestFarTimeoutFollowsTheRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var learned roundTrip
		assert.Equal(t, learned.timeout(), firstFarTimeout)
		usual := time.Duration(rapid.IntRange(8, 100).Draw(t, "milliseconds")) * time.Millisecond
		for range 60 {
			jitter := time.Duration(rapid.IntRange(-10, 10).Draw(t, "jitter")) * usual / 100
			learned.note(usual + jitter)
		}
		found := learned.timeout()
		assert.Assert(t, found >= usual*9/10+leastMargin, "%v of %v", found, usual)
		assert.Assert(t, found <= max(2*usual, leastFarTimeout), "%v of %v", found, usual)
	})
}

// BenchmarkHomesOfRegions measures a choice's question among 340 daemons of 6 regions before
// 240 back ends once the homes are remembered. It takes 0.55 us, as with homes anywhere
// (BenchmarkHomes, 0.58 us).
func BenchmarkHomesOfRegions(b *testing.B) {
	made := newSpread(6, 340, 240)
	homes := made.homes(peerlinktest.NewNetwork(1), 0)
	var keys []uint64
	for _, backend := range made.list {
		keys = append(keys, rendezvous.Key(string(backend.ID)))
	}
	number := 0
	for b.Loop() {
		for sampled := range 6 {
			homes.asked(time.Now(), keys[(number+sampled)%240])
		}
		number++
	}
}
