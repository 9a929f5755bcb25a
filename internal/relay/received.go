package relay

import (
	"context"
	"net/http"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/outcome"
)

// take deals with an answer's head, and passes a success on.
func (r *run) take(ctx context.Context, cancel context.CancelCauseFunc, ticket *backendpool.Ticket, answer *Answer) (step, failure) {
	defer func() { _ = answer.Body.Close() }()
	prompt := r.admitted.request.Prompt
	if prompt != nil && answer.WeightsVersion > 0 {
		ticket.LearnVersion(prompt.Model, answer.WeightsVersion)
	}
	switch answer.Verdict {
	case VerdictNotRun:
		return stepAgain, failure{evidence: outcome.DeclaredNotRun, result: backendpool.ResultRejected, reason: "rejected"}
	case VerdictOtherVersion:
		return stepAgain, failure{evidence: outcome.DeclaredNotRun, result: backendpool.ResultRejected, reason: "other_version"}
	case VerdictReplaced:
		return stepAgain, failure{evidence: outcome.DeclaredNotRun, result: backendpool.ResultReplaced, reason: "replaced"}
	case VerdictInvalid:
		return stepAgain, failure{evidence: outcome.Answered, result: backendpool.ResultFailed, reason: "invalid_answer"}
	}
	success := answer.Head.Status < http.StatusMultipleChoices
	if success && answer.Stream {
		return r.passStream(ctx, cancel, ticket, answer)
	}
	return r.passWhole(ctx, answer, success)
}

// noteNotice takes in what the back end says of itself in an answer's head.
func (r *run) noteNotice(ticket *backendpool.Ticket, answer *Answer) {
	r.attempt.Notice = answer.Notice
	learnt := ticket.Answered(r.now(), answer.Notice, receptionOf(answer.Verdict))
	if learnt.Noticed {
		r.relay.options.Observer.Noticed(r.admitted.request, ticket.Backend.ID, answer.Notice)
	}
	if learnt.Refuses {
		r.relay.options.Observer.Ejected(ticket.Backend.ID, backendpool.ResultRejected)
	}
}

// receptionOf tells by an answer's verdict how the back end received the request.
func receptionOf(verdict Verdict) backendpool.Reception {
	switch verdict {
	case VerdictAnswer:
		return backendpool.ReceptionTook
	case VerdictNotRun:
		return backendpool.ReceptionRefused
	default:
		return backendpool.ReceptionOther
	}
}
