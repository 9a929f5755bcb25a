// Package rollout moves services to back ends of other versions of their software, as
// operators order. Each daemon decides for its own requests which version they go to, and
// counts how they end; some daemons, the collectors of an order, pool these counts, allow the
// others a small share of requests to the version under trial, stop it when it turns out to be
// bad, and write the stages of the order to the store. What is decided from which facts is in
// package core/rollout.
package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/presence"
	"github.com/lotusward/lotusward/internal/relay"
)

const (
	// tickInterval lies between two checks of what is due. Each step of a promotion takes a few
	// of these.
	tickInterval = 50 * time.Millisecond
	// tickGap is the time between two ticks after which this daemon counts as paused: what it
	// knows of others may be outdated then.
	tickGap = 500 * time.Millisecond
	// idleInterval is how often services without an order are looked at.
	idleInterval = time.Second
	// waitingEvents bounds the events that wait for the goroutine of Run: two seconds of the
	// reports of 340 daemons. Datagrams beyond it are dropped, as the network may drop them.
	waitingEvents = 4096
)

// Standings keeps standings in the store and tells operators of orders' states.
type Standings interface {
	// Put writes a standing in place of the row at a position (zero: none), and in the same
	// transaction the order's state for operators. It returns the new row's position. It fails with
	// *port.ConflictError and *port.OutcomeUnknownError as port.TableService does.
	Put(ctx context.Context, standing rollout.Standing, over uint64) (uint64, error)
	// Get reads a service's standing; false where there is none.
	Get(ctx context.Context, service identity.ServiceName) (rollout.Standing, bool, error)
}

// Reports asks back ends for what is under way there.
type Reports interface {
	// UnderWay is how many requests the back end has under way, of all daemons.
	UnderWay(ctx context.Context, backend backendpool.Backend) (int, error)
}

// Backends are the known back ends; *backendpool.Pool implements it.
type Backends interface {
	// SoftwareVersions counts the listed back ends of a service by version.
	SoftwareVersions(service identity.ServiceName) map[identity.SoftwareVersion]int
	// KeysOf are the hashes of the IDs of a service's listed back ends of a version.
	KeysOf(service identity.ServiceName, version identity.SoftwareVersion) []uint64
	// InFlightAtOthers is how many requests of this daemon are under way at back ends of other versions.
	InFlightAtOthers(service identity.ServiceName, except identity.SoftwareVersion) int
	// Backends are all listed back ends.
	Backends() []backendpool.Backend
}

var _ Backends = (*backendpool.Pool)(nil)

// Directory is what this daemon believes of services; package directory keeps it.
type Directory interface {
	// Services are the services that there are.
	Services() []identity.ServiceName
	// Software is what is believed of a service's versions. It is called for each request.
	Software(service identity.ServiceName) rollout.Service
	// ConfirmedAt is when what operators declared, and daemons wrote, was last known to be
	// the newest. It is called for each request.
	ConfirmedAt() time.Time
	// StoreClock is about what the store's clock shows at a time; false while not known.
	StoreClock(now time.Time) (time.Duration, bool)
	// Learn takes in a standing that was written.
	Learn(ctx context.Context, standing rollout.Standing)
	// Reads tells whether this daemon reads the store for all.
	Reads() bool
	// LongestTimeout is the longest timeout of a service's routes.
	LongestTimeout(service identity.ServiceName) time.Duration
}

// Options are what a Coordinator works with.
type Options struct {
	Link peerlink.Carrier
	// Others returns the addresses of the other daemons, in another slice whenever any of them
	// comes, goes or is described anew, and Count how many daemons there may be: more than Others
	// and this one until they are known.
	Others func() []string
	Count  func() int
	// Broadcast tells all other daemons; it must not block.
	Broadcast func(kind peerlink.Kind, body any)
	Presence  *presence.List
	Directory Directory
	Backends  Backends
	Standings Standings
	Reports   Reports
	// ExposureShare of the requests of a service may go to a version under trial.
	ExposureShare float64
	// ConfirmationLimit is how old the confirmation of what was declared may be while requests
	// of a service with an order under way are sent.
	ConfirmationLimit time.Duration
	Registerer        prometheus.Registerer
	Log               logrus.FieldLogger
	// Now is the time by which spans are judged; nil means clock.Now.
	Now func() time.Time
}

// Coordinator implements relay.Versions. Its methods are safe for use by several goroutines;
// what daemons agree on belongs to the goroutine of Run. Make it with New.
type Coordinator struct {
	options     Options
	self        string
	incarnation identity.Incarnation
	metrics     *metrics
	inbox       chan func(ctx context.Context, now time.Time)

	mutex sync.RWMutex
	// traffics is what the goroutines of requests share, by service.
	traffics map[identity.ServiceName]*traffic
	// enoughHeard is until when this daemon counts as in touch with half of the others.
	enoughHeard instant
	rankings    rankings

	// What follows belongs to the goroutine of Run.
	reporters  map[identity.ServiceName]*reporter
	collectors map[identity.ServiceName]*collector
	drivers    map[identity.ServiceName]*driver
	stops      map[identity.ServiceName]*stop
	tickedAt   time.Time
	idleAt     time.Time
	// askedPresenceAt is when daemons that are not heard were last asked.
	askedPresenceAt time.Time
}

