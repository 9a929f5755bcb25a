package relay

import (
	"context"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/sharedlimit"
)

// maximumLimitTries bounds how many back ends are asked for a part of their limits for one choice. After that only those
// without a limit are chosen from.
const maximumLimitTries = 4

// BackendLimits keeps back ends within the limits of requests that they name.
type BackendLimits interface {
	// Take asks for a part of the limit of a ticket's back end; false is no room. The grant is nil where it has no limit.
	Take(ctx context.Context, ticket *backendpool.Ticket) (*sharedlimit.Grant, bool)
	// Return gives back what was granted for a request that was not sent; nil is nothing.
	Return(grant *sharedlimit.Grant)
}

// noBackendLimits keeps no limits.
type noBackendLimits struct{}

// Take implements BackendLimits.
func (noBackendLimits) Take(context.Context, *backendpool.Ticket) (*sharedlimit.Grant, bool) {
	return nil, true
}

// Return implements BackendLimits.
func (noBackendLimits) Return(*sharedlimit.Grant) {}

// tryQuery takes a place at a back end that a query allows and that has room under its limit, or notes why there is none.
// Room is asked for before the request is queued anywhere: where there is none, it goes elsewhere at once.
func (r *run) tryQuery(ctx context.Context, query backendpool.Query) *backendpool.Ticket {
	for tries := 0; ; tries++ {
		query.ExcludeLimited = tries >= maximumLimitTries
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

// returnLimitGrant gives back what was granted of the back end's limit to a request that was not sent.
func (r *run) returnLimitGrant() {
	r.relay.options.BackendLimits.Return(r.limitGrant)
	r.limitGrant = nil
}
