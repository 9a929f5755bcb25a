package relay

import (
	"context"

	"github.com/lotusward/lotusward/internal/core/quota"
	"github.com/lotusward/lotusward/internal/sharedlimit"
)

// TenantLimits enforces tenant limits across all daemons.
type TenantLimits interface {
	// Take requests a cost from an owner's limit.
	Take(ctx context.Context, owner quota.Owner, limit quota.Limit, cost float64) sharedlimit.Grant
	// Return gives back the grant of a request that did not run.
	Return(grant sharedlimit.Grant)
}

// serveWithinLimit serves the request if its tenant's limit allows it.
func (r *run) serveWithinLimit(ctx context.Context) {
	defer r.endTry()
	if r.isQuarantined(ctx) {
		r.giveUp(ctx, failure{}, reasonQuarantined)
		return
	}
	if !r.findOrigin(ctx) {
		r.giveUp(ctx, failure{}, reasonUnknownOrigin)
		return
	}
	if !r.takeGrant(ctx) {
		if ctx.Err() != nil {
			r.giveUp(ctx, failure{}, cancelReason(ctx, ""))
			return
		}
		r.refuse(Refusal{Kind: RefusalOverLimit, Reason: "over_limit", RetryAfter: r.grant.Wait})
		return
	}
	r.serve(ctx)
}

// takeGrant charges the request's cost to its tenant's limit. It returns false if the limit is
// exhausted.
func (r *run) takeGrant(ctx context.Context) bool {
	declared, limits := r.admitted.sender.limit(), r.relay.options.Limits
	if declared == nil || limits == nil {
		return true
	}
	limit := quota.Limit{
		Version: r.admitted.state.Table.Version(), RatePerSecond: declared.RatePerSecond, Burst: declared.Burst,
	}
	grant := limits.Take(ctx, quota.OwnerOfTenant(r.admitted.sender.tenantName()), limit, declared.Cost(r.admitted.request.DeclaredTokens))
	r.grant = &grant
	return grant.Granted
}

// returnGrant gives back the request's grant from its tenant's limit.
func (r *run) returnGrant() {
	if r.grant != nil {
		r.relay.options.Limits.Return(*r.grant)
	}
}
