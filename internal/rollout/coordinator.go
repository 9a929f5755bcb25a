// Package rollout moves services to back ends that run another version of their software, as ordered by
// operators. Each daemon selects the versions for its own requests and counts their results. A few daemons, the
// collectors of an order, pool these counts, grant a small share of requests to the version under trial, stop it
// if it turns out to be bad, and write the stages of the order to the store. The decisions themselves are made by
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
	// tickInterval is the time between two ticks. Each step of a promotion takes a few of these.
	tickInterval = 50 * time.Millisecond
	// maximumTickGap is the time between two ticks from which on this daemon counts as paused: its knowledge of
	// the others may be outdated then.
	maximumTickGap = 500 * time.Millisecond
	// idleInterval is how often services without an order are checked.
	idleInterval = time.Second
	// inboxCapacity bounds the events that wait for the goroutine of Run: two seconds of the reports of 340
	// daemons. Further datagrams are dropped, as the network may drop them.
	inboxCapacity = 4096
)

// Standings persists standings in the store, and shows the state of orders to operators.
type Standings interface {
	// Put replaces the row at a position (zero: none) by a standing, and updates the order's state for operators
	// in the same transaction. It returns the position of the new row. It fails with *port.ConflictError and
	// *port.OutcomeUnknownError as port.TableService does.
	Put(ctx context.Context, standing rollout.Standing, over uint64) (uint64, error)
	// Get reads a service's standing; false if there is none.
	Get(ctx context.Context, service identity.ServiceName) (rollout.Standing, bool, error)
}

// Reports queries back ends for their requests in progress.
type Reports interface {
	// UnderWay returns the number of requests of all daemons that are in progress at the back end.
	UnderWay(ctx context.Context, backend backendpool.Backend) (int, error)
}

// Backends provides the known back ends; *backendpool.Pool implements it.
type Backends interface {
	// SoftwareVersions counts the listed back ends of a service by version.
	SoftwareVersions(service identity.ServiceName) map[identity.SoftwareVersion]int
	// KeysOf returns the hashes of the IDs of a service's listed back ends of a version.
	KeysOf(service identity.ServiceName, version identity.SoftwareVersion) []uint64
	// InFlightOnOtherVersions counts the requests of this daemon that are in progress at back ends of other versions.
	InFlightOnOtherVersions(service identity.ServiceName, except identity.SoftwareVersion) int
	// Backends returns all listed back ends.
	Backends() []backendpool.Backend
}

var _ Backends = (*backendpool.Pool)(nil)

// Directory provides this daemon's knowledge of services; it is backed by package directory.
type Directory interface {
	// Services returns the names of all services.
	Services() []identity.ServiceName
	// Software returns the state of a service's versions. It is called for each request.
	Software(service identity.ServiceName) rollout.Service
	// ConfirmedAt returns when the declarations of operators and the rows of daemons were last confirmed to be up
	// to date. It is called for each request.
	ConfirmedAt() time.Time
	// StoreClock estimates the time of the store's clock; false while it is unknown.
	StoreClock(now time.Time) (time.Duration, bool)
	// Learn adopts a standing that was written.
	Learn(ctx context.Context, standing rollout.Standing)
	// Reads reports whether this daemon reads the store on behalf of all.
	Reads() bool
	// LongestTimeout returns the longest timeout of a service's routes.
	LongestTimeout(service identity.ServiceName) time.Duration
}

// Options configures a Coordinator.
type Options struct {
	Link peerlink.Carrier
	// Others returns the addresses of the other daemons, in a new slice whenever one of them joins, leaves or
	// changes its description. Count is the number of daemons that may exist: more than Others and this one until
	// all are known.
	Others func() []string
	Count  func() int
	// Broadcast sends a message to all other daemons; it must not block.
	Broadcast func(kind peerlink.Kind, body any)
	Presence  *presence.List
	Directory Directory
	Backends  Backends
	Standings Standings
	Reports   Reports
	// ExposureShare is the share of a service's requests that may go to a version under trial.
	ExposureShare float64
	// ConfirmationLimit is the age of the confirmation up to which requests of a service with an active order are
	// sent.
	ConfirmationLimit time.Duration
	Registerer        prometheus.Registerer
	Log               logrus.FieldLogger
	// Now is the clock for measuring durations; nil means clock.Now.
	Now func() time.Time
}

