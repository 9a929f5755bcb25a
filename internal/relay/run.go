package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	corestream "github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/sharedlimit"
	"github.com/lotusward/lotusward/internal/streamorigin"
)

// maxReachedAttempts bounds the attempts of one request that reach a backend, regardless of its
// route's limit. Rejected attempts count too.
const maxReachedAttempts = 3

// maxUnreachedAttempts bounds the attempts of one request that fail to connect. They run nothing
// and only cost time.
const maxUnreachedAttempts = 8

// reasonDeadline is the reason of requests whose deadline has passed.
const reasonDeadline = "deadline"

// Causes of a cut attempt.
var (
	errDeadline      = errors.New("the request deadline has passed")
	errSilentBackend = errors.New("the back end is silent for too long")
	// errOldWeights cuts a request that is queued at a backend with weights on which requests may
	// no longer start.
	errOldWeights = errors.New("the back end has old weights and has not begun")
	// errLinkLost cuts a request that is in flight on a network link that has failed.
	errLinkLost = errors.New("the network link to the back end has failed")
	// errNotAccepting cancels an attempt before any byte is sent.
	errNotAccepting = errors.New("the back end drains or wants no requests since it was chosen")
)

// run is the processing state of one admitted request.
type run struct {
	relay    *Relay
	admitted *admission
	caller   Caller

	history  outcome.History
	excluded []identity.BackendID
	// possiblyRan counts the attempts that the backend may have run, and unreached those that did
	// not reach a backend.
	possiblyRan, unreached int
	// headSent is set once the head has been sent to the caller.
	headSent  bool
	firstByte time.Duration
	resumed   int
	// lastEvent is the ID of the last event sent to the caller.
	lastEvent string
	// began is the software version that began the stream, at whose backends alone it may be
	// continued. It is nil if the request may go to any version.
	began *identity.SoftwareVersion
	// beginning is how the stream began in this request; nil if it did not.
	beginning *corestream.Origin
	// restarted are the excluded backends that had restarted when the stream was to begin there, and
	// beginsAnywhere is set once it may begin there because there are no others.
	restarted      []identity.BackendID
	beginsAnywhere bool
	// origin is what was known of the beginning of the stream that the request continues.
	origin  streamorigin.Found
	attempt Attempt
	// startRecorded is set once the backend has started on the current attempt. Versions named
	// later don't count against it.
	startRecorded bool
	// sentAt is the start time of the current attempt.
	sentAt   time.Time
	shortage backendpool.Shortage
	// partsRefreshed is set once the locations of the prompt's parts have been looked up.
	partsRefreshed bool
	// overloaded is set if the request waited for a slot in vain, or was not allowed to wait for
	// one.
	overloaded bool
	// choice is the software version choice for the next attempt. unconfirmed is set if the
	// request may go to no version.
	choice      choice
	unconfirmed bool
	// progress belongs to the current attempt.
	progress answerProgress
	// startWatch watches for the start of the current attempt.
	startWatch *startWatch
	// linkLost is set once the network link of the current attempt has failed.
	linkLost *atomic.Bool
	// grant is the request's grant from its tenant's limit, or nil if there is no limit.
	grant *sharedlimit.Grant
	// limitGrant is the current ticket's grant from its backend's limit, or nil.
	limitGrant *sharedlimit.Grant
	// tryEnded ends the dispatch of an ambiguous prompt; nil if the prompt is not one.
	tryEnded func()
	// verdict is the last verdict on backend crashes during the request.
	verdict quarantine.Status
}

func newRun(relay *Relay, admitted *admission, caller Caller) *run {
	return &run{relay: relay, admitted: admitted, caller: caller, lastEvent: admitted.request.ResumeAfter}
}

// step is what follows an attempt.
type step int

const (
	// stepDone means that the caller has its final answer.
	stepDone step = iota
	// stepRetry means that the request may go to another backend.
	stepRetry
)

// failure says why the last attempt yielded no answer to pass on.
type failure struct {
	evidence outcome.Evidence
	result   backendpool.Result
	reason   string
	// fallback is a failure answer of the backend that is passed on if no retry does better.
	fallback *bufferedAnswer
}

// serve makes attempts until an answer is passed on or no attempt is left.
func (r *run) serve(ctx context.Context) {
	defer r.dropChoice()
	var last failure
	for {
		ticket, reason := r.acquireTicket(ctx)
		if ticket == nil {
			r.giveUp(ctx, last, reason)
			return
		}
		var next step
		next, last = r.send(ctx, ticket)
		if next == stepDone {
			return
		}
		if reason, allowed := r.allowRetry(ctx, last); !allowed {
			r.giveUp(ctx, last, reason)
			return
		}
		r.relay.options.Observer.Retried(r.admitted.request, r.attempt)
	}
}

func (r *run) now() time.Time { return r.relay.options.Now() }

// blockedReason returns the reason why the request must not be sent any more, or an empty string.
// The context alone doesn't show that the deadline has passed, because its timer stands still
// while the machine is suspended.
func (r *run) blockedReason(ctx context.Context) string {
	switch deadline := r.admitted.deadline; {
	case r.isQuarantined(ctx):
		return reasonQuarantined
	case !deadline.IsZero() && !r.now().Before(deadline):
		return reasonDeadline
	default:
		return ""
	}
}

// allowRetry reports whether the request may be retried, and the reason if not. A retry of a
// request that reached a backend is taken from the retry budget.
func (r *run) allowRetry(ctx context.Context, last failure) (string, bool) {
	route := r.admitted.match.Route
	switch {
	case ctx.Err() != nil:
		return cancelReason(ctx, ""), false
	case !r.history.MayDispatch(route.Repeatable()):
		return last.reason, false
	case r.possiblyRan >= max(route.MaxAttempts, 1):
		return last.reason, false
	case r.reachedAttempts() >= maxReachedAttempts, r.unreached >= maxUnreachedAttempts:
		return last.reason, false
	case r.isQuarantined(ctx):
		return reasonQuarantined, false
	case r.beganElsewhere(ctx):
		return reasonUnknownOrigin, false
	case last.evidence == outcome.Unreached:
		return "", true // the request did not reach the backend
	case !r.relay.options.Budgets.TryRetry(r.admitted.match.Service, r.now()):
		return "budget", false
	}
	return "", true
}

// reachedAttempts returns the number of attempts that reached a backend.
func (r *run) reachedAttempts() int { return r.history.Attempts() - r.unreached }
