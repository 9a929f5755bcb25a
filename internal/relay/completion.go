package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// giveUp sends the caller its final answer after the last attempt.
func (r *run) giveUp(ctx context.Context, last failure, reason string) {
	if r.headSent {
		r.caller.Abort()
		r.reportServed(reason)
		return
	}
	if last.fallback != nil && r.history.RunState() != identity.RunStateNotRun {
		r.forwardFallback(last.fallback)
		return
	}
	refusal := Refusal{Kind: RefusalUnknown, Reason: reason}
	switch {
	case r.history.RunState() == identity.RunStateNotRun:
		refusal.Kind = RefusalNotRun
		refusal.RetryAfter = r.retryAfter()
	case errors.Is(context.Cause(ctx), errDeadline), reason == reasonDeadline:
		refusal.Kind = RefusalTimeout
	}
	r.refuse(refusal)
}

// retryAfter returns when the caller of a request that has not run should retry.
func (r *run) retryAfter() time.Duration {
	if r.verdict.Quarantined || r.verdict.Ambiguous {
		return r.verdict.Remaining
	}
	service := r.admitted.match.Service
	if r.overloaded && !r.unconfirmed {
		return r.relay.waitLists.retryAfter(r.waitList())
	}
	wait := r.relay.backoffRetryAfter(service)
	if r.shortage.Limited > 0 && !r.unconfirmed {
		wait = max(wait, r.relay.waitLists.retryAfter(r.waitList()))
	}
	if wait > 0 {
		return wait
	}
	return r.relay.options.Policy.RetryAfter
}

// refuse sends a refusal as the final answer. If the request has not run, its grant from the
// tenant's limit is returned.
func (r *run) refuse(refusal Refusal) {
	r.caller.Refuse(refusal)
	if refusal.Kind == RefusalNotRun {
		r.returnGrant()
	}
	r.relay.options.Observer.Refused(r.admitted.request, r.completion(0, ""), refusal)
}

// reportServed reports an answer that was passed on to the observer.
func (r *run) reportServed(cut string) {
	r.relay.options.Observer.Served(r.admitted.request, r.completion(http.StatusOK, cut))
}

func (r *run) completion(status int, cut string) *Completion {
	ending := &Completion{
		Route:                r.admitted.match.Route.Name,
		Service:              r.admitted.match.Service,
		ConfigurationVersion: r.admitted.state.Table.Version(),
		ConfirmationAge:      r.now().Sub(r.relay.options.Control.ConfirmedAt()),
		Attempt:              r.attempt,
		Shortage:             r.shortage,
		Status:               status,
		Elapsed:              r.now().Sub(r.admitted.request.ArrivedAt),
		FirstByte:            r.firstByte,
		Resumed:              r.resumed,
		Origin:               r.origin,
		Cut:                  cut,
		Grant:                r.grant,
		Fingerprint:          r.admitted.fingerprint,
		Crashes:              r.verdict.Crashes,
		Tenant:               r.admitted.sender.tenantName(),
	}
	return ending
}
