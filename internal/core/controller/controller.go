// Package controller decides what the engines of the fleet hold: which models at
// which versions, which adapters, which role, and which back ends leave. It is
// pure: it does no I/O and reads no clock.
//
// The holder of the fleet lease makes one Controller for each grant. Plan
// compares the state that is wanted with the states that the back ends report,
// and returns orders only for the difference. Orders that were lost, crossed or
// repeated therefore settle on one state. Every order carries the grant's
// fencing token.
package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Controller is the state of one holder of the fleet lease.
type Controller struct {
	settings   Settings
	fence      identity.FencingToken
	startedAt  time.Time
	superseded bool
	engines    map[identity.BackendID]*memory
	demand     map[DemandKey]*demandLevel
	// opened are the events whose models have begun to be loaded.
	opened map[eventKey]bool
	// loadTimes is how long loads took of late, by service.
	loadTimes map[identity.ServiceName]time.Duration
}

// New makes the controller of one grant.
func New(settings Settings, fence identity.FencingToken, now time.Time) *Controller {
	return &Controller{
		settings:  settings,
		fence:     fence,
		startedAt: now,
		engines:   make(map[identity.BackendID]*memory),
		demand:    make(map[DemandKey]*demandLevel),
		opened:    make(map[eventKey]bool),
		loadTimes: make(map[identity.ServiceName]time.Duration),
	}
}

// Superseded tells whether a back end has seen a newer fencing token. The
// controller then gives no more orders.
func (c *Controller) Superseded() bool { return c.superseded }

// Plan returns the orders that are due. Those to one back end are to be sent in
// their order, and each must be reported to OrderDone.
func (c *Controller) Plan(now time.Time, snapshot Snapshot) []Directive {
	if c.superseded {
		return nil
	}
	c.observe(now, snapshot)
	var directives []Directive
	for index := range snapshot.Document.Services {
		service := &snapshot.Document.Services[index]
		plan := c.newPlan(now, snapshot, service)
		plan.orderStates()
		if service.Kind == identity.KindEngine {
			plan.assign()
			plan.orderModels()
		}
		directives = append(directives, plan.directives...)
	}
	return directives
}

// OrderDone takes the outcome of an order.
func (c *Controller) OrderDone(now time.Time, directive Directive, outcome Outcome) {
	known := c.engines[directive.Backend]
	if known == nil {
		return
	}
	if outcome == OutcomeStale {
		c.superseded = true
	}
	known.orderDone(now, directive.Order, outcome)
}

// observe takes the newest reports into memory.
func (c *Controller) observe(now time.Time, snapshot Snapshot) {
	for index := range snapshot.Backends {
		backend := &snapshot.Backends[index]
		known := c.engines[backend.ID]
		if known == nil {
			known = newMemory(now, c.startedAt)
			c.engines[backend.ID] = known
		}
		if took, loaded := known.observe(now, backend, c.settings); loaded {
			c.learnLoadTime(backend.Service, took)
		}
	}
	for id, known := range c.engines {
		if now.Sub(known.seenAt) > c.settings.MinimumDwell+c.settings.OrderLifetime {
			delete(c.engines, id)
		}
	}
}

// learnLoadTime moves the estimate of a service's load time. It rises at once and
// falls slowly, since an estimate that is too short makes an event start late.
func (c *Controller) learnLoadTime(service identity.ServiceName, took time.Duration) {
	const fallDivisor = 8
	estimate := c.loadTime(service)
	if took < estimate {
		took = estimate - (estimate-took)/fallDivisor
	}
	c.loadTimes[service] = took
}

// loadTime is how long one load of a service takes.
func (c *Controller) loadTime(service identity.ServiceName) time.Duration {
	if learned, found := c.loadTimes[service]; found {
		return learned
	}
	return c.settings.LoadDuration
}

// plan is the work on one service at one time.
type plan struct {
	controller *Controller
	now        time.Time
	document   *dynamic.Document
	service    *dynamic.Service
	needs      []need
	// backends are those of the service, ordered by ID.
	backends   []*Backend
	standing   map[identity.BackendID]standing
	drained    map[identity.BackendID]bool
	directives []Directive
}

// newPlan gathers what concerns one service.
func (c *Controller) newPlan(now time.Time, snapshot Snapshot, service *dynamic.Service) *plan {
	p := &plan{
		controller: c,
		now:        now,
		document:   snapshot.Document,
		service:    service,
		standing:   standingOrders(snapshot.Document),
		drained:    make(map[identity.BackendID]bool, len(snapshot.Document.Drains)),
	}
	for _, drain := range snapshot.Document.Drains {
		p.drained[drain.Backend] = true
	}
	for index := range snapshot.Backends {
		if snapshot.Backends[index].Service == service.Name {
			p.backends = append(p.backends, &snapshot.Backends[index])
		}
	}
	slices.SortFunc(p.backends, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	if service.Kind == identity.KindEngine {
		p.needs = c.needsOf(now, snapshot, service)
	}
	return p
}

// memory returns what is remembered of a back end.
func (p *plan) memory(backend *Backend) *memory { return p.controller.engines[backend.ID] }

// usable tells whether a back end is one to give models to.
func (p *plan) usable(backend *Backend) bool {
	return !backend.Leaving && !p.drained[backend.ID] && backend.Status.State != enginewire.StateLeaving
}

// give adds an order unless the same order is on its way.
func (p *plan) give(backend *Backend, order enginewire.Order) {
	order.Fence = p.controller.fence
	if !p.memory(backend).send(p.now, order) {
		return
	}
	p.directives = append(p.directives, Directive{Backend: backend.ID, Address: backend.Address, Order: order})
}
