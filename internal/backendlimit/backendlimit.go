// Package backendlimit enforces the request limits that back ends announce, summed over all daemons. Before each
// request to a back end with a limit, a daemon asks one of the back end's homes for a grant. The homes keep the
// limits in token buckets (package sharedlimit).
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
	// requestCost is the cost of a request. Tenants use the same ledgers, in which limits may be exceeded by a
	// margin in tokens: the unit is so large that the margin has no effect here.
	requestCost = 1e9
	// The burst of a limit is what it allows within burstDuration, and at least minBurst: requests arrive at
	// random times, and capacity that is not used in time is lost.
	burstDuration = 250 * time.Millisecond
	minBurst      = 2
	// minRate is the rate, in requests per second, of requests that probe whether a back end with a lower limit
	// still has it. A back end that receives no requests could never announce a new limit.
	minRate = 0.1
	// maxEnforcedRate is the limit from which on limits are not enforced: no back end serves as many requests, and
	// each would cost a question to another daemon.
	maxEnforcedRate = 10_000
	// retrySpacing, multiplied by the number of daemons, is the period over which refused daemons spread their
	// retries. Otherwise all would retry at the moment when capacity becomes available.
	retrySpacing = 10 * time.Millisecond
	// maxLocalShareWait bounds the time until the homes are asked again after none of them responded.
	maxLocalShareWait = 500 * time.Millisecond
)

// SharedLimiter grants parts of limits that hold for all daemons together.
type SharedLimiter interface {
	// Take requests a cost from an owner's limit.
	Take(ctx context.Context, owner quota.Owner, limit quota.Limit, cost float64) sharedlimit.Grant
	// Return gives back the grant of a request that was not sent.
	Return(grant sharedlimit.Grant)
}

// Enforcer requests grants from the limits of back ends. It is safe for concurrent use.
type Enforcer struct {
	limiter    SharedLimiter
	daemons    func() int
	onDecision func(grant sharedlimit.Grant)
}

// New creates an Enforcer. daemons returns the number of daemons that may exist. onDecision is called for each
// decision and must not block.
func New(limiter SharedLimiter, daemons func() int, onDecision func(grant sharedlimit.Grant)) *Enforcer {
	return &Enforcer{limiter: limiter, daemons: daemons, onDecision: onDecision}
}

// Take requests a grant from the limit of a ticket's back end. It returns false if the limit is exhausted; the
// back end then receives no requests for a moment. The grant is nil if the back end has no limit or one that is
// not enforced.
func (e *Enforcer) Take(ctx context.Context, ticket *backendpool.Ticket) (*sharedlimit.Grant, bool) {
	limit := ticket.Limit
	if !limit.InForce {
		return nil, true
	}
	if limit.PerSecond >= maxEnforcedRate {
		ticket.RecordGrant(clock.Now())
		return nil, true
	}
	grant := e.limiter.Take(ctx, quota.OwnerOfBackend(ticket.Backend.ID), tokenBucket(limit), requestCost)
	e.onDecision(grant)
	now := clock.Now()
	if grant.Granted {
		ticket.RecordGrant(now)
		return &grant, true
	}
	availableAt := now.Add(grant.Wait)
	if grant.LocalShare {
		availableAt = now.Add(min(grant.Wait, maxLocalShareWait))
	}
	jitter := time.Duration(rand.Float64() * float64(e.daemons()) * float64(retrySpacing))
	ticket.RecordGrantRefused(availableAt.Add(jitter), availableAt)
	return nil, false
}

// Return gives back the grant of a request that was not sent. A nil grant is ignored.
func (e *Enforcer) Return(grant *sharedlimit.Grant) {
	if grant != nil {
		e.limiter.Return(*grant)
	}
}

// tokenBucket returns the token bucket of a limit, in units of requestCost.
func tokenBucket(limit backendpool.RequestLimit) quota.Limit {
	rate := max(limit.PerSecond, minRate)
	burst := max(rate*burstDuration.Seconds(), minBurst)
	return quota.Limit{Version: limit.Version, RatePerSecond: rate * requestCost, Burst: burst * requestCost}
}

// NewestLimit returns a function that selects the newer of the requested limit of a back end and the one known to
// a pool. It returns false if the back end no longer has a limit.
func NewestLimit(known func(id identity.BackendID) backendpool.RequestLimit) func(identity.BackendID, quota.Limit) (quota.Limit, bool) {
	return func(id identity.BackendID, asked quota.Limit) (quota.Limit, bool) {
		limit := known(id)
		if limit.Version <= asked.Version {
			return asked, true
		}
		return tokenBucket(limit), limit.InForce
	}
}
