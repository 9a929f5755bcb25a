package relay

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/promptcache"
)

// maxSampleRounds bounds how many times further backends are sampled for their load if all earlier
// ones are full. With nine in ten backends full, one of twelve has a free slot in seven cases out
// of ten.
const maxSampleRounds = 3

// acquireTicket reserves a slot at a backend that the request may be sent to, or returns the
// reason why the request may not be sent.
func (r *run) acquireTicket(ctx context.Context) (*backendpool.Ticket, string) {
	for range maxVersionChoices {
		ticket := r.pickOrWait(ctx)
		if ticket == nil && r.readmitRestarted() {
			continue
		}
		if ticket == nil {
			return nil, r.shortageReason(ctx)
		}
		reason := r.blockedReason(ctx) // the deadline may have passed while the request waited for a slot
		if reason == "" && r.choiceValid() {
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

// pickOrWait reserves a slot at a backend. If all eligible backends are busy, the request waits as
// long as it can still be served in time. A retry has been admitted before and never waits,
// because part of its answer may already have been sent to the caller.
func (r *run) pickOrWait(ctx context.Context) *backendpool.Ticket {
	lists, name, place := r.relay.waitLists, r.waitList(), r.queuePosition()
	limits := r.loadLimits()
	if limits == (backendpool.Limits{}) || lists.precedesAll(name, place) {
		if ticket := r.tryVersions(ctx, limits); ticket != nil || r.shortage.Busy == 0 {
			return ticket
		}
	}
	until := r.waitDeadline(place)
	if r.now().Add(lists.expectedWait(name, place)).After(until) {
		if ticket := r.tryOtherRegions(ctx, limits); ticket != nil {
			return ticket
		}
		r.overloaded = true
		return nil
	}
	waiting := lists.enter(name, place)
	defer lists.leave(name, waiting)
	for left := until.Sub(r.now()); left > 0 && ctx.Err() == nil; left = until.Sub(r.now()) {
		waiting.await(ctx, left)
		if !lists.isFirst(name, waiting) {
			continue
		}
		ticket := r.tryVersions(ctx, limits)
		if ticket != nil {
			lists.granted(name)
		}
		if ticket != nil || r.shortage.Busy == 0 {
			return ticket
		}
	}
	r.overloaded = true
	return nil
}

// queuePosition returns the request's position among waiting requests. A stream that is continued has had its first event, and is never
// late. Backends are reserved for it for as long as another request would wait.
func (r *run) queuePosition() queuePosition {
	position := queuePosition{priority: r.admitted.priority(), arrivedAt: r.admitted.request.ArrivedAt}
	if r.began == nil {
		position.lateAt = r.lateAt()
	} else {
		position.reservesUntil = r.lateAt()
	}
	return position
}

// lateAt returns the time from which a request that waits can no longer meet its target latency; the zero time means never.
func (r *run) lateAt() time.Time {
	route := r.admitted.match.Route
	if route.TargetLatency == 0 {
		return time.Time{}
	}
	return r.admitted.request.ArrivedAt.Add(max(route.TargetLatency-r.relay.startLatencies.upperEstimate(route.Name), 0))
}

// loadLimits bounds the load that a backend may have to accept the request now. Retries have no
// bound.
func (r *run) loadLimits() backendpool.Limits {
	if r.attempt.Number > 0 {
		return backendpool.Limits{}
	}
	return loadLimits(r.admitted)
}

// tryChosen reserves a slot at a backend of the chosen version, or records the shortage.
func (r *run) tryChosen(ctx context.Context, limits backendpool.Limits) *backendpool.Ticket {
	query := r.relay.query(r.admitted, r.excluded)
	query.Limits = limits
	r.restrictQuery(&query)
	if r.relay.options.Pool.HasSeveralRegions() {
		return r.tryRegions(ctx, query)
	}
	return r.tryBackends(ctx, query)
}

// tryBackends reserves a slot at one of the backends that match a query.
func (r *run) tryBackends(ctx context.Context, query backendpool.Query) *backendpool.Ticket {
	if loads := r.relay.options.Loads; loads != nil && loads.Needed() {
		return r.trySampled(ctx, loads, query)
	}
	return r.tryQuery(ctx, query)
}

// trySampled reserves a slot at one of a sample of backends after refreshing their load. If these
// are full, further samples are tried.
func (r *run) trySampled(ctx context.Context, loads Loads, query backendpool.Query) *backendpool.Ticket {
	r.refreshPartLocations(ctx, loads)
	for range maxSampleRounds {
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

// refreshPartLocations looks up, once per request, where the large parts of its prompt are cached.
func (r *run) refreshPartLocations(ctx context.Context, loads Loads) {
	prompt := r.admitted.request.Prompt
	if prompt == nil || r.partsRefreshed {
		return
	}
	r.partsRefreshed = true
	var parts []promptcache.Key
	for _, shared := range r.relay.sharedPrefixes(r.admitted, r.admitted.state.NewestVersion(prompt.Model)) {
		if shared.tokens >= promptcache.LargeTokens {
			parts = append(parts, shared.key)
		}
	}
	if len(parts) > 0 {
		loads.RefreshParts(ctx, parts)
	}
}

// waitDeadline returns until when the request waits for a slot: as long as it can meet its target
// latency or, without a target, for a share of its time limit. A stream that is continued waits until
// the later of the two.
func (r *run) waitDeadline(at queuePosition) time.Time {
	if !at.lateAt.IsZero() {
		return at.lateAt
	}
	until, deadline := r.admitted.request.ArrivedAt, r.admitted.deadline
	if !deadline.IsZero() {
		until = until.Add(time.Duration(maxWaitShare * float64(deadline.Sub(until))))
	}
	if late := r.lateAt(); late.After(until) {
		return late
	}
	return until
}

// reasonBusy is the refusal reason if no slot became free.
const reasonBusy = "busy"

// reasonLimited is the refusal reason if no capacity is left under the rate limits that backends
// advertise.
const reasonLimited = "backend_limits"

// shortageReason returns the reason why there is no backend for the request.
func (r *run) shortageReason(ctx context.Context) string {
	switch {
	case ctx.Err() != nil:
		return cancelReason(ctx, "")
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
