package relay

import (
	"context"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// Patience with silent back ends.
const (
	// aliveFactor is how many times longer a back end is waited for that answers
	// other requests meanwhile.
	aliveFactor = 2
	// stallSlack is added to the longest pause of a stream that is in time.
	stallSlack = 250 * time.Millisecond
	// aliveStallFactor is as aliveFactor, for streams that have begun.
	aliveStallFactor = 4
	defaultGapTarget = 500 * time.Millisecond
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
	stopped bool
}

// watchFirst watches for the first byte of an answer.
func (r *run) watchFirst(ticket *backendpool.Ticket, cancel context.CancelCauseFunc) *watchdog {
	target := r.admitted.match.Route.TargetLatency
	if target == 0 || !r.couldRepeat() {
		return &watchdog{}
	}
	return r.watch(ticket, cancel, target, aliveFactor*target)
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
	return route.Repeatable() && r.ran+1 < route.MaxAttempts && r.history.Attempts()+1 < maximumSendings
}

func (r *run) watch(ticket *backendpool.Ticket, cancel context.CancelCauseFunc, patient, alive time.Duration) *watchdog {
	watch := &watchdog{run: r, ticket: ticket, cancel: cancel, patient: patient, alive: alive, since: r.now()}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(patient, watch.check)
	return watch
}

// check cuts the sending if nothing came for too long, and otherwise looks again
// later.
func (w *watchdog) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	silent := w.run.now().Sub(w.since)
	bound := w.alive
	if w.ticket.SilentSince(w.since) {
		bound = w.patient
	}
	if silent < bound {
		w.timer.Reset(max(min(bound-silent, w.patient), time.Millisecond))
		return
	}
	w.stopped = true
	w.cancel(errSlow)
}

// heard starts the watch anew.
func (w *watchdog) heard() {
	if w.timer == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.since = w.run.now()
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
