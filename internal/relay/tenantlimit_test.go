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

// scriptedLimits grants costs until nothing is left.
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

// newLimitFixture returns a fixture whose tenant has the given number of tokens left.
func newLimitFixture(left float64) (*fixture, *scriptedLimits) {
	made := newFixture(routing.Route{Kind: routing.KindUnsafe, MaxAttempts: 1}, 1, 0)
	limits := &scriptedLimits{left: left}
	made.relay.options.Limits = limits
	tenant := made.control.state.Table.Tenant("key")
	tenant.Limit = &routing.TenantLimit{Unit: routing.LimitTokens, RatePerSecond: 7, Burst: 3, PlainTokens: 20}
	return made, limits
}

func withTokens(count int) func(*Request) {
	return func(request *Request) { request.DeclaredTokens = count }
}

// TestRequestsBeyondTheLimitAreRefused charges declared tokens, or the plain cost, and checks that
// requests beyond the limit get a retry delay and do not run.
func TestRequestsBeyondTheLimitAreRefused(t *testing.T) {
	fixture, limits := newLimitFixture(100)
	assert.Assert(t, fixture.ask(withTokens(75)).refusal == nil)
	refused := fixture.ask(withTokens(30))
	assert.Equal(t, *refused.refusal, Refusal{Kind: RefusalOverLimit, Reason: "over_limit", RetryAfter: time.Second})
	assert.Equal(t, fixture.observer.last.Tenant, identity.TenantName("open"))
	assert.Equal(t, fixture.observer.last.Grant.Cost, 30.0)
	assert.Assert(t, fixture.ask(nil).refusal == nil, "a plain request counts as 20")
	assert.Equal(t, limits.left, 5.0)
	assert.Equal(t, fixture.backends.ran, 2)
	assert.Equal(t, limits.limits[0], quota.Limit{Version: 1, RatePerSecond: 7, Burst: 3})
}

// TestRequestsThatDidNotRunCountForNothing checks that the grant of a request that no backend ran
// is returned, and that of a request that may have run is kept.
func TestRequestsThatDidNotRunCountForNothing(t *testing.T) {
	fixture, limits := newLimitFixture(100)
	fixture.backends.script = []behaviour{behaveRejected, behaveLostAfterRun}
	assert.Equal(t, fixture.ask(withTokens(75)).refusal.Kind, RefusalNotRun)
	assert.Equal(t, limits.left, 100.0)
	assert.Equal(t, fixture.ask(withTokens(75)).refusal.Kind, RefusalUnknown)
	assert.Equal(t, limits.left, 25.0)
}

// TestUnlimitedTenantsSkipTheLimiter serves a tenant without a limit.
func TestUnlimitedTenantsSkipTheLimiter(t *testing.T) {
	fixture, limits := newLimitFixture(0)
	caller := fixture.ask(func(request *Request) { request.Key = "walled key" })
	assert.Assert(t, caller.refusal == nil)
	assert.Equal(t, len(limits.limits), 0)
}

// TestCallerDisconnectIsNotOverLimit lets a caller disconnect while its limit is being requested.
// The request must end for that reason, not as over the limit.
func TestCallerDisconnectIsNotOverLimit(t *testing.T) {
	fixture, _ := newLimitFixture(0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	caller := &recordingCaller{}
	fixture.relay.Serve(ctx, &Request{
		ID: "q", Method: http.MethodPost, Host: "h.example", Target: "/x", Path: "/x", Header: http.Header{},
		Key: "key", ArrivedAt: time.Now(), Timeout: time.Second,
	}, caller)
	assert.Equal(t, caller.refusal.Kind, RefusalNotRun)
	assert.Equal(t, caller.refusal.Reason, "caller_left")
}
