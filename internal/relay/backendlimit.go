package relay

import (
	"context"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/sharedlimit"
)

// maxLimitAttempts bounds how many backends are asked for a share of their rate limit during one
// selection. After that, only backends without a limit are considered.
const maxLimitAttempts = 4

// BackendLimits enforces the request rate limits that backends advertise.
type BackendLimits interface {
	// Take requests a share of the rate limit of the ticket's backend and returns false if none is
	// left. The grant is nil if the backend has no limit.
	Take(ctx context.Context, ticket *backendpool.Ticket) (*sharedlimit.Grant, bool)
	// Return gives back the grant of a request that was not sent. A nil grant is ignored.
	Return(grant *sharedlimit.Grant)
}

// noBackendLimits enforces no limits.
type noBackendLimits struct{}

// Take implements BackendLimits.
func (noBackendLimits) Take(context.Context, *backendpool.Ticket) (*sharedlimit.Grant, bool) {
	return nil, true
}

// Return implements BackendLimits.
func (noBackendLimits) Return(*sharedlimit.Grant) {}

// tryQuery reserves a slot at a backend that matches the query and has capacity left under its
// rate limit, or records the shortage. Capacity is requested before the request is queued at any
// backend, so that a request without capacity goes to another backend immediately.
func (r *run) tryQuery(ctx context.Context, query backendpool.Query) *backendpool.Ticket {
	for tries := 0; ; tries++ {
		query.ExcludeLimited = tries >= maxLimitAttempts
		ticket, shortage := r.relay.options.Pool.PickOrExplain(r.now(), query)
		if ticket == nil {
			r.shortage = shortage
			return nil
		}
		grant, room := r.relay.options.BackendLimits.Take(ctx, ticket)
		if room {
			r.limitGrant = grant
			return ticket
		}
		ticket.Release(r.now(), backendpool.ResultAbandoned)
	}
}

// returnLimitGrant gives back the backend limit grant of a request that was not sent.
func (r *run) returnLimitGrant() {
	r.relay.options.BackendLimits.Return(r.limitGrant)
	r.limitGrant = nil
}
