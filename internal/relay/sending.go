package relay

import (
	"context"
	"errors"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
)

// send makes one sending and ends the ticket.
func (r *run) send(ctx context.Context, ticket *backendpool.Ticket) (step, failure) {
	started := r.now()
	r.sentAt = started
	r.beginNoted = false
	r.attempt = Attempt{
		Number:        r.attempt.Number + 1,
		Backend:       ticket.Backend.ID,
		Version:       ticket.Version,
		Candidates:    ticket.Candidates,
		WaitingTokens: ticket.Waiting,
		Source:        ticket.Source,
		Limit:         ticket.Limit,
		LimitGrant:    r.limitGrant,
		Software:      r.softwareAttempt(ticket),
	}
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.begin = r.watchBegin(ticket, cancel)
	defer r.begin.stop()
	watch := r.watchFirst(ticket, cancel)
	dispatch := r.relay.dispatch(r.admitted, ticket, r.lastEvent)
	dispatch.CheckAccepting = func() error { return r.stillWanted(ticket) }
	r.attempt.FetchFrom, r.attempt.SaveTo = dispatch.FetchFrom, dispatch.SaveTo
	ended := r.sentChoice(ticket)
	answer, err := r.relay.options.Backends.Send(sending, dispatch)
	watch.stop()

	next, failed := stepAgain, failure{}
	switch {
	case err != nil:
		failed = r.sendFailure(sending, err)
		if failed.evidence == outcome.Unreached {
			r.returnLimitGrant()
		}
	default:
		ticket.Heard(r.now())
		r.noteNotice(ticket, answer)
		r.noteHead(answer)
		if !answer.Stream {
			ticket.Begun()
		}
		next, failed = r.take(sending, cancel, ticket, answer)
	}
	r.noteReplaced(false)
	r.attempt.Elapsed = r.now().Sub(started)
	r.attempt.Result = failed.result
	r.attempt.Reason = failed.reason
	r.noteCrash(ticket, failed)
	ended(failed)
	if ticket.Release(r.now(), failed.result) {
		r.relay.options.Observer.Ejected(ticket.Backend.ID, failed.result)
	}
	if next == stepEnd {
		r.ended(failed.reason)
		return next, failed
	}
	r.history.Record(failed.evidence)
	if failed.evidence.RunState() != identity.RunStateNotRun {
		r.ran++
	}
	if failed.evidence == outcome.Unreached {
		r.unreached++
	}
	r.excluded = append(r.excluded, ticket.Backend.ID)
	return next, failed
}

// stillWanted returns an error where the back end has said that it wants no requests since it was chosen. A connection
// may take 0.6 s to be made: a queue of sendings that wait for theirs would arrive long after the first refusal.
func (r *run) stillWanted(ticket *backendpool.Ticket) error {
	if ticket.Stands(r.now()) {
		return nil
	}
	return errUnwanted
}

// reasonCallerLeft is the reason of requests whose caller has gone.
const reasonCallerLeft = "caller_left"

// sendFailure reads a sending without an answer.
func (r *run) sendFailure(ctx context.Context, err error) failure {
	if errors.Is(err, errUnwanted) {
		return failure{evidence: outcome.Unreached, result: backendpool.ResultAbandoned, reason: "unwanted"}
	}
	evidence := outcome.Sent
	var sendError *SendError
	if errors.As(err, &sendError) {
		evidence = sendError.Evidence
	}
	return r.interrupted(ctx, failure{evidence: evidence, result: resultOf(evidence), reason: reasonOf(ctx, evidence.String())})
}

// interrupted corrects a failure that the daemon's own side brought about.
func (r *run) interrupted(ctx context.Context, failed failure) failure {
	switch cause := context.Cause(ctx); {
	case cause == nil:
	case errors.Is(cause, errSlow), errors.Is(cause, errDeadline):
		if failed.result == backendpool.ResultCut {
			failed.result = backendpool.ResultFailed
		}
	case errors.Is(cause, errOldWeights):
		failed.result = backendpool.ResultRejected
	default:
		failed.result = backendpool.ResultAbandoned
	}
	return failed
}

// reasonOf names why the context ended, or gives the reason otherwise known.
func reasonOf(ctx context.Context, otherwise string) string {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return otherwise
	case errors.Is(cause, errSlow):
		return "silent_backend"
	case errors.Is(cause, errDeadline):
		return reasonOfDeadline
	case errors.Is(cause, errOldWeights):
		return "old_weights"
	default:
		return reasonCallerLeft
	}
}
