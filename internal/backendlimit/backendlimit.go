// Package backendlimit keeps back ends within the limits of requests that they name, summed over all daemons. A daemon asks
// one of the back end's homes for each request that it is about to send to a back end with a limit. The homes keep what is
// left in token buckets (package sharedlimit).
package backendlimit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quota"
	"github.com/lotusward/lotusward/internal/sharedlimit"
)

const (
	// requestCost is the cost of a request. Ledgers are shared with tenants, who may exceed their limits by a margin in
	// tokens: beside this unit it is nothing.
	requestCost = 1e9
	// burstTime times the limit, and leastBurst at least, is how many requests may be sent at once: they come at random
	// times, and what isn't used then is lost.
	burstTime  = 250 * time.Millisecond
	leastBurst = 2
	// leastRate is how many requests a second find out whether a back end still takes so few: one that takes none would
	// never be heard again.
	leastRate = 0.1
	// mostRate is the highest limit that is kept: no back end serves as many, and each request costs a question.
	mostRate = 10_000
	// askSpacing times the number of daemons is over which time those that were refused a part ask again: each would ask in
	// the moment in which there is room.
	askSpacing = 10 * time.Millisecond
	// ownPartWait bounds how long no home is asked again after none answered.
	ownPartWait = 500 * time.Millisecond
)

// SharedLimiter grants parts of limits that hold for all daemons together.
type SharedLimiter interface {
	// Take asks for a cost of an owner's limit.
	Take(ctx context.Context, owner quota.Owner, limit quota.Limit, cost float64) sharedlimit.Grant
	// Return gives back what was granted for a request that was not sent.
	Return(grant sharedlimit.Grant)
}

// Enforcer asks for parts of back ends' limits. It is safe for use by several goroutines.
type Enforcer struct {
	limiter SharedLimiter
	daemons func() int
	decided func(grant sharedlimit.Grant)
}

// New makes an Enforcer. Daemons returns how many daemons there may be, and decided is told of each decision; it must not block.
func New(limiter SharedLimiter, daemons func() int, decided func(grant sharedlimit.Grant)) *Enforcer {
	return &Enforcer{limiter: limiter, daemons: daemons, decided: decided}
}

// Take asks for a part of the limit of a ticket's back end. It returns false where there is no room: the back end gets no
// requests for a moment then. The grant is nil where the back end has no limit.
func (k *Enforcer) Take(ctx context.Context, ticket *backendpool.Ticket) (*sharedlimit.Grant, bool) {
	limit := ticket.Limit
	if !limit.InForce {
		return nil, true
	}
	if limit.PerSecond >= mostRate {
		ticket.RecordGrant(clock.Now())
		return nil, true
	}
	grant := k.limiter.Take(ctx, quota.OwnerOfBackend(ticket.Backend.ID), bucketOf(limit), requestCost)
	k.decided(grant)
	now := clock.Now()
	if grant.Granted {
		ticket.RecordGrant(now)
		return &grant, true
	}
	roomAt := now.Add(grant.Wait)
	if grant.LocalShare {
		roomAt = now.Add(min(grant.Wait, ownPartWait))
	}
	spread := time.Duration(rand.Float64() * float64(k.daemons()) * float64(askSpacing))
	ticket.RecordGrantRefused(roomAt.Add(spread), roomAt)
	return nil, false
}

// Return gives back what was granted for a request that was not sent; nil is nothing.
func (k *Enforcer) Return(grant *sharedlimit.Grant) {
	if grant != nil {
		k.limiter.Return(*grant)
	}
}

// bucketOf is the token bucket of a limit, in units of requestCost.
func bucketOf(limit backendpool.RequestLimit) quota.Limit {
	rate := max(limit.PerSecond, leastRate)
	burst := max(rate*burstTime.Seconds(), leastBurst)
	return quota.Limit{Version: limit.Version, RatePerSecond: rate * requestCost, Burst: burst * requestCost}
}

// NewestLimit returns a function that tells the newer of a back end's limit that was asked for and what a pool knows; false
// where the back end has none any more.
func NewestLimit(known func(id identity.BackendID) backendpool.RequestLimit) func(identity.BackendID, quota.Limit) (quota.Limit, bool) {
	return func(id identity.BackendID, asked quota.Limit) (quota.Limit, bool) {
		limit := known(id)
		if limit.Version <= asked.Version {
			return asked, true
		}
		return bucketOf(limit), limit.InForce
	}
}
