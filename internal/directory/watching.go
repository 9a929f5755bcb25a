package directory

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/pause"
)

const (
	// declaredWait is how long a call for changes of what operators declared is held. Checks
	// confirm in between; a change ends it.
	declaredWait = 10 * time.Second
	// watchPause lies between two calls, however fast changes come, and between two looks whether
	// it is this daemon's turn.
	watchPause = 200 * time.Millisecond
	// maxAnswerTime is within which the store answers a held call once there is a change. While it
	// takes longer it is disturbed, and the time for a named version doesn't count.
	maxAnswerTime = 100 * time.Millisecond
	// maxTransitTime is within which a call reaches the store.
	maxTransitTime = 100 * time.Millisecond
)

// heldCall is what a call told that the store heldCall until there was a change: the versions that came
// to be after it had begun came shortly before the answer.
type heldCall struct {
	// after and to bound the versions, the first excluded.
	after, to uint64
	// clock is what the store's clock showed when they had not come to be yet.
	clock time.Duration
}

// before is what the store's clock showed before a version came to be; zero where the call doesn't
// tell.
func (h heldCall) before(version uint64) time.Duration {
	if version <= h.after || version > h.to {
		return 0
	}
	return h.clock
}

// watchDeclared hears at once of changes of what operators declared, while this daemon reads for all.
// The next check would find them too, up to an interval later.
func (d *Directory) watchDeclared(ctx context.Context) {
	var after uint64
	retries := d.newRetryPacer()
	for ctx.Err() == nil {
		pause.For(ctx, watchPause)
		if !d.role.readsForAll() || d.state.Load() == nil {
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

// heldAnswer is an answer to a call for changes after a version.
type heldAnswer struct {
	after  uint64
	change DeclaredChange
}

// applyHeldAnswer remembers what a held call told, if it reached the store before the change.
func (d *Directory) applyHeldAnswer(got message) {
	told := got.told.change
	clock := told.Clock - maxAnswerTime
	if at, known := d.freshness[tableDeclared].localTime(clock); known && at.After(got.began.Add(maxTransitTime)) {
		d.held = heldCall{after: got.told.after, to: told.Version, clock: clock}
	}
}

// signal lets one goroutine know of something. Make it with newSignal.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// awaitNext waits until a table's changes are to be asked for again. It returns true where the table
// is to be read as a whole now, since it is known to have changed.
func (d *Directory) awaitNext(ctx context.Context, following changeFeed) bool {
	if following.changed == nil {
		pause.For(ctx, following.pause)
		return false
	}
	timer := time.NewTimer(following.pause)
	defer timer.Stop()
	select {
	case <-following.changed:
		return d.role.readsForAll()
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
