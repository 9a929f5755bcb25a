// Package backendwatch asks the platform for its machine list and the back ends
// for their status, and hands both to the control loop.
package backendwatch

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// StatusSource asks one back end for its status.
type StatusSource interface {
	Status(ctx context.Context, address string) (enginewire.Status, error)
}

// Sink takes what was learned.
type Sink interface {
	ObserveMachines(list platformwire.MachineList)
	ObserveStatus(status enginewire.Status)
}

// Assignment tells which of the machines this daemon asks itself.
type Assignment interface {
	Assigned(machines []platformwire.Machine) []platformwire.Machine
}

// emptyListInterval is how soon an empty machine list is read again: it lags, and
// most likely the machines are just not on it yet.
const emptyListInterval = 250 * time.Millisecond

// Options configure a watcher.
type Options struct {
	Machines   port.MachineList
	Statuses   StatusSource
	Sink       Sink
	Assignment Assignment
	Log        logrus.FieldLogger
	// ListInterval is the time between two reads of the machine list.
	ListInterval time.Duration
	// StatusInterval is the time between two status requests to one back end. A
	// request that has no answer by then has failed.
	StatusInterval time.Duration
}

// Watcher keeps one goroutine for each back end that it asks.
type Watcher struct {
	options Options
	polls   map[identity.BackendID]poll
	running sync.WaitGroup
}

type poll struct {
	address string
	stop    context.CancelFunc
}

// New makes a watcher.
func New(options Options) *Watcher {
	return &Watcher{options: options, polls: make(map[identity.BackendID]poll)}
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.running.Wait()
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = w.options.ListInterval
	delays.MaxInterval = 10 * w.options.ListInterval
	for {
		wait := w.options.ListInterval
		if !w.readList(ctx) {
			wait = delays.NextBackOff()
		} else if delays.Reset(); len(w.polls) == 0 {
			wait = min(wait, emptyListInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// readList reads the machine list once and tells whether that worked. While it
// does not, the back ends of the last list are still asked.
func (w *Watcher) readList(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, w.options.ListInterval)
	defer cancel()
	list, err := w.options.Machines.Machines(limited)
	if err != nil {
		if ctx.Err() == nil {
			w.options.Log.WithError(err).Warn("The machine list could not be read.")
		}
		return false
	}
	w.options.Sink.ObserveMachines(list)
	w.follow(ctx, w.options.Assignment.Assigned(list.Machines))
	return true
}

// follow starts and stops polls so that exactly the wanted machines are asked.
func (w *Watcher) follow(ctx context.Context, wanted []platformwire.Machine) {
	addresses := make(map[identity.BackendID]string, len(wanted))
	for _, machine := range wanted {
		addresses[machine.ID] = machine.Address
	}
	for id, running := range w.polls {
		if addresses[id] != running.address {
			running.stop()
			delete(w.polls, id)
		}
	}
	for id, address := range addresses {
		if _, found := w.polls[id]; found {
			continue
		}
		pollContext, stop := context.WithCancel(ctx)
		w.polls[id] = poll{address: address, stop: stop}
		w.running.Go(func() { w.poll(pollContext, id, address) })
	}
}

func (w *Watcher) poll(ctx context.Context, id identity.BackendID, address string) {
	ticker := time.NewTicker(w.options.StatusInterval)
	defer ticker.Stop()
	reachable := true
	for {
		answered := w.ask(ctx, id, address)
		if reachable && !answered && ctx.Err() == nil {
			w.options.Log.WithField("backend", id).Warn("A back end does not answer.")
		}
		reachable = answered
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Watcher) ask(ctx context.Context, id identity.BackendID, address string) bool {
	limited, cancel := context.WithTimeout(ctx, w.options.StatusInterval)
	defer cancel()
	status, err := w.options.Statuses.Status(limited, address)
	if err != nil || status.Backend != id {
		return false
	}
	w.options.Sink.ObserveStatus(status)
	return true
}

// AssignAll asks every machine, for deployments with few daemons.
type AssignAll struct{}

// Assigned implements Assignment.
func (AssignAll) Assigned(machines []platformwire.Machine) []platformwire.Machine {
	return machines
}
