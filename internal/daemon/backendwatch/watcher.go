// Package backendwatch asks the platform for its machine list, and the back ends
// that this daemon watches for their status and cache events, and hands what it
// learns to the control loop.
package backendwatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/sighting"
	"github.com/lotusward/lotusward/internal/core/watch"
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
	ObserveUnreachable(id identity.BackendID)
	Unwatch(id identity.BackendID)
	// ObserveCacheEvents returns false when it dropped the batch for lack of time.
	ObserveCacheEvents(id identity.BackendID, batch enginewire.CacheEventBatch) bool
}

// Assignment tells which of the machines this daemon asks itself.
type Assignment interface {
	// Rank returns this daemon's place among the watchers of a machine; the second
	// result is false when it is none of them.
	Rank(machine platformwire.Machine) (int, bool)
	// Changed receives a value after a change of the assignment.
	Changed() <-chan struct{}
}

// unsettledListInterval is how soon a machine list is read again that is empty or
// just changed: it lags, and most likely more machines are about to show on it.
const unsettledListInterval = 250 * time.Millisecond

// recheckQueue is how many rechecks may wait; more are dropped, since every back
// end is asked again soon anyway.
const recheckQueue = 1024

// Options configure a watcher.
type Options struct {
	Machines   port.MachineList
	Statuses   StatusSource
	Sink       Sink
	Assignment Assignment
	Log        logrus.FieldLogger
	// CacheEvents opens engines' streams of cache events; none are read when nil.
	CacheEvents CacheEventSource
	// ListInterval is the time between two reads of the machine list.
	ListInterval time.Duration
	// Pace bounds how often back ends are asked. A question that has no answer
	// after Pace.Shortest has failed.
	Pace watch.Pace
}

// Watcher keeps one goroutine for each back end that it asks, and one more for
// each engine's cache events.
type Watcher struct {
	options  Options
	machines []platformwire.Machine
	// listVersion is that of the list that machines are from.
	listVersion uint64
	polls       map[identity.BackendID]*poll
	watched     atomic.Int64
	rechecks    chan sighting.Recheck
	running     sync.WaitGroup
}

// New makes a watcher.
func New(options Options) *Watcher {
	return &Watcher{
		options:  options,
		polls:    make(map[identity.BackendID]*poll),
		rechecks: make(chan sighting.Recheck, recheckQueue),
	}
}

// Recheck asks to look at a back end at once. It does not block.
func (w *Watcher) Recheck(recheck sighting.Recheck) {
	select {
	case w.rechecks <- recheck:
	default:
	}
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.running.Wait()
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = w.options.ListInterval
	delays.MaxInterval = 10 * w.options.ListInterval
	for ctx.Err() == nil {
		wait := w.options.ListInterval
		before := w.listVersion
		if !w.readList(ctx) {
			wait = delays.NextBackOff()
		} else if delays.Reset(); len(w.machines) == 0 || w.listVersion != before {
			wait = min(wait, unsettledListInterval)
		}
		w.attend(ctx, wait)
	}
	return nil
}

// attend passes on rechecks and follows changes of the assignment for a while.
func (w *Watcher) attend(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-w.options.Assignment.Changed():
			w.follow(ctx)
		case recheck := <-w.rechecks:
			if asked := w.polls[recheck.Backend]; asked != nil {
				asked.hurry(recheck)
			}
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
	w.machines, w.listVersion = list.Machines, list.Version
	w.follow(ctx)
	return true
}

// assigned is a machine that this daemon asks, with its rank among the watchers.
type assigned struct {
	machine platformwire.Machine
	rank    int
}

// follow starts and stops polls so that exactly the assigned machines are asked.
func (w *Watcher) follow(ctx context.Context) {
	wanted := make(map[identity.BackendID]assigned)
	for _, machine := range w.machines {
		if rank, is := w.options.Assignment.Rank(machine); is {
			wanted[machine.ID] = assigned{machine: machine, rank: rank}
		}
	}
	w.watched.Store(int64(len(wanted)))
	for id, running := range w.polls {
		if wanted[id].machine.Address != running.machine.Address {
			delete(w.polls, id)
			running.end()
		}
	}
	for id, asking := range wanted {
		if running, found := w.polls[id]; found {
			running.rank.Store(int64(asking.rank))
			continue
		}
		w.polls[id] = w.start(ctx, asking)
	}
}

// Watched returns how many back ends this daemon asks. It is safe for use by any
// goroutine.
func (w *Watcher) Watched() int { return int(w.watched.Load()) }