// Coordinator implements relay.Versions. Its methods are safe for concurrent use; the state that daemons exchange
// belongs to the goroutine of Run. Make it with New.
type Coordinator struct {
	options     Options
	self        string
	incarnation identity.Incarnation
	metrics     *metrics
	inbox       chan func(ctx context.Context, now time.Time)

	mutex sync.RWMutex
	// trafficByService is the state that the goroutines of requests share.
	trafficByService map[identity.ServiceName]*traffic
	// quorumHeardUntil is until when this daemon counts as connected to half of all daemons.
	quorumHeardUntil instant
	rankings         rankings

	// The following fields belong to the goroutine of Run.
	reporters     map[identity.ServiceName]*reporter
	collectors    map[identity.ServiceName]*collector
	drivers       map[identity.ServiceName]*driver
	stops         map[identity.ServiceName]*stop
	tickedAt      time.Time
	idleCheckedAt time.Time
	// presenceQueriedAt is when silent daemons were last queried.
	presenceQueriedAt time.Time
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
		inbox:   make(chan func(context.Context, time.Time), inboxCapacity),

		trafficByService: map[identity.ServiceName]*traffic{},
		rankings:         rankings{byService: map[identity.ServiceName]ranking{}},
		reporters:        map[identity.ServiceName]*reporter{},
		collectors:       map[identity.ServiceName]*collector{},
		drivers:          map[identity.ServiceName]*driver{},
		stops:            map[identity.ServiceName]*stop{},
	}
	handle(made, peerlink.KindVersionReport, made.handleReport)
	handle(made, peerlink.KindVersionGrant, made.handleGrant)
	handle(made, peerlink.KindVersionStop, made.handleStop)
	handle(made, peerlink.KindVersionStanding, made.handleStanding)
	handle(made, peerlink.KindPresenceQuestion, made.handlePresenceQuestion)
	return made
}

// handle registers a handler that runs in the goroutine of Run for the messages of a kind.
func handle[Body any](c *Coordinator, kind peerlink.Kind, take func(ctx context.Context, now time.Time, from string, body Body)) {
	peerlink.HandleDecoded(c.options.Link, kind, func(from string, body Body) {
		c.enqueue(func(ctx context.Context, now time.Time) { take(ctx, now, from, body) })
	})
}

// enqueue passes an event to the goroutine of Run, and drops it if the inbox is full.
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

// tick runs all periodic work that is due.
func (c *Coordinator) tick(ctx context.Context, now time.Time) {
	if c.paused(now) {
		c.restartWarmup(now)
	}
	c.tickedAt = now
	c.checkPresence(now)
	idle := now.Sub(c.idleCheckedAt) >= idleInterval
	if idle {
		c.idleCheckedAt = now
	}
	for _, service := range c.options.Directory.Services() {
		state := c.options.Directory.Software(service)
		number, active := activeOrder(state)
		c.updateUnordered(now, service, state, c.traffic(service))
		settled := !active && c.traffic(service).upToDate(state)
		if settled && !idle {
			continue
		}
		c.synchronize(now, service, state)
		if active {
			c.report(ctx, now, state, service, number)
			c.evaluate(now, service, number)
			c.repeatStop(now, service, number)
		}
		c.advance(ctx, now, service, state)
	}
}

// paused reports whether the last tick is so long ago that this daemon was suspended.
func (c *Coordinator) paused(now time.Time) bool { return now.Sub(c.tickedAt) > maximumTickGap }

// restartWarmup makes this daemon's collectors warm up again before they decide, since others may have proceeded
// without it.
func (c *Coordinator) restartWarmup(now time.Time) {
	for _, each := range c.collectors {
		each.readyAt = now.Add(warmupTime)
	}
}

// activeOrder returns the number of a service's active order: that of the standing until it has ended, then that
// of a newer order; false if there is none.
func activeOrder(state rollout.Service) (uint64, bool) {
	if !state.Standing.Stage.Ended() {
		return state.Standing.Order, true
	}
	if state.Order != nil && state.Order.Number > state.Standing.Order {
		return state.Order.Number, true
	}
	return 0, false
}

// activeTarget returns the target of the active order.
func activeTarget(state rollout.Service) identity.SoftwareVersion {
	if !state.Standing.Stage.Ended() || state.Order == nil {
		return state.Standing.Target
	}
	return state.Order.Target
}

// membersKnown reports whether all other daemons are known.
func (c *Coordinator) membersKnown() bool { return c.options.Count() == len(c.options.Others())+1 }

// daemons returns the addresses of all known daemons.
func (c *Coordinator) daemons() []string { return c.withSelf(c.options.Others()) }

// withSelf returns the others and this daemon.
func (c *Coordinator) withSelf(others []string) []string {
	all := make([]string, 0, len(others)+1)
	return append(append(all, others...), c.self)
}
