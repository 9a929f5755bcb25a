package relay

import (
	"context"
	"net/http"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/outcome"
)

// handleAnswer evaluates the head of an answer and forwards the answer unless its verdict calls
// for another attempt.
func (r *run) handleAnswer(ctx context.Context, cancel context.CancelCauseFunc, ticket *backendpool.Ticket, answer *Answer) (step, failure) {
	defer func() { _ = answer.Body.Close() }()
	prompt := r.admitted.request.Prompt
	if prompt != nil && answer.WeightsVersion > 0 {
		ticket.LearnVersion(prompt.Model, answer.WeightsVersion)
	}
	switch answer.Verdict {
	case VerdictNotRun:
		return stepRetry, failure{evidence: outcome.DeclaredNotRun, result: backendpool.ResultRejected, reason: "rejected"}
	case VerdictOtherVersion:
		return stepRetry, failure{evidence: outcome.DeclaredNotRun, result: backendpool.ResultRejected, reason: "other_version"}
	case VerdictReplaced:
		return stepRetry, failure{evidence: outcome.DeclaredNotRun, result: backendpool.ResultReplaced, reason: "replaced"}
	case VerdictInvalid:
		return stepRetry, failure{evidence: outcome.Answered, result: backendpool.ResultFailed, reason: "invalid_answer"}
	}
	success := answer.Head.Status < http.StatusMultipleChoices
	if success && answer.Stream {
		return r.forwardStream(ctx, cancel, ticket, answer)
	}
	if r.headSent {
		return stepRetry, failure{evidence: outcome.Answered, result: resultOfStatus(answer.Head.Status), reason: reasonNotResumed}
	}
	return r.forwardBuffered(ctx, answer, success)
}

// reasonNotResumed is the reason of attempts to continue a stream that were answered with something else.
const reasonNotResumed = "not_resumed"

// resultOfStatus returns what an answer that is not forwarded shows of its backend.
func resultOfStatus(status int) backendpool.Result {
	if status >= http.StatusInternalServerError {
		return backendpool.ResultFailed
	}
	return backendpool.ResultServed
}

// recordNotice records what the backend announces about itself in the head of an answer.
func (r *run) recordNotice(ticket *backendpool.Ticket, answer *Answer) {
	r.attempt.Notice = answer.Notice
	learnt := ticket.RecordResponseHeader(r.now(), answer.Notice, receptionOf(answer.Verdict))
	if learnt.NoticeIsNew {
		r.relay.options.Observer.Noticed(r.admitted.request, ticket.Backend.ID, answer.Notice)
	}
	if learnt.BecameRefusing {
		r.relay.options.Observer.Ejected(ticket.Backend.ID, backendpool.ResultRejected)
	}
}

// receptionOf maps an answer's verdict to how the backend received the request.
func receptionOf(verdict Verdict) backendpool.Admission {
	switch verdict {
	case VerdictAnswer:
		return backendpool.AdmissionAccepted
	case VerdictNotRun:
		return backendpool.AdmissionRefused
	default:
		return backendpool.AdmissionUnknown
	}
}
