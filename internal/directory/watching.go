package directory

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/pause"
)

const (
	// declaredWait is how long a call for changes of what operators declared is held. Checks confirm in between; a
	// change ends the call.
	declaredWait = 10 * time.Second
	// watchPause is the pause between two calls, however fast changes come, and between two checks whether this
	// daemon is the reader.
	watchPause = 200 * time.Millisecond
	// maxAnswerTime is the time within which a steady store answers a held call after a change. If it takes longer,
	// the store is disturbed, and time limits on a named version don't apply.
	maxAnswerTime = 100 * time.Millisecond
	// maxTransitTime is the time within which a call reaches the store.
	maxTransitTime = 100 * time.Millisecond
)

// heldCall is the result of a call that the store held until a change: the versions created after the call began
// were created shortly before the answer.
type heldCall struct {
	// after and to bound the versions; after is excluded.
	after, to uint64
	// clock is the store's clock at a time before they were created.
	clock time.Duration
}

// before returns the store's clock at a time before a version was created; zero if the call doesn't show that.
func (h heldCall) before(version uint64) time.Duration {
	if version <= h.after || version > h.to {
		return 0
	}
	return h.clock
}

// watchDeclared waits for changes of what operators declared, while this daemon is the reader. The next check would
// find them too, but up to an interval later.
func (d *Directory) watchDeclared(ctx context.Context) {
	var after uint64
	retries := d.newRetryPacer()
	for ctx.Err() == nil {
		pause.For(ctx, watchPause)
		if !d.role.isReader() || d.state.Load() == nil {
			continue
		}
		after = max(after, d.positions[tableDeclared].Load())
		began := clock.Now()
		bounded, cancel := context.WithTimeout(ctx, declaredWait+callTimeout)
		told, err := d.options.Source.DeclaredChanges(bounded, after, declaredWait)
		cancel()
		if err != nil {
			retries.pauseAfter(ctx, err)
			continue
		}
		retries.succeeded()
		if told.Changed {
			d.post(ctx, message{began: began, told: &heldAnswer{after: after, change: told}})
			d.declaredChanged.notify()
		}
		after = max(after, told.Version)
	}
}

// heldAnswer is the answer to a call for changes after a version.
type heldAnswer struct {
	after  uint64
	change DeclaredChange
}

// applyHeldAnswer records the result of a held call, if the call reached the store before the change.
func (d *Directory) applyHeldAnswer(got message) {
	told := got.told.change
	clock := told.Clock - maxAnswerTime
	if at, known := d.freshness[tableDeclared].localTime(clock); known && at.After(got.began.Add(maxTransitTime)) {
		d.held = heldCall{after: got.told.after, to: told.Version, clock: clock}
	}
}

// signal wakes one goroutine. Make it with newSignal.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// awaitNext waits until a table's changes are to be requested again. It returns true if the table is to be read in
// full now, since it is known to have changed.
func (d *Directory) awaitNext(ctx context.Context, following changeFeed) bool {
	if following.changed == nil {
		pause.For(ctx, following.pause)
		return false
	}
	timer := time.NewTimer(following.pause)
	defer timer.Stop()
	select {
	case <-following.changed:
		return d.role.isReader()
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
