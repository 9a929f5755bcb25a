// Package control runs the one goroutine that owns a daemon's control state:
// the scheduler, the registry of back ends and the published view. Traffic
// goroutines post typed events to it and read the view without locks.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/registry"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/port"
)

// Sizes and times of the loop.
const (
	// inboxSize is how many events may wait before those who post them block.
	inboxSize = 4096
	// busyTickInterval is the time between two ticks while requests wait or run,
	// and idleTickInterval the time while there are none: wake-ups are most of what
	// an idle daemon costs.
	busyTickInterval = 20 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
)

// Options configure a loop.
type Options struct {
	Policy   scheduler.Policy
	Registry *registry.Registry
	// Clock returns the time; time.Now when nil.
	Clock func() time.Time
}

// Loop owns the control state. Make it with New, and run it with Run.
type Loop struct {
	options Options
	inbox   chan event
	stopped chan struct{}
	view    atomic.Pointer[view.View]
	state   state
}

// New makes a loop that has no configuration yet.
func New(options Options) *Loop {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	loop := &Loop{
		options: options,
		inbox:   make(chan event, inboxSize),
		stopped: make(chan struct{}),
	}
	loop.state = newState(options, &loop.view)
	loop.view.Store(view.New(&dynamic.Document{}, nil))
	return loop
}

// View implements port.Views.
func (l *Loop) View() *view.View {
	return l.view.Load()
}

// Run handles events until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	ticks := time.NewTimer(idleTickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case received := <-l.inbox:
			received.apply(&l.state, l.options.Clock())
		case <-ticks.C:
			l.state.tick(l.options.Clock())
			ticks.Reset(l.state.tickInterval())
		}
	}
}

// Schedule implements port.Scheduling.
func (l *Loop) Schedule(ctx context.Context, request scheduler.Request) (scheduler.Start, error) {
	reply := make(chan decision, 1)
	l.post(arrival{request: request, reply: reply})
	select {
	case decided := <-reply:
		return decided.start, decided.err
	case <-ctx.Done():
		l.post(withdrawal{id: request.ID, reply: reply})
		return scheduler.Start{}, ctx.Err()
	case <-l.stopped:
		return scheduler.Start{}, &port.RefusedError{Reason: scheduler.ReasonNoBackend, RetryAfter: time.Second}
	}
}

// FirstToken implements port.Scheduling.
func (l *Loop) FirstToken(report scheduler.FirstToken) {
	l.post(firstToken{report: report})
}

// Finish implements port.Scheduling.
func (l *Loop) Finish(report scheduler.Finish) {
	l.post(finish{report: report})
}

// post hands an event to the control goroutine. After the loop has stopped the
// event is dropped, since nobody is left to act on it.
func (l *Loop) post(posted event) {
	select {
	case l.inbox <- posted:
	case <-l.stopped:
	}
}
