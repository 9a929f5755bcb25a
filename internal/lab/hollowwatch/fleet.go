package hollowwatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/sighting"
	"github.com/lotusward/lotusward/internal/core/watch"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// step is the granularity of simulated time, and the one-way delay of messages.
const step = 20 * time.Millisecond

// engineModels is how many models a hollow back end holds.
const engineModels = 2

// Options describe a fleet.
type Options struct {
	Daemons  int
	Backends int
	Zones    int
	// Loss is the share of datagrams that are lost.
	Loss float64
	Pace watch.Pace
	Seed uint64
}

// Fleet is many daemons that watch hollow back ends.
type Fleet struct {
	options  Options
	now      time.Time
	random   *rand.Rand
	network  *network
	daemons  []*daemon
	byID     map[identity.DaemonID]*daemon
	backends []*backend
}

// backend is a hollow back end.
type backend struct {
	id          identity.BackendID
	zone        identity.Zone
	up          bool
	silent      bool
	incarnation identity.Incarnation
	ready       bool
	polls       []*poll
}

func (b *backend) status() enginewire.Status {
	status := enginewire.Status{
		Backend: b.id, Incarnation: b.incarnation, StateVersion: uint64(b.incarnation), State: enginewire.StateServing,
		Load: enginewire.Load{Running: 12, Waiting: 3, QueuedTokens: 40_000, FreeBlocks: 7_000, TotalBlocks: 60_000},
	}
	for number := range engineModels {
		status.Models = append(status.Models, enginewire.LoadedModel{
			Model: identity.ModelName(fmt.Sprintf("model-%d", number)), Version: "2026-12-01", Ready: b.ready,
		})
	}
	return status
}

// daemon is a hollow daemon.
type daemon struct {
	id       identity.DaemonID
	zone     identity.Zone
	exchange *sighting.Exchange
	polls    map[identity.BackendID]*poll
	traffic  Traffic
}

// Traffic counts what a daemon did.
type Traffic struct {
	SentMessages, SentBytes, ReceivedBytes, Polls int
}

// NewFleet starts a fleet whose daemons know each other already, and whose back
// ends are all up.
func NewFleet(options Options) (*Fleet, error) {
	network, err := newNetwork(options)
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{
		options: options, now: time.Unix(1_800_000_000, 0), network: network,
		random: rand.New(rand.NewPCG(options.Seed, 1)), byID: make(map[identity.DaemonID]*daemon),
	}
	members := fleet.addDaemons()
	for _, added := range fleet.daemons {
		fleet.perform(added, added.exchange.SetMembers(fleet.now, members))
	}
	fleet.addBackends()
	return fleet, nil
}

func (f *Fleet) addDaemons() []sighting.Member {
	var members []sighting.Member
	for number := range f.options.Daemons {
		id := identity.DaemonID(fmt.Sprintf("daemon-%03d", number))
		zone := f.zone(number)
		address := fmt.Sprintf("10.1.%d.%d:8082", number/250, number%250)
		added := &daemon{id: id, zone: zone, polls: make(map[identity.BackendID]*poll)}
		added.exchange = sighting.New(f.now, sighting.Identity{
			ID: id, Zone: zone, Address: address, Incarnation: identity.Incarnation(f.now.UnixMicro()),
		}, rand.New(rand.NewPCG(f.options.Seed, uint64(number))), sighting.DefaultOptions())
		f.daemons = append(f.daemons, added)
		f.byID[id] = added
		f.network.hosts[address] = added
		members = append(members, sighting.Member{ID: id, Zone: zone, Address: address})
	}
	return members
}

func (f *Fleet) addBackends() {
	var watchers []watch.Daemon
	for _, added := range f.daemons {
		watchers = append(watchers, watch.Daemon{ID: added.id, Zone: added.zone})
	}
	plan := watch.NewPlan(watchers)
	for number := range f.options.Backends {
		added := &backend{
			id: identity.BackendID(fmt.Sprintf("runner-%04d", number)), zone: f.zone(number),
			up: true, ready: true, incarnation: identity.Incarnation(f.now.UnixMicro()),
		}
		for rank, watcher := range plan.Watchers(added.id, added.zone) {
			asked := &poll{daemon: f.byID[watcher], backend: added, rank: rank}
			asked.daemon.polls[added.id] = asked
			added.polls = append(added.polls, asked)
		}
		f.backends = append(f.backends, added)
	}
	for _, added := range f.backends {
		for _, asked := range added.polls {
			f.sleep(asked)
		}
	}
}

func (f *Fleet) zone(number int) identity.Zone {
	return identity.Zone(fmt.Sprintf("zone-%d", number%f.options.Zones))
}

// Run lets simulated time pass.
func (f *Fleet) Run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.advance()
	}
}

func (f *Fleet) advance() {
	f.now = f.now.Add(step)
	for _, arrived := range f.network.arriving() {
		f.perform(arrived.to, arrived.to.exchange.Handle(f.now, arrived.from, arrived.message))
	}
	for _, asked := range f.backends {
		for _, due := range asked.polls {
			f.ask(due)
		}
	}
	for _, ticking := range f.daemons {
		f.perform(ticking, ticking.exchange.Tick(f.now))
	}
}

func (f *Fleet) perform(of *daemon, actions []sighting.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case sighting.Send:
			f.network.send(of, action, f.random.Float64() < f.options.Loss)
		case sighting.Recheck:
			f.recheck(of.polls[action.Backend], action.Unreachable)
		}
	}
}

// Restart gives a back end a new life whose models are not ready yet.
func (b *backend) restart(now time.Time) {
	b.up, b.ready = true, false
	b.incarnation = identity.Incarnation(now.UnixMicro())
}

// informed counts the daemons that know the truth of a back end.
func (f *Fleet) informed(about *backend) int {
	count := 0
	for _, knowing := range f.daemons {
		verdict := knowing.exchange.Verdict(about.id)
		reached := verdict.Reach == sighting.ReachReachable
		current := !reached || verdict.Newest.Incarnation == about.incarnation && verdict.Newest.Models[0].Ready == about.ready
		if about.up == reached && current {
			count++
		}
	}
	return count
}

// agreed tells whether all daemons know the truth of a back end.
func (f *Fleet) agreed(about *backend) bool { return f.informed(about) == len(f.daemons) }

// awaitAgreement returns how long it takes until all daemons know the truth of the
// back ends, at most limit.
func (f *Fleet) awaitAgreement(about []*backend, limit time.Duration) time.Duration {
	start := f.now
	for _, next := range about {
		for !f.agreed(next) && f.now.Sub(start) < limit {
			f.advance()
		}
	}
	return f.now.Sub(start)
}
