package loadhome

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
	"github.com/lotusward/lotusward/internal/presence"
)

const backends = 5

// daemon is a simulated daemon with its pool and unfinished requests.
type daemon struct {
	*peerlinktest.Node
	pool    *backendpool.Pool
	homes   *Homes
	tickets []*backendpool.Ticket
	stop    context.CancelFunc
}

// fleet is a set of daemons that share back ends and a simulated network.
type fleet struct {
	network *peerlinktest.Network
	daemons []*daemon
}

func newFleet(seed uint64, count int) *fleet {
	made := &fleet{network: peerlinktest.NewNetwork(seed)}
	var addresses []string
	for number := range count {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:1", number))
	}
	for number, address := range addresses {
		others := append(append([]string(nil), addresses[:number]...), addresses[number+1:]...)
		joined := &daemon{Node: made.network.Add(address)}
		made.daemons = append(made.daemons, joined)
		joined.start(others)
	}
	return made
}

// start initialises a daemon with empty state, as after a process start.
func (d *daemon) start(others []string) {
	heard := presence.New()
	d.Observe(func(from string) { heard.Heard(from, time.Now()) })
	d.pool = backendpool.New("a")
	var list []backendpool.Backend
	for number := range backends {
		list = append(list, backendpool.Backend{ID: backendID(number), Service: "s", Zone: "a", Address: fmt.Sprint("b:", number)})
	}
	d.pool.Update(list)
	d.tickets = nil
	d.homes = New(Options{Link: d, Others: func() []string { return others }, Pool: d.pool, Memory: promptcache.New(), Presence: heard, Log: logging.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go func() { _ = d.homes.Run(ctx) }()
}

func (d *daemon) restart() {
	others := d.homes.options.Others()
	d.stop()
	d.start(others)
}

func backendID(number int) identity.BackendID {
	return identity.BackendID(fmt.Sprint("backend-", number))
}

func (f *fleet) stop() {
	for _, each := range f.daemons {
		each.stop()
	}
}

// startOrEndRequest starts or ends one request at random.
func (d *daemon) startOrEndRequest(rng *rand.Rand) {
	if len(d.tickets) > 0 && rng.IntN(2) == 0 {
		at := rng.IntN(len(d.tickets))
		d.tickets[at].Release(time.Now(), backendpool.ResultServed)
		d.tickets = append(d.tickets[:at], d.tickets[at+1:]...)
		return
	}
	d.tickets = append(d.tickets, d.pool.Pick(time.Now(), backendpool.Query{Service: "s"}))
}

// checkLoads checks that each daemon receives exactly the total load of all others.
func (f *fleet) checkLoads(t assert.TestingT) {
	for number, asking := range f.daemons {
		var keys []uint64
		for backend := range backends {
			keys = append(keys, rendezvous.Key(string(backendID(backend))))
		}
		asking.homes.Refresh(context.Background(), keys)
		for backend := range backends {
			expected := 0
			for _, other := range f.daemons {
				for _, ticket := range other.tickets {
					if ticket.Backend.ID == backendID(backend) {
						expected++
					}
				}
			}
			assert.Equal(t, asking.pool.InFlight(backendID(backend)), float64(expected), "back end %d as daemon %d is told", backend, number)
		}
	}
}

// failures collects failed assertions within a synctest bubble, where a rapid property must not abort.
type failures struct{ texts []any }

func (f *failures) FailNow()        {}
func (f *failures) Fail()           {}
func (f *failures) Log(args ...any) { f.texts = append(f.texts, args...) }

// TestLoadsAreExactAfterLossAndRestarts starts and ends requests while datagrams are lost and daemons restart
// without their state. Once reports were repeated, each daemon must receive the exact load of the others.
func TestLoadsAreExactAfterLossAndRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed, count := rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(14, 20).Draw(rt, "daemons")
		loss := rapid.Float64Range(0, 0.3).Draw(rt, "loss")
		restarts := rapid.SliceOfN(rapid.IntRange(0, count-1), 0, 4).Draw(rt, "restarts")
		var failed failures
		synctest.Test(t, func(*testing.T) {
			fleet := newFleet(seed, count)
			defer fleet.stop()
			luck := rand.New(rand.NewPCG(seed, 3))
			fleet.network.Lose(loss)
			for step := range 300 {
				fleet.daemons[luck.IntN(count)].startOrEndRequest(luck)
				if len(restarts) > 0 && step%60 == 30 {
					fleet.daemons[restarts[0]].restart()
					restarts = restarts[1:]
				}
				time.Sleep(5 * time.Millisecond)
			}
			fleet.network.Lose(0)
			time.Sleep(reportTTL + repeatInterval)
			fleet.checkLoads(&failed)
		})
		if len(failed.texts) > 0 {
			rt.Fatal(failed.texts...)
		}
	})
}

// TestLoadsPropagateImmediately starts requests at one daemon. All others must receive each within a few
// milliseconds.
func TestLoadsPropagateImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(7, 20)
		defer fleet.stop()
		for range 30 {
			fleet.daemons[3].tickets = append(fleet.daemons[3].tickets, fleet.daemons[3].pool.Pick(time.Now(), backendpool.Query{Service: "s"}))
			time.Sleep(peerlinktest.Delay)
			synctest.Wait()
			fleet.checkLoads(t)
		}
	})
}

// TestUnreachableHomeDelaysOnce stops a home of a back end. A querying daemon may wait for it once, and must use
// the other home from then on.
func TestUnreachableHomeDelaysOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(7, 20)
		defer fleet.stop()
		key := rendezvous.Key(string(backendID(0)))
		homes := fleet.daemons[0].homes.homes(key)
		var asking *daemon
		for _, each := range fleet.daemons {
			if each.Address() != homes[0] && each.Address() != homes[1] {
				asking = each
			}
		}
		for _, each := range fleet.daemons {
			each.SetDown(each.Address() == homes[0])
		}
		for round, longest := range []time.Duration{initialSameRegionTimeout, 2 * peerlinktest.Delay, 2 * peerlinktest.Delay} {
			began := time.Now()
			asking.homes.Refresh(t.Context(), []uint64{key})
			assert.Assert(t, time.Since(began) <= longest, "round %d took %v", round, time.Since(began))
		}
	})
}

// TestHomesNeededOnlyInLargeFleets checks that homes are used only above the fleet size up to which loads are
// broadcast.
func TestHomesNeededOnlyInLargeFleets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		few, many := newFleet(1, 13), newFleet(1, 14)
		defer few.stop()
		defer many.stop()
		assert.Assert(t, !few.daemons[0].homes.Needed())
		assert.Assert(t, many.daemons[0].homes.Needed())
	})
}

// BenchmarkHomes measures the lookup of the homes to query for one selection, among 295 daemons and 240 back ends.
// It takes 4.5 us with cached homes and 39 us without.
func BenchmarkHomes(b *testing.B) {
	network := peerlinktest.NewNetwork(1)
	var others []string
	for number := range 294 {
		others = append(others, fmt.Sprintf("10.0.%d.%d:1", number/250, number%250))
	}
	homes := New(Options{Link: network.Add("10.9.0.1:1"), Others: func() []string { return others }, Pool: backendpool.New("a"), Presence: presence.New()})
	for number := range b.N {
		for sampled := range uint64(6) {
			homes.respondingHome(time.Now(), (uint64(number)+sampled)%240)
		}
	}
}
