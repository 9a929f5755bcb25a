package relay

import (
	"context"
	"errors"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/sharedlimit"
)

// maximumSendings bounds how often one request is sent, whatever its route allows:
// rejected sendings count too.
const maximumSendings = 3

// maximumUnreached bounds how many back ends one request finds out of reach. Nothing
// arrives there, so that only time is lost.
const maximumUnreached = 8

// reasonOfDeadline is the reason of requests whose time is over.
const reasonOfDeadline = "deadline"

// Why a sending was cut.
var (
	errDeadline = errors.New("the time for the request is over")
	errSlow     = errors.New("the back end is silent for too long")
	// errOldWeights cuts a request that waits at a back end with weights on which
	// requests may no longer begin.
	errOldWeights = errors.New("the back end has old weights and has not begun")
	// errUnwanted ends a sending before a byte of it left.
	errUnwanted = errors.New("the back end drains or wants no requests since it was chosen")
)

// run is one admitted request on its way through back ends.
type run struct {
	relay    *Relay
	admitted *admission
	caller   Caller

	history  outcome.History
	excluded []identity.BackendID
	// ran counts the back ends that may have run the request, and unreached those of
	// which none heard of it.
	ran, unreached int
	// begun is set once the head was sent to the caller.
	begun     bool
	firstByte time.Duration
	resumed   int
	// lastEvent is the id of the last event sent to the caller.
	lastEvent string
	attempt   Attempt
	// beginNoted is set once the present sending has begun: versions that are named later are not
	// held against it.
	beginNoted bool
	// sentAt is when the present sending began.
	sentAt   time.Time
	shortage backendpool.Shortage
	// partsAsked is set once it was asked where the prompt's parts are.
	partsAsked bool
	// overloaded is set if the request was refused a place that it waited for, or was not
	// let wait for one.
	overloaded bool
	// choice is the versions that the next sending may go to, and unconfirmed is set where it
	// may go to none.
	choice      choice
	unconfirmed bool
	// answered is of the present sending.
	answered answered
	// begin watches for the present sending's begin.
	begin *beginWatch
	// grant is what the request was granted of its tenant's limit, where there is one.
	grant *sharedlimit.Grant
	// limitGrant is what the present ticket was granted of its back end's limit; nil is nothing.
	limitGrant *sharedlimit.Grant
	// verdict is what was last believed of back ends that ended under the request.
	verdict quarantine.Status
}

func newRun(relay *Relay, admitted *admission, caller Caller) *run {
	return &run{relay: relay, admitted: admitted, caller: caller, lastEvent: admitted.request.ResumeAfter}
}

// step says what follows after a sending.
type step int

const (
	// stepEnd: the caller has its final answer.
	stepEnd step = iota
	// stepAgain: the request may go to another back end.
	stepAgain
)

// failure is why the last sending brought no answer to pass on.
type failure struct {
	evidence outcome.Evidence
	result   backendpool.Result
	reason   string
	// pass is a failure of the back end's own that may be passed on if there is
	// no other way.
	pass *wholeAnswer
}

// serve sends the request until an answer is passed on or nothing is left to do.
func (r *run) serve(ctx context.Context) {
	defer r.dropChoice()
	var last failure
	for {
		ticket, reason := r.pickChosen(ctx)
		if ticket == nil {
			r.giveUp(ctx, last, reason)
			return
		}
		var next step
		next, last = r.send(ctx, ticket)
		if next == stepEnd {
			return
		}
		if reason, may := r.mayRepeat(ctx, last); !may {
			r.giveUp(ctx, last, reason)
			return
		}
		r.relay.options.Journal.Retried(r.admitted.request, r.attempt)
	}
}

func (r *run) now() time.Time { return r.relay.options.Now() }

// obsolete tells why the request may not be sent any more; empty if it may. The context alone
// doesn't tell that its time is over: its timer stands still while the machine is suspended.
func (r *run) obsolete(ctx context.Context) string {
	switch deadline := r.admitted.deadline; {
	case r.quarantined(ctx):
		return reasonQuarantined
	case !deadline.IsZero() && !r.now().Before(deadline):
		return reasonOfDeadline
	default:
		return ""
	}
}

// mayRepeat tells whether the request may be sent once more, and if not, why. It
// takes the second sending from the budget.
func (r *run) mayRepeat(ctx context.Context, last failure) (string, bool) {
	route := r.admitted.match.Route
	switch {
	case ctx.Err() != nil:
		return reasonOf(ctx, ""), false
	case !r.history.MayDispatch(route.Repeatable()):
		return last.reason, false
	case r.ran >= max(route.MaxAttempts, 1):
		return last.reason, false
	case r.sendings() >= maximumSendings, r.unreached >= maximumUnreached:
		return last.reason, false
	case r.quarantined(ctx):
		return reasonQuarantined, false
	case last.evidence == outcome.Unreached:
		return "", true // nothing arrived at the back end
	case !r.relay.options.Budgets.TryRetry(r.admitted.match.Service, r.now()):
		return "budget", false
	}
	return "", true
}

// sendings is how many back ends have heard of the request.
func (r *run) sendings() int { return r.history.Attempts() - r.unreached }