var _ relay.Versions = (*Coordinator)(nil)

// New makes a Coordinator that takes part in roll-outs once it runs.
func New(options Options) *Coordinator {
	if options.Now == nil {
		options.Now = clock.Now
	}
	now := options.Now()
	made := &Coordinator{
		options: options, self: options.Link.Address(), incarnation: identity.Incarnation(now.UnixMicro()),
		metrics: newMetrics(options.Registerer),
		inbox:   make(chan func(context.Context, time.Time), waitingEvents),

		traffics:   map[identity.ServiceName]*traffic{},
		rankings:   rankings{byService: map[identity.ServiceName]ranking{}},
		reporters:  map[identity.ServiceName]*reporter{},
		collectors: map[identity.ServiceName]*collector{},
		drivers:    map[identity.ServiceName]*driver{},
		stops:      map[identity.ServiceName]*stop{},
	}
	handle(made, peerlink.KindVersionReport, made.hearReport)
	handle(made, peerlink.KindVersionGrant, made.takeGrant)
	handle(made, peerlink.KindVersionStop, made.hearStop)
	handle(made, peerlink.KindVersionStanding, made.hearStanding)
	handle(made, peerlink.KindPresenceQuestion, made.hearPresenceQuestion)
	return made
}

// handle hands the bodies of a kind to the goroutine of Run.
func handle[Body any](c *Coordinator, kind peerlink.Kind, take func(ctx context.Context, now time.Time, from string, body Body)) {
	peerlink.HandleDecoded(c.options.Link, kind, func(from string, body Body) {
		c.enqueue(func(ctx context.Context, now time.Time) { take(ctx, now, from, body) })
	})
}

// enqueue hands an event to the goroutine of Run, if there is room.
func (c *Coordinator) enqueue(event func(ctx context.Context, now time.Time)) {
	select {
	case c.inbox <- event:
	default:
	}
}

// Run takes part in roll-outs until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-c.inbox:
			event(ctx, c.options.Now())
		case <-ticker.C:
			c.tick(ctx, c.options.Now())
		}
	}
}

// tick does what is due.
func (c *Coordinator) tick(ctx context.Context, now time.Time) {
	if c.paused(now) {
		c.distrust(now)
	}
	c.tickedAt = now
	c.noteHeard(now)
	idle := now.Sub(c.idleAt) >= idleInterval
	if idle {
		c.idleAt = now
	}
	for _, service := range c.options.Directory.Services() {
		believed := c.options.Directory.Software(service)
		number, active := underWay(believed)
		settled := !active && c.traffic(service).settled(believed)
		if settled && !idle {
			continue
		}
		c.synchronize(now, service, believed)
		if active {
			c.report(ctx, now, believed, service, number)
			c.judge(now, service, number)
			c.repeatStop(now, service, number)
		}
		c.drive(ctx, now, service, believed)
	}
}

// paused tells whether this daemon stood still until a moment ago.
func (c *Coordinator) paused(now time.Time) bool { return now.Sub(c.tickedAt) > tickGap }

// distrust makes this daemon's collectors learn again before they decide: others may have gone on
// without it.
func (c *Coordinator) distrust(now time.Time) {
	for _, each := range c.collectors {
		each.trustedFrom = now.Add(learningTime)
	}
}

// underWay is the number of the order that a service is under way with: that of the standing
// until it has ended, then a newer one; false where there is none.
func underWay(believed rollout.Service) (uint64, bool) {
	if !believed.Standing.Stage.Ended() {
		return believed.Standing.Order, true
	}
	if believed.Order != nil && believed.Order.Number > believed.Standing.Order {
		return believed.Order.Number, true
	}
	return 0, false
}

// targetOf is the version that the order under way names.
func targetOf(believed rollout.Service) identity.SoftwareVersion {
	if !believed.Standing.Stage.Ended() || believed.Order == nil {
		return believed.Standing.Target
	}
	return believed.Order.Target
}

// membersKnown tells whether the other daemons are known.
func (c *Coordinator) membersKnown() bool { return c.options.Count() == len(c.options.Others())+1 }

// daemons are the addresses of all known daemons.
func (c *Coordinator) daemons() []string { return c.withSelf(c.options.Others()) }

// withSelf are the others and this daemon.
func (c *Coordinator) withSelf(others []string) []string {
	all := make([]string, 0, len(others)+1)
	return append(append(all, others...), c.self)
}
