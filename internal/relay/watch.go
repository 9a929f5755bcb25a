package relay

import (
	"context"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// Timeouts for silent backends.
const (
	// reachableFactor is the multiple of the target latency for which a silent but reachable
	// backend is waited for.
	reachableFactor = 2.5
	// stallSlack is added to the longest permitted gap between the events of a stream.
	stallSlack = 250 * time.Millisecond
	// reachableStallFactor is the counterpart of reachableFactor for streams that have started.
	reachableStallFactor = 4
	defaultGapTarget     = 500 * time.Millisecond
	// LastBegin is how long after the bound for new requests a request queued at a backend may
	// still start.
	LastBegin = 400 * time.Millisecond
	// startCheckInterval is the interval of the check for newly named versions.
	startCheckInterval = 300 * time.Millisecond
	// soundSilence is how long a backend that doesn't respond to attempts to connect may send nothing
	// on a request. It may be silent for a moment and then go on with the request.
	soundSilence = 1750 * time.Millisecond
	// reachTimeout is how long a backend may take to accept a connection.
	reachTimeout = 300 * time.Millisecond
)

// watchdog cuts an attempt whose backend is silent for too long, if the request may be retried.
// The zero value watches nothing.
type watchdog struct {
	mutex      sync.Mutex
	run        *run
	ticket     *backendpool.Ticket
	cancel     context.CancelCauseFunc
	timer      *time.Timer
	probeAfter time.Duration
	maxSilence time.Duration
	lastHeard  time.Time
	// reachedAt is when the backend last accepted a connection. suspected is set if a later probe got no
	// response.
	reachedAt time.Time
	suspected bool
	stopped   bool
	// paused is set while nothing is read from the backend.
	paused bool
}

// watchFirstByte watches for the first byte of an answer.
func (r *run) watchFirstByte(ticket *backendpool.Ticket, cancel context.CancelCauseFunc) *watchdog {
	target := r.admitted.match.Route.TargetLatency
	if target == 0 || !r.retryPossible() {
		return &watchdog{}
	}
	if prompt := r.admitted.request.Prompt; prompt != nil {
		total, _ := promptTokens(prompt.Parts)
		target += time.Duration(total) * backendpool.SlowTokenTime
	}
	return r.newWatchdog(ticket, cancel, target, time.Duration(reachableFactor*float64(target)))
}

// startWatch cuts an attempt that has not started by the time from which requests may no longer
// start on the version of the weights it was sent to. The version is zero if nobody has reported
// it.
type startWatch struct {
	mutex   sync.Mutex
	run     *run
	model   identity.ModelName
	version uint64
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	stopped bool
}

// watchStart starts the watch for an attempt.
func (r *run) watchStart(ticket *backendpool.Ticket, cancel context.CancelCauseFunc) *startWatch {
	prompt := r.admitted.request.Prompt
	if prompt == nil {
		return &startWatch{stopped: true}
	}
	watch := &startWatch{run: r, model: prompt.Model, version: ticket.Version, cancel: cancel}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(startCheckInterval, watch.check)
	return watch
}

// check cuts the attempt if its time has passed, and otherwise schedules the next check.
func (w *startWatch) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	bound := w.run.relay.beginBound(w.model, w.version).At
	left := bound.Add(LastBegin).Sub(w.run.now())
	switch {
	case bound.IsZero():
		w.timer.Reset(startCheckInterval)
	case left <= 0:
		w.stopped = true
		w.cancel(errOldWeights)
	default:
		w.timer.Reset(min(left, startCheckInterval))
	}
}

// stop ends the watch. The attempt is not cut afterwards.
func (w *startWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.stopped {
		w.stopped = true
		w.timer.Stop()
	}
}

