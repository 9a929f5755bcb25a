package relay

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
)

// send makes one attempt and releases its ticket.
func (r *run) send(ctx context.Context, ticket *backendpool.Ticket) (step, failure) {
	started := r.now()
	r.sentAt = started
	r.startRecorded = false
	r.attempt = Attempt{
		Number:         r.attempt.Number + 1,
		Backend:        ticket.Backend.ID,
		BackendVersion: ticket.Backend.Software,
		Version:        ticket.Version,
		Candidates:     ticket.Candidates,
		WaitingTokens:  ticket.Waiting,
		Source:         ticket.Source,
		Limit:          ticket.Limit,
		LimitGrant:     r.limitGrant,
		Software:       r.softwareAttempt(ticket),
	}
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.startWatch = r.watchStart(ticket, cancel)
	defer r.startWatch.stop()
	watch := r.watchFirstByte(ticket, cancel)
	dispatch := r.relay.dispatch(r.admitted, ticket, r.lastEvent)
	dispatch.Confirmation = r.confirmation()
	dispatch.CheckAccepting = func() error { return r.checkAccepting(ticket) }
	r.linkLost = new(atomic.Bool)
	dispatch.EndOnLinkLoss = r.retryPossible()
	dispatch.OnLinkLost = r.linkLossHandler(ticket, dispatch.EndOnLinkLoss, cancel)
	r.attempt.FetchFrom, r.attempt.SaveTo = dispatch.FetchFrom, dispatch.SaveTo
	ended := r.reportSent(ticket)
	answer, err := r.relay.options.Backends.Send(sending, dispatch)
	watch.stop()

	next, failed := stepRetry, failure{}
	switch {
	case err != nil:
		failed = r.classifySendError(sending, err)
		if failed.evidence == outcome.Unreached {
			r.returnLimitGrant()
		}
	default:
		r.attempt.Via = answer.Via
		ticket.RecordActivity(r.now())
		r.recordNotice(ticket, answer)
		r.recordHead(answer)
		if !answer.Stream {
			ticket.RecordFirstByte()
		}
		next, failed = r.handleAnswer(sending, cancel, ticket, answer)
	}
	r.recordReplaced(false)
	r.attempt.Elapsed = r.now().Sub(started)
	r.attempt.Result = failed.result
	r.attempt.Reason = failed.reason
	r.reportCrash(ticket, failed)
	ended(failed)
	if ticket.Release(r.now(), failed.result) {
		r.relay.options.Observer.Ejected(ticket.Backend.ID, failed.result)
	}
	if next == stepDone {
		r.reportServed(failed.reason)
		return next, failed
	}
	r.history.Record(failed.evidence)
	if failed.evidence.RunState() != identity.RunStateNotRun {
		r.possiblyRan++
	}
	if failed.evidence == outcome.Unreached {
		r.unreached++
	}
	r.excluded = append(r.excluded, ticket.Backend.ID)
	if failed.reason == reasonRestarted {
		r.restarted = append(r.restarted, ticket.Backend.ID)
	}
	return next, failed
}

// checkAccepting returns an error if the backend has asked for no more requests since it was
// selected. Connecting may take 0.6 s, so requests that wait for their connections would otherwise
// arrive long after the first refusal.
func (r *run) checkAccepting(ticket *backendpool.Ticket) error {
	if ticket.StillValid(r.now()) {
		return nil
	}
	return errNotAccepting
}

// reasonLinkLost is the reason of attempts that ended because a network link failed.
const reasonLinkLost = "link_lost"

// linkLossHandler returns what is called if the link of an attempt fails. The backend is no longer loaded by the request as
// far as is known, and the request is retried if it may be.
func (r *run) linkLossHandler(ticket *backendpool.Ticket, retryable bool, cancel context.CancelCauseFunc) func() {
	lost := r.linkLost
	return func() {
		lost.Store(true)
		ticket.Suspend()
		if retryable {
			cancel(errLinkLost)
		}
	}
}

// reasonCallerLeft is the reason of requests whose caller disconnected.
const reasonCallerLeft = "caller_left"

// classifySendError converts the error of an attempt without an answer to a failure.
func (r *run) classifySendError(ctx context.Context, err error) failure {
	if errors.Is(err, errNotAccepting) {
		return failure{evidence: outcome.Unreached, result: backendpool.ResultAbandoned, reason: "unwanted"}
	}
	if reason := incarnationReason(err); reason != "" {
		r.noteVia(err)
		return failure{evidence: outcome.Unreached, result: backendpool.ResultAbandoned, reason: reason}
	}
	evidence := outcome.Sent
	var sendError *SendError
	if errors.As(err, &sendError) {
		evidence = sendError.Evidence
	}
	r.noteVia(err)
	failed := failure{evidence: evidence, result: resultOf(evidence)}
	reason := r.noteBroken(err, evidence.String())
	if isBroken(reason) {
		failed.result = brokenResult(reason)
	}
	failed.reason = cancelReason(ctx, reason)
	return r.adjustForCancel(ctx, failed)
}

// noteVia records which daemon an attempt without an answer was sent through.
func (r *run) noteVia(err error) {
	var failed *SendError
	if errors.As(err, &failed) {
		r.attempt.Via = failed.Via
	}
}

// Reasons of attempts whose connection was closed by the daemon, because of what the backend sent.
const (
	// reasonTooLong means that the answer exceeded a limit.
	reasonTooLong = "too_long"
	// reasonMalformed means that what came forms no answer.
	reasonMalformed = "malformed"
)

// isBroken reports whether an attempt's reason is what the backend sent.
func isBroken(reason string) bool { return reason == reasonTooLong || reason == reasonMalformed }

// noteBroken records which part of the attempt's answer exceeded a limit or was malformed. It returns the reason of the attempt's end,
// which is the given one if none was.
func (r *run) noteBroken(err error, otherwise string) string {
	switch {
	case errors.As(err, &r.attempt.TooLong):
		return reasonTooLong
	case errors.As(err, &r.attempt.Malformed):
		return reasonMalformed
	default:
		return otherwise
	}
}

// brokenResult returns the result of an attempt whose answer broke off for a reason.
func brokenResult(reason string) backendpool.Result {
	if isBroken(reason) {
		return backendpool.ResultFailed
	}
	return backendpool.ResultConnectionLost
}

// adjustForCancel corrects the result of a failure that was caused by the daemon or the caller, so
// that it does not count against the backend like a cut connection.
func (r *run) adjustForCancel(ctx context.Context, failed failure) failure {
	switch cause := context.Cause(ctx); {
	case r.linkLost.Load() && !errors.Is(cause, context.Canceled):
		failed.result, failed.reason = backendpool.ResultAbandoned, reasonLinkLost
	case cause == nil:
	case errors.Is(cause, errSilentBackend), errors.Is(cause, errDeadline):
		if failed.result == backendpool.ResultConnectionLost {
			failed.result = backendpool.ResultFailed
		}
	case errors.Is(cause, errOldWeights):
		failed.result = backendpool.ResultRejected
	default:
		failed.result = backendpool.ResultAbandoned
	}
	return failed
}

// cancelReason returns the reason why the context ended, or the given reason if it has not ended.
func cancelReason(ctx context.Context, otherwise string) string {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return otherwise
	case errors.Is(cause, errSilentBackend):
		return "silent_backend"
	case errors.Is(cause, errDeadline):
		return reasonDeadline
	case errors.Is(cause, errOldWeights):
		return "old_weights"
	case errors.Is(cause, errLinkLost):
		return reasonLinkLost
	default:
		return reasonCallerLeft
	}
}
