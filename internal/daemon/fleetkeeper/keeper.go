// Package fleetkeeper runs the fleet controller while this daemon holds the fleet
// lease: it asks the back ends for their state, lets the controller decide, and
// sends the orders with the lease's fencing token.
package fleetkeeper

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/lotusward/lotusward/internal/core/controller"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// LeaseKey is the table row of the fleet lease.
const LeaseKey = "lease/fleet"

// Defaults of the options.
const (
	// DefaultInterval is the time between two plans.
	DefaultInterval = 2 * time.Second
	// DefaultCallTimeout bounds one call of a back end.
	DefaultCallTimeout = 2 * time.Second
	// concurrentCalls bounds how many back ends are called at once.
	concurrentCalls = 16
)

// Lease tells whether this daemon is the fleet's controller at this moment.
type Lease interface {
	Held() (identity.FencingToken, bool)
}

// Backends reaches the back ends. It is a part of port.Engines.
type Backends interface {
	Status(ctx context.Context, address string) (enginewire.Status, error)
	Order(ctx context.Context, address string, order enginewire.Order) error
}

// Options configure a Keeper.
type Options struct {
	Lease    Lease
	Views    port.Views
	Backends Backends
	Settings controller.Settings
	Log      logrus.FieldLogger
	// Interval is the time between two plans; zero means DefaultInterval.
	Interval time.Duration
	// CallTimeout bounds one call of a back end; zero means DefaultCallTimeout.
	CallTimeout time.Duration
	// Rosters, when not nil, lets the keeper propose rosters of claim replicas.
	Rosters Rosters
	// Now reads the daemon's clock; nil means time.Now.
	Now func() time.Time
}

// Keeper is the runner of the fleet controller. Its state belongs to the
// goroutine that calls Run or Step.
type Keeper struct {
	options    Options
	controller *controller.Controller
	fence      identity.FencingToken
	rosters    rosterDuty
}

// New makes a keeper.
func New(options Options) *Keeper {
	options.Interval = cmp.Or(options.Interval, DefaultInterval)
	options.CallTimeout = cmp.Or(options.CallTimeout, DefaultCallTimeout)
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Keeper{options: options}
}

// Run steps until the context ends. It always returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.Step(ctx)
		}
	}
}

// Step makes one plan and carries it out, if the lease is held.
func (k *Keeper) Step(ctx context.Context) {
	if !k.takeOffice() {
		return
	}
	view := k.options.Views.View()
	snapshot := controller.Snapshot{Document: view.Document, Backends: k.ask(ctx, view.Backends)}
	snapshot.Demand = controller.SumDemand(snapshot.Backends)
	directives := k.controller.Plan(k.options.Now(), snapshot)
	for _, report := range k.send(ctx, directives) {
		k.controller.OrderDone(report.at, report.directive, report.outcome)
	}
	if k.controller.Superseded() {
		k.options.Log.WithField("token", k.fence).Warn("A newer holder of the fleet lease is at work.")
		return
	}
	k.proposeRoster(ctx, view.Document)
}

// takeOffice tells whether the lease is held, and begins anew with a new grant.
func (k *Keeper) takeOffice() bool {
	token, held := k.options.Lease.Held()
	if !held {
		k.controller = nil
		return false
	}
	if k.controller == nil || k.fence != token {
		now := k.options.Now()
		k.controller = controller.New(k.options.Settings, token, now)
		k.fence = token
		k.rosters = newRosterDuty()
		k.options.Log.WithField("token", token).Info("This daemon controls the fleet.")
	}
	return !k.controller.Superseded()
}

// ask reads the states of the back ends; those that don't answer are left out.
func (k *Keeper) ask(ctx context.Context, backends []scheduler.Backend) []controller.Backend {
	answers := make([]*controller.Backend, len(backends))
	var group errgroup.Group
	group.SetLimit(concurrentCalls)
	for index, backend := range backends {
		group.Go(func() error {
			answers[index] = k.askOne(ctx, backend)
			return nil
		})
	}
	_ = group.Wait() // no call returns an error
	reached := make([]controller.Backend, 0, len(answers))
	for _, answer := range answers {
		if answer != nil {
			reached = append(reached, *answer)
		}
	}
	return reached
}

// askOne reads the state of one back end, or returns nil.
func (k *Keeper) askOne(ctx context.Context, backend scheduler.Backend) *controller.Backend {
	ctx, cancel := context.WithTimeout(ctx, k.options.CallTimeout)
	defer cancel()
	askedAt := k.options.Now()
	status, err := k.options.Backends.Status(ctx, backend.Address)
	if err != nil || status.Backend != backend.ID {
		return nil
	}
	return &controller.Backend{Backend: backend, Status: status, AskedAt: askedAt}
}

// report is what became of one order.
type report struct {
	at        time.Time
	directive controller.Directive
	outcome   controller.Outcome
}

// send sends the orders: those to one back end one after the other, those to
// different back ends at the same time.
func (k *Keeper) send(ctx context.Context, directives []controller.Directive) []report {
	var mutex sync.Mutex
	var reports []report
	var group errgroup.Group
	group.SetLimit(concurrentCalls)
	for _, batch := range byBackend(directives) {
		group.Go(func() error {
			for _, directive := range batch {
				result := k.sendOne(ctx, directive)
				mutex.Lock()
				reports = append(reports, result)
				mutex.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait() // no call returns an error
	return reports
}

// byBackend groups orders by back end and keeps their order.
func byBackend(directives []controller.Directive) [][]controller.Directive {
	var batches [][]controller.Directive
	places := make(map[identity.BackendID]int)
	for _, directive := range directives {
		place, found := places[directive.Backend]
		if !found {
			place = len(batches)
			places[directive.Backend] = place
			batches = append(batches, nil)
		}
		batches[place] = append(batches[place], directive)
	}
	return batches
}

// sendOne sends one order, if the lease is still held.
func (k *Keeper) sendOne(ctx context.Context, directive controller.Directive) report {
	token, held := k.options.Lease.Held()
	if !held || token != directive.Order.Fence {
		return report{at: k.options.Now(), directive: directive, outcome: controller.OutcomeRefused}
	}
	ctx, cancel := context.WithTimeout(ctx, k.options.CallTimeout)
	defer cancel()
	err := k.options.Backends.Order(ctx, directive.Address, directive.Order)
	log := k.options.Log.WithField("backend", directive.Backend).WithField("order", directive.Order.Kind)
	if err == nil {
		log.Info("An order was accepted.")
	} else {
		log.WithError(err).Warn("An order failed.")
	}
	return report{at: k.options.Now(), directive: directive, outcome: outcomeOf(err)}
}

// outcomeOf sorts the result of an order.
func outcomeOf(err error) controller.Outcome {
	var failed *port.AttemptError
	switch {
	case err == nil:
		return controller.OutcomeAccepted
	case !errors.As(err, &failed):
		return controller.OutcomeUnknown
	case failed.Code == enginewire.CodeStaleFence:
		return controller.OutcomeStale
	case failed.Status != 0 || failed.Evidence <= outcome.DeclaredNotRun:
		return controller.OutcomeRefused
	default:
		return controller.OutcomeUnknown
	}
}
