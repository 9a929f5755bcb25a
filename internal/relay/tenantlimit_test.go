package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quota"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/sharedlimit"
)

// scriptedLimits grants while something is left.
type scriptedLimits struct {
	left   float64
	limits []quota.Limit
}

func (l *scriptedLimits) Take(_ context.Context, _ quota.Owner, limit quota.Limit, cost float64) sharedlimit.Grant {
	l.limits = append(l.limits, limit)
	if cost > l.left {
		return sharedlimit.Grant{Decision: quota.Decision{Wait: time.Second}, Cost: cost}
	}
	l.left -= cost
	return sharedlimit.Grant{Decision: quota.Decision{Granted: true}, Cost: cost}
}

func (l *scriptedLimits) Return(grant sharedlimit.Grant) { l.left += grant.Cost }

// newLimitedWorld is a world whose tenant may use tokens.
func newLimitedWorld(left float64) (*world, *scriptedLimits) {
	made := newWorld(routing.Route{Kind: routing.KindUnsafe, MaxAttempts: 1}, 1, 0)
	limits := &scriptedLimits{left: left}
	made.relay.options.Limits = limits
	tenant := made.control.state.Table.Tenant("key")
	tenant.Limit = &routing.TenantLimit{Unit: routing.LimitTokens, RatePerSecond: 7, Burst: 3, PlainTokens: 20}
	return made, limits
}

func withTokens(count int) func(*Request) {
	return func(request *Request) { request.DeclaredTokens = count }
}

// TestRequestsBeyondTheLimitAreRefused counts declared tokens, or the plain count, and tells
// those beyond the limit when to come back; nothing of them runs.
func TestRequestsBeyondTheLimitAreRefused(t *testing.T) {
	world, limits := newLimitedWorld(100)
	assert.Assert(t, world.ask(withTokens(75)).refusal == nil)
	refused := world.ask(withTokens(30))
	assert.Equal(t, *refused.refusal, Refusal{Kind: RefusalOverLimit, Reason: "over_limit", RetryAfter: time.Second})
	assert.Equal(t, world.journal.last.Tenant, identity.TenantName("open"))
	assert.Equal(t, world.journal.last.Grant.Cost, 30.0)
	assert.Assert(t, world.ask(nil).refusal == nil, "a plain request counts as 20")
	assert.Equal(t, limits.left, 5.0)
	assert.Equal(t, world.backends.ran, 2)
	assert.Equal(t, limits.limits[0], quota.Limit{Version: 1, RatePerSecond: 7, Burst: 3})
}

// TestRequestsThatDidNotRunCountForNothing gives back what a request was granted that no
// back end ran, and keeps what one may have run.
func TestRequestsThatDidNotRunCountForNothing(t *testing.T) {
	world, limits := newLimitedWorld(100)
	world.backends.script = []behaviour{behaveRejected, behaveLostAfterRun}
	assert.Equal(t, world.ask(withTokens(75)).refusal.Kind, RefusalNotRun)
	assert.Equal(t, limits.left, 100.0)
	assert.Equal(t, world.ask(withTokens(75)).refusal.Kind, RefusalUnknown)
	assert.Equal(t, limits.left, 25.0)
}

// TestTenantsWithoutLimitAreNotAsked serves a tenant that has none.
func TestTenantsWithoutLimitAreNotAsked(t *testing.T) {
	world, limits := newLimitedWorld(0)
	caller := world.ask(func(request *Request) { request.Key = "walled key" })
	assert.Assert(t, caller.refusal == nil)
	assert.Equal(t, len(limits.limits), 0)
}

// TestCallerThatLeavesIsNotBeyondItsLimit ends a request whose caller leaves while its limit
// is asked for, for that reason.
func TestCallerThatLeavesIsNotBeyondItsLimit(t *testing.T) {
	world, _ := newLimitedWorld(0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	caller := &recordingCaller{}
	world.relay.Serve(ctx, &Request{
		ID: "q", Method: http.MethodPost, Host: "h.example", Target: "/x", Path: "/x", Header: http.Header{},
		Key: "key", ArrivedAt: time.Now(), Timeout: time.Second,
	}, caller)
	assert.Equal(t, caller.refusal.Kind, RefusalNotRun)
	assert.Equal(t, caller.refusal.Reason, "caller_left")
}
