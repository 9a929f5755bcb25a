package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// giveUp gives the caller its final answer.
func (r *run) giveUp(ctx context.Context, last failure, reason string) {
	if r.begun {
		r.caller.Abort()
		r.ended(reason)
		return
	}
	if last.pass != nil && r.history.RunState() != identity.RunStateNotRun {
		r.passOn(last.pass)
		return
	}
	refusal := Refusal{Kind: RefusalUnknown, Reason: reason}
	switch {
	case r.history.RunState() == identity.RunStateNotRun:
		refusal.Kind = RefusalNotRun
		refusal.RetryAfter = r.retryAfter()
	case errors.Is(context.Cause(ctx), errDeadline), reason == reasonOfDeadline:
		refusal.Kind = RefusalTimeout
	}
	r.refuse(refusal)
}

// retryAfter is when a request that has not run is to come back.
func (r *run) retryAfter() time.Duration {
	if r.verdict.Quarantined {
		return r.verdict.Remaining
	}
	service := r.admitted.match.Service
	if r.overloaded && !r.unconfirmed {
		return r.relay.waiting.retryAfter(service)
	}
	wait := r.relay.returnAfter(service)
	if r.shortage.Limited > 0 && !r.unconfirmed {
		wait = max(wait, r.relay.waiting.retryAfter(service))
	}
	if wait > 0 {
		return wait
	}
	return r.relay.options.Policy.RetryAfter
}

// refuse gives the caller a refusal as its final answer. What a request that has not run
// was granted of its tenant's limit is given back.
func (r *run) refuse(refusal Refusal) {
	r.caller.Refuse(refusal)
	if refusal.Kind == RefusalNotRun {
		r.returnGrant()
	}
	r.relay.options.Journal.Refused(r.admitted.request, r.ending(0, ""), refusal)
}

// ended tells the journal of an answer that was passed on.
func (r *run) ended(cut string) {
	r.relay.options.Journal.Served(r.admitted.request, r.ending(http.StatusOK, cut))
}

func (r *run) ending(status int, cut string) *Ending {
	ending := &Ending{
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
		Cut:                  cut,
		Grant:                r.grant,
		Fingerprint:          r.admitted.fingerprint,
		Crashes:              r.verdict.Crashes,
	}
	if r.admitted.tenant != nil {
		ending.Tenant = r.admitted.tenant.Name
	}
	return ending
}
