package relay

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// admission is a request together with the decisions made on its arrival.
type admission struct {
	request *Request
	state   *State
	match   routing.Match
	// sender is anonymous or a tenant.
	sender   principal
	deadline time.Time
	// fingerprint identifies the request across its retries by the caller.
	fingerprint quarantine.Fingerprint
	// parts are the fingerprints of the shared parts of the prompt.
	parts []quarantine.Fingerprint
}

// admit looks up the request's route and tenant in the current state.
func (r *Relay) admit(request *Request) (*admission, *Refusal) {
	state := r.options.Control.State()
	if state == nil {
		return nil, r.notRunRefusal("no_configuration")
	}
	age := r.options.Now().Sub(r.options.Control.ConfirmedAt())
	match, found := state.Table.Match(request.Host, request.Path)
	if !found {
		return nil, r.denial(age, RefusalNoRoute)
	}
	sender := r.identify(state.Table, request.Key, age)
	if refusal := r.authorize(state.Table, match.Route, sender, age); refusal != nil {
		return nil, refusal
	}
	return &admission{
		request:  request,
		state:    state,
		match:    match,
		sender:   sender,
		deadline: deadline(request, match.Route),

		fingerprint: Fingerprint(request, sender.tenantName()),
		parts:       sharedPartFingerprints(request.Prompt, sender),
	}, nil
}

// authorize returns the refusal of a sender that may not use a route, or nil.
func (r *Relay) authorize(table *routing.Table, route *routing.Route, sender principal, age time.Duration) *Refusal {
	switch sender.kind {
	case principalUnconfirmed:
		return r.notRunRefusal("unconfirmed_configuration")
	case principalUnknown:
		return r.denial(age, RefusalUnknownKey)
	case principalAnonymous:
		if !table.RequiresKey() || route.AllowAnonymous {
			return nil
		}
		if age > r.options.Policy.MaxConfirmationAgeForKeys {
			return r.notRunRefusal("unconfirmed_configuration")
		}
		return r.denial(age, RefusalUnknownKey)
	}
	return nil
}

// Fingerprint returns a hash of the tenant, which is empty for anonymous requests, and the content
// of a request.
func Fingerprint(request *Request, tenant identity.TenantName) quarantine.Fingerprint {
	return quarantine.FingerprintOf(string(tenant), request.Method, request.Host, request.Target, request.Body)
}

// denial returns a permanent refusal, or a temporary one if the configuration may be outdated.
func (r *Relay) denial(age time.Duration, kind RefusalKind) *Refusal {
	if age > r.options.Policy.MaxConfirmationAgeForDenials {
		return r.notRunRefusal("unconfirmed_configuration")
	}
	return &Refusal{Kind: kind, Reason: string(kind)}
}

func (r *Relay) notRunRefusal(reason string) *Refusal {
	return &Refusal{Kind: RefusalNotRun, Reason: reason, RetryAfter: r.options.Policy.RetryAfter}
}

// deadline returns the earlier of the caller's timeout and the route's timeout, or the zero time
// if there is neither.
func deadline(request *Request, route *routing.Route) time.Time {
	patience := request.Timeout
	if patience == 0 || (route.Timeout > 0 && route.Timeout < patience) {
		patience = route.Timeout
	}
	if patience == 0 {
		return time.Time{}
	}
	return request.ArrivedAt.Add(patience)
}

// priority returns the priority of an admitted request; 0 is the highest.
func (a *admission) priority() int {
	if tenant := a.sender.tenant; tenant != nil && tenant.Priority != nil {
		return *tenant.Priority
	}
	return a.match.Route.Priority
}
