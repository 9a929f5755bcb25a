package relay

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/promptcache"
)

// mostSamples is how many times some more back ends are asked for what is under way there,
// where those asked before are full: with nine in ten full, one of twelve is free in seven
// cases of ten.
const mostSamples = 3

// pickChosen takes a place at a back end that the request may be sent to now, or returns why
// it may not be sent.
func (r *run) pickChosen(ctx context.Context) (*backendpool.Ticket, string) {
	for range maximumChoices {
		ticket := r.pick(ctx)
		if ticket == nil {
			return nil, r.shortageReason(ctx)
		}
		reason := r.obsolete(ctx) // while it waited for a place
		if reason == "" && r.stillChosen() {
			return ticket, ""
		}
		ticket.Release(r.now(), backendpool.ResultAbandoned)
		r.returnLimitGrant()
		if reason != "" {
			return nil, reason
		}
	}
	r.unconfirmed = true
	return nil, reasonUnconfirmedVersions
}

// pick takes a place at a back end. Where all that would do are busy, the request
// waits for one, for as long as waiting may be worth it. One that was sent before has
// been let in: it never waits, since its answer may be under way to the caller.
func (r *run) pick(ctx context.Context) *backendpool.Ticket {
	lists, service, place := r.relay.waiting, r.admitted.match.Service, r.place()
	limits := r.limits()
	if limits == (backendpool.Limits{}) || lists.goesBefore(service, place) {
		if ticket := r.tryPick(ctx, limits); ticket != nil || r.shortage.Busy == 0 {
			return ticket
		}
	}
	until := r.waitUntil(place)
	if r.now().Add(lists.expectedWait(service, place)).After(until) {
		if ticket := r.tryOtherRegions(ctx, limits); ticket != nil {
			return ticket
		}
		r.overloaded = true
		return nil
	}
	waiting := lists.enter(service, place)
	defer lists.leave(service, waiting)
	for left := until.Sub(r.now()); left > 0 && ctx.Err() == nil; left = until.Sub(r.now()) {
		waiting.await(ctx, left)
		if !lists.isFirst(service, waiting) {
			continue
		}
		ticket := r.tryPick(ctx, limits)
		if ticket != nil {
			lists.granted(service)
		}
		if ticket != nil || r.shortage.Busy == 0 {
			return ticket
		}
	}
	r.overloaded = true
	return nil
}

// place is where the request waits among others.
func (r *run) place() place {
	route, arrived := r.admitted.match.Route, r.admitted.request.ArrivedAt
	waits := place{priority: r.admitted.priority(), arrivedAt: arrived}
	if target := route.TargetLatency; target > 0 {
		waits.lateFrom = arrived.Add(max(target-r.relay.begins.most(route.Name), 0))
	}
	return waits
}

// limits bound what a back end may have under way to take the request now.
func (r *run) limits() backendpool.Limits {
	if r.attempt.Number > 0 {
		return backendpool.Limits{}
	}
	return limits(r.admitted)
}

// tryChosen takes a place at a back end of the chosen version, or notes why there is none.
func (r *run) tryChosen(ctx context.Context, limits backendpool.Limits) *backendpool.Ticket {
	query := r.relay.query(r.admitted, r.excluded)
	query.Limits = limits
	r.limitQuery(&query)
	if r.relay.options.Pool.HasSeveralRegions() {
		return r.tryRegions(ctx, query)
	}
	return r.tryNear(ctx, query)
}

// tryNear takes a place at one of the back ends that a query allows.
func (r *run) tryNear(ctx context.Context, query backendpool.Query) *backendpool.Ticket {
	if loads := r.relay.options.Loads; loads != nil && loads.Needed() {
		return r.tryAsked(ctx, loads, query)
	}
	return r.tryQuery(ctx, query)
}

// tryAsked takes a place at one of some back ends, once it is known what is under way there.
// Where they are full, some others are tried.
func (r *run) tryAsked(ctx context.Context, loads Loads, query backendpool.Query) *backendpool.Ticket {
	r.askForParts(ctx, loads)
	for range mostSamples {
		sampled := r.relay.options.Pool.Sample(r.now(), query, query.CandidateKeys)
		if len(sampled) == 0 {
			break
		}
		loads.Refresh(ctx, sampled)
		query.CandidateKeys = append(query.CandidateKeys, sampled...)
		if ticket := r.tryQuery(ctx, query); ticket != nil {
			return ticket
		}
	}
	if query.CandidateKeys == nil {
		return r.tryQuery(ctx, query)
	}
	return nil
}

// askForParts finds out, once for a request, where the large parts of its prompt are.
func (r *run) askForParts(ctx context.Context, loads Loads) {
	prompt := r.admitted.request.Prompt
	if prompt == nil || r.partsAsked {
		return
	}
	r.partsAsked = true
	var parts []promptcache.Key
	for _, shared := range r.relay.levels(r.admitted, r.admitted.state.NewestVersion(prompt.Model)) {
		if shared.tokens >= promptcache.LargeTokens {
			parts = append(parts, shared.key)
		}
	}
	if len(parts) > 0 {
		loads.RefreshParts(ctx, parts)
	}
}

// waitUntil is until when the request waits for a place: for as long as it can be in time.
// One without an aim waits for a share of its time.
func (r *run) waitUntil(at place) time.Time {
	if !at.lateFrom.IsZero() {
		return at.lateFrom
	}
	arrived, deadline := r.admitted.request.ArrivedAt, r.admitted.deadline
	if deadline.IsZero() {
		return arrived
	}
	return arrived.Add(time.Duration(waitShare * float64(deadline.Sub(arrived))))
}

// reasonBusy is the reason of refusals for want of a place.
const reasonBusy = "busy"

// reasonLimited is the reason of refusals for want of room under the limits that back ends have named.
const reasonLimited = "backend_limits"

// shortageReason names why there is no back end for the request.
func (r *run) shortageReason(ctx context.Context) string {
	switch {
	case ctx.Err() != nil:
		return reasonOf(ctx, "")
	case r.unconfirmed:
		return reasonUnconfirmedVersions
	case r.overloaded, r.shortage.Busy > 0:
		return reasonBusy
	case r.shortage.Limited > 0:
		return reasonLimited
	default:
		return "no_backend"
	}
}
