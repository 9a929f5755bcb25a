package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// TestLostLinkSaysNothingOfTheBackend guards against evidence against a version or a backend from a daemon whose own network
// link has failed.
func TestLostLinkSaysNothingOfTheBackend(t *testing.T) {
	for _, action := range []behaviour{behaveLostBeforeRun, behaveLostAfterRun, behaveCutBody, behaveCutStream} {
		for _, kind := range []routing.Kind{routing.KindSafe, routing.KindUnsafe} {
			fixture, versions := newVersionFixture(routing.Route{Kind: kind, MaxAttempts: 2}, 1, 0, 0)
			fixture.backends.script = []behaviour{action}
			fixture.backends.streaming, fixture.backends.events = action == behaveCutStream, 4
			fixture.backends.linkLost[0] = true
			caller := fixture.ask(nil)
			assert.Equal(t, versions.ended[0].Result, backendpool.ResultAbandoned)
			assert.Equal(t, versions.ended[0].FirstByte, time.Duration(0))
			if kind == routing.KindUnsafe {
				assert.Assert(t, caller.refusal == nil || caller.refusal.Kind == RefusalUnknown, "it may have run")
			}
		}
	}
}

// TestHangingRequestLeavesLostLink guards against repeatable requests that wait on a lost link until their deadlines, and
// against a backend that looks loaded by requests that it doesn't have.
func TestHangingRequestLeavesLostLink(t *testing.T) {
	fixture := newFixture(routing.Route{Kind: routing.KindSafe, MaxAttempts: 2}, 2, 10)
	fixture.backends.hang[0], fixture.backends.linkLost[0] = true, true
	began := time.Now()
	caller := fixture.ask(nil)
	assert.Equal(t, caller.body.String(), "whole body")
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, len(fixture.pool.Loads(10)), 0)
}

// TestUnsafeRequestOnLostLinkIsNoLoad holds that a request that must wait on a lost link loads no backend meanwhile.
func TestUnsafeRequestOnLostLinkIsNoLoad(t *testing.T) {
	fixture := newFixture(routing.Route{Kind: routing.KindUnsafe, MaxAttempts: 1}, 1, 10)
	fixture.backends.hang[0], fixture.backends.linkLost[0] = true, true
	time.AfterFunc(50*time.Millisecond, func() {
		assert.Check(t, len(fixture.pool.Loads(10)) == 0)
	})
	caller := fixture.ask(func(request *Request) { request.Timeout = 200 * time.Millisecond })
	assert.Equal(t, caller.refusal.Kind, RefusalTimeout)
}