// recordReplaced records, for the observer, how an attempt relates to the time by which requests
// had to start on its weights. It is called when the attempt starts or, if it never does, when it
// ends.
func (r *run) recordReplaced(begun bool) {
	prompt := r.admitted.request.Prompt
	if prompt == nil || r.startRecorded {
		return
	}
	r.startRecorded = begun
	bound := r.relay.beginBound(prompt.Model, r.attempt.Version)
	if !bound.At.IsZero() {
		r.attempt.Replaced = &ReplacedWeights{Bound: bound, Left: bound.At.Sub(r.now()), Begun: begun}
	}
}

// watchStall watches for the next event of a stream.
func (r *run) watchStall(ticket *backendpool.Ticket, cancel context.CancelCauseFunc) *watchdog {
	if !r.retryPossible() {
		return &watchdog{}
	}
	gap := r.admitted.match.Route.GapTarget
	if gap == 0 {
		gap = defaultGapTarget
	}
	return r.newWatchdog(ticket, cancel, gap+stallSlack, reachableStallFactor*(gap+stallSlack))
}

// retryPossible reports whether the request could be retried after the current attempt.
func (r *run) retryPossible() bool {
	route := r.admitted.match.Route
	return route.Repeatable() && r.possiblyRan+1 < route.MaxAttempts && r.reachedAttempts()+1 < maxReachedAttempts
}

func (r *run) newWatchdog(ticket *backendpool.Ticket, cancel context.CancelCauseFunc, probeAfter, maxSilence time.Duration) *watchdog {
	watch := &watchdog{run: r, ticket: ticket, cancel: cancel, probeAfter: probeAfter, maxSilence: maxSilence, lastHeard: r.now()}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(probeAfter, watch.check)
	ticket.OnLost(watch.lose)
	return watch
}

// check cuts the attempt if the backend has been silent for too long, and otherwise schedules the
// next check. If the backend has been silent on all requests, it is probed first; if it can be
// reached, it gets more time.
func (w *watchdog) check() {
	if w.probeDue() {
		if result := w.reach(); result != backendpool.Connected {
			w.lose(result == backendpool.ConnectTimedOut)
			return
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.paused && !w.stopped {
		w.timer.Reset(w.probeAfter)
		return
	}
	silent := w.run.now().Sub(w.lastHeard)
	if silent < w.maxSilence && !w.stopped {
		w.timer.Reset(max(min(w.maxSilence-silent, w.probeAfter), time.Millisecond))
		return
	}
	w.cutLocked()
}

// probeDue reports whether nothing has been received from the backend, on any request, for the
// duration of probeAfter, or since a probe that got no response.
func (w *watchdog) probeDue() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	since := w.lastHeard
	if w.reachedAt.After(since) {
		since = w.reachedAt
	}
	due := w.suspected || w.run.now().Sub(since) >= w.probeAfter
	return due && !w.stopped && !w.paused && w.ticket.SilentSince(since)
}

// reach probes the backend.
func (w *watchdog) reach() backendpool.ConnectResult {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	result := w.run.relay.options.Backends.Reach(ctx, w.ticket.Backend.Address)
	if result == backendpool.Connected {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.reachedAt, w.suspected = w.run.now(), false
	}
	return result
}

// lose cuts the attempt because the backend can't be reached. One that is merely silent may still go on
// with the request, and is left only once it has been silent for soundSilence.
func (w *watchdog) lose(silent bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	left := soundSilence - w.run.now().Sub(w.lastHeard)
	if silent && left > 0 && !w.stopped {
		w.suspected = true
		w.timer.Reset(left)
		return
	}
	w.cutLocked()
}

func (w *watchdog) cutLocked() {
	if w.stopped {
		return
	}
	w.stopped = true
	w.cancel(errSilentBackend)
}

// pause suspends the watch until the next reset. While the daemon writes to a slow caller, nothing
// is read from the backend and its silence means nothing.
func (w *watchdog) pause() {
	if w.timer == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.paused = true
}

// reset restarts the watch after data from the backend.
func (w *watchdog) reset() {
	if w.timer == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastHeard = w.run.now()
	w.paused, w.suspected = false, false
}

func (w *watchdog) stop() {
	if w.timer == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}
