package backendwatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/sighting"
	"github.com/lotusward/lotusward/internal/core/watch"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// How many questions in a row must fail before a back end counts as unreachable.
// A refused connection says that no process is there; silence may be a pause.
const (
	refusedLimit = 2
	silentLimit  = 3
)

// retryDelay is the time from a failed question to the next one while it is not
// settled whether the back end is unreachable.
const retryDelay = 100 * time.Millisecond

// wrongBackendError says that another back end answered at an address.
type wrongBackendError struct {
	expected, found identity.BackendID
}

// Error implements error.
func (e *wrongBackendError) Error() string {
	return fmt.Sprintf("expected back end %s, found %s", e.expected, e.found)
}

// poll asks one back end again and again.
type poll struct {
	watcher  *Watcher
	machine  platformwire.Machine
	rank     atomic.Int64
	stop     context.CancelFunc
	tasks    sync.WaitGroup
	rechecks chan struct{}
	// incarnation is that of the newest status, zero before the first. A new one
	// breaks the stream of cache events.
	incarnation atomic.Uint64
	breakStream atomic.Pointer[context.CancelFunc]

	// doubted is set while another watcher does not reach the back end: then one
	// failed question of this one is enough.
	doubted atomic.Bool
	// failures is how many questions in a row failed.
	failures    int
	unreachable bool
}

func (w *Watcher) start(ctx context.Context, asking assigned) *poll {
	pollContext, stop := context.WithCancel(ctx)
	started := &poll{
		watcher: w, machine: asking.machine, stop: stop,
		rechecks: make(chan struct{}, 1),
	}
	started.rank.Store(int64(asking.rank))
	w.running.Add(1)
	started.tasks.Go(func() {
		defer w.running.Done()
		started.run(pollContext)
	})
	if w.options.CacheEvents != nil && asking.machine.Kind == identity.KindEngine {
		w.running.Add(1)
		started.tasks.Go(func() {
			defer w.running.Done()
			started.followCacheEvents(pollContext)
		})
	}
	return started
}

// end stops the poll, and takes back what it said once it can say no more.
func (p *poll) end() {
	p.stop()
	p.tasks.Wait()
	p.watcher.options.Sink.Unwatch(p.machine.ID)
}

// hurry makes the poll ask at once.
func (p *poll) hurry(recheck sighting.Recheck) {
	if recheck.Unreachable {
		p.doubted.Store(true)
	}
	select {
	case p.rechecks <- struct{}{}:
	default:
	}
}

func (p *poll) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.ask(ctx)
		if ctx.Err() != nil {
			return
		}
		p.note(err)
		timer := time.NewTimer(p.pause())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-p.rechecks:
			p.reconsider()
		}
		timer.Stop()
	}
}

// note counts failures and tells when they are enough.
func (p *poll) note(err error) {
	if err == nil {
		p.failures, p.unreachable = 0, false
		p.doubted.Store(false)
		return
	}
	p.failures++
	limit := refusedLimit
	if errors.Is(err, context.DeadlineExceeded) {
		limit = silentLimit
	}
	if p.doubted.Load() {
		limit = 1
	}
	if p.failures < limit {
		return
	}
	p.giveUp(err)
}

// reconsider counts failures before another watcher's word like those after it.
func (p *poll) reconsider() {
	if p.doubted.Load() && p.failures > 0 && !p.unreachable {
		p.giveUp(nil)
	}
}

// giveUp tells that the back end does not answer; err is the last failure, if it
// is at hand.
func (p *poll) giveUp(err error) {
	if !p.unreachable {
		p.watcher.options.Log.WithError(err).WithField("backend", p.machine.ID).Warn("A back end does not answer.")
	}
	p.unreachable = true
	p.watcher.options.Sink.ObserveUnreachable(p.machine.ID)
}

// pause is how long to wait before the next question.
func (p *poll) pause() time.Duration {
	if p.failures > 0 && !p.unreachable {
		return retryDelay
	}
	now := time.Now()
	interval := p.watcher.options.Pace.Interval(int(p.watcher.watched.Load()))
	return watch.Next(now, p.machine.ID, int(p.rank.Load()), interval).Sub(now)
}

func (p *poll) ask(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, p.watcher.options.Pace.Shortest)
	defer cancel()
	status, err := p.watcher.options.Statuses.Status(limited, p.machine.Address)
	if err != nil {
		if !errors.Is(err, syscall.ECONNREFUSED) && limited.Err() != nil {
			return context.DeadlineExceeded
		}
		return err
	}
	if status.Backend != p.machine.ID {
		return &wrongBackendError{expected: p.machine.ID, found: status.Backend}
	}
	p.noteIncarnation(uint64(status.Incarnation))
	p.watcher.options.Sink.ObserveStatus(status)
	return nil
}

// noteIncarnation ends the stream of cache events of an earlier life, which might
// otherwise wait for a sequence number that the new life reaches much later.
func (p *poll) noteIncarnation(current uint64) {
	previous := p.incarnation.Swap(current)
	if previous == 0 || previous == current {
		return
	}
	if breakStream := p.breakStream.Load(); breakStream != nil {
		(*breakStream)()
	}
}
