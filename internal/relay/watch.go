package relay

import (
	"context"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// Patience with silent back ends.
const (
	// aliveFactor is how many times longer than the target latency a back end is
	// waited for that can be reached.
	aliveFactor = 2.5
	// stallSlack is added to the longest pause of a stream that is in time.
	stallSlack = 250 * time.Millisecond
	// aliveStallFactor is as aliveFactor, for streams that have begun.
	aliveStallFactor = 4
	defaultGapTarget = 500 * time.Millisecond
	// LastBegin is how long after the bound for new requests one may still begin.
	LastBegin = 400 * time.Millisecond
	// beginCheckInterval is how often it is looked whether a newer version was named.
	beginCheckInterval = 300 * time.Millisecond
	// reachTimeout is how long a back end may take to accept a connection.
	reachTimeout = 300 * time.Millisecond
)

// watchdog cuts a sending whose back end is silent for too long, if the request
// may go elsewhere. The zero value watches nothing.
type watchdog struct {
	mutex   sync.Mutex
	run     *run
	ticket  *backendpool.Ticket
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	patient time.Duration
	alive   time.Duration
	since   time.Time
	// reachedAt is when the back end last accepted a connection.
	reachedAt time.Time
	stopped   bool
	// paused is set while nothing is read from the back end.
	paused bool
}

// watchFirst watches for the first byte of an answer.
func (r *run) watchFirst(ticket *backendpool.Ticket, cancel context.CancelCauseFunc) *watchdog {
	target := r.admitted.match.Route.TargetLatency
	if target == 0 || !r.couldRepeat() {
		return &watchdog{}
	}
	if prompt := r.admitted.request.Prompt; prompt != nil {
		total, _ := promptTokens(prompt.Parts)
		target += time.Duration(total) * backendpool.SlowTokenTime
	}
	return r.watch(ticket, cancel, target, time.Duration(aliveFactor*float64(target)))
}

// beginWatch cuts a sending that has not begun when requests may no longer begin on
// the version of the weights that it was sent to, which is zero where nobody has told it.
type beginWatch struct {
	mutex   sync.Mutex
	run     *run
	model   identity.ModelName
	version uint64
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	stopped bool
}

// watchBegin starts the watch for a sending.
func (r *run) watchBegin(ticket *backendpool.Ticket, cancel context.CancelCauseFunc) *beginWatch {
	prompt := r.admitted.request.Prompt
	if prompt == nil {
		return &beginWatch{stopped: true}
	}
	watch := &beginWatch{run: r, model: prompt.Model, version: ticket.Version, cancel: cancel}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(beginCheckInterval, watch.check)
	return watch
}

// check cuts the sending if it is time, and looks again later otherwise.
func (w *beginWatch) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	bound := w.run.relay.beginBound(w.model, w.version).At
	left := bound.Add(LastBegin).Sub(w.run.now())
	switch {
	case bound.IsZero():
		w.timer.Reset(beginCheckInterval)
	case left <= 0:
		w.stopped = true
		w.cancel(errOldWeights)
	default:
		w.timer.Reset(min(left, beginCheckInterval))
	}
}

// stop ends the watch. The sending is not cut after it.
func (w *beginWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.stopped {
		w.stopped = true
		w.timer.Stop()
	}
}

// noteReplaced notes for the journal how a sending stood to the time by which requests had to begin
// on its weights, when it began or, if it never did, at its end.
func (r *run) noteReplaced(begun bool) {
	prompt := r.admitted.request.Prompt
	if prompt == nil || r.beginNoted {
		return
	}
	r.beginNoted = begun
	bound := r.relay.beginBound(prompt.Model, r.attempt.Version)
	if !bound.At.IsZero() {
		r.attempt.Replaced = &ReplacedWeights{Bound: bound, Left: bound.At.Sub(r.now()), Begun: begun}
	}
}

// watchStall watches for the next event of a stream.
func (r *run) watchStall(ticket *backendpool.Ticket, cancel context.CancelCauseFunc) *watchdog {
	if !r.couldRepeat() {
		return &watchdog{}
	}
	gap := r.admitted.match.Route.GapTarget
	if gap == 0 {
		gap = defaultGapTarget
	}
	return r.watch(ticket, cancel, gap+stallSlack, aliveStallFactor*(gap+stallSlack))
}

// couldRepeat tells whether the request might be sent once more after the
// present sending.
func (r *run) couldRepeat() bool {
	route := r.admitted.match.Route
	return route.Repeatable() && r.ran+1 < route.MaxAttempts && r.sendings()+1 < maximumSendings
}

func (r *run) watch(ticket *backendpool.Ticket, cancel context.CancelCauseFunc, patient, alive time.Duration) *watchdog {
	watch := &watchdog{run: r, ticket: ticket, cancel: cancel, patient: patient, alive: alive, since: r.now()}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(patient, watch.check)
	ticket.OnLost(watch.cut)
	return watch
}

// check cuts the sending if nothing came for too long, and otherwise looks again
// later. A back end that has been silent on all requests is asked whether it can
// be reached; if so, it gets more time.
func (w *watchdog) check() {
	if w.unheard() && !w.reach() {
		w.cut()
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.paused && !w.stopped {
		w.timer.Reset(w.patient)
		return
	}
	silent := w.run.now().Sub(w.since)
	if silent < w.alive && !w.stopped {
		w.timer.Reset(max(min(w.alive-silent, w.patient), time.Millisecond))
		return
	}
	w.cutLocked()
}

// unheard tells whether nothing came from the back end for as long as the watch
// is patient.
func (w *watchdog) unheard() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	since := w.since
	if w.reachedAt.After(since) {
		since = w.reachedAt
	}
	return !w.stopped && !w.paused && w.run.now().Sub(since) >= w.patient && w.ticket.SilentSince(since)
}

// reach tells whether the back end accepts a connection.
func (w *watchdog) reach() bool {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	if !w.run.relay.options.Backends.Reach(ctx, w.ticket.Backend.Address) {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.reachedAt = w.run.now()
	return true
}

// cut ends the sending.
func (w *watchdog) cut() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cutLocked()
}

func (w *watchdog) cutLocked() {
	if w.stopped {
		return
	}
	w.stopped = true
	w.cancel(errSlow)
}

// pause stops the watch until the back end is heard of: while a slow caller is written to, it is not the back end that is
// silent.
func (w *watchdog) pause() {
	if w.timer == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.paused = true
}

// heard starts the watch anew.
func (w *watchdog) heard() {
	if w.timer == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.since = w.run.now()
	w.paused = false
}

// stop ends the watch.
func (w *watchdog) stop() {
	if w.timer == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}
