package relay

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/clock/clocktest"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quota"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/sharedlimit"
)

// newSuspendFixture returns a fixture for a machine that gets suspended. With a clock that counts
// the suspension the guarantees hold; with one that stands still they are violated.
func newSuspendFixture(route routing.Route, machine *clocktest.Machine, now func() time.Time) *fixture {
	made := newFixture(route, 1, 0)
	made.relay.options.Now = now
	made.control.confirmed = machine.Now()
	return made
}

// arrivesAt sets the arrival time of a request.
func arrivesAt(at time.Time) func(*Request) { return func(r *Request) { r.ArrivedAt = at } }

// TestSuspendedDaemonTakesNoKey suspends the machine for longer than the maximum confirmation age.
// Keys may have been revoked meanwhile.
func TestSuspendedDaemonTakesNoKey(t *testing.T) {
	for _, counts := range []bool{true, false} {
		machine := clocktest.New()
		now := clockOf(machine, counts)
		fixture := newSuspendFixture(routing.Route{Kind: routing.KindSafe, MaxAttempts: 1}, machine, now)
		assert.Assert(t, fixture.ask(arrivesAt(now())).refusal == nil)
		machine.Suspend(10 * time.Second)
		refused := fixture.ask(arrivesAt(now())).refusal
		assert.Equal(t, refused != nil && refused.Reason == "unconfirmed_configuration", counts)
		unknown := fixture.ask(func(r *Request) { r.Host, r.ArrivedAt = "unknown.example", now() }).refusal
		assert.Equal(t, unknown.Kind == RefusalNotRun, counts, "a denial for good needs the newest configuration")
	}
}

// TestSuspendedDaemonBeginsNothingOnOldWeights suspends the machine after a version was named.
func TestSuspendedDaemonBeginsNothingOnOldWeights(t *testing.T) {
	for _, counts := range []bool{true, false} {
		machine := clocktest.New()
		now := clockOf(machine, counts)
		fixture := newSuspendFixture(routing.Route{Kind: routing.KindStreaming, MaxAttempts: 1}, machine, now)
		fixture.backends.streaming, fixture.backends.events = true, 1
		fixture.control.state.Versions = map[identity.ModelName][]NamedVersion{"m": {{Version: 2, NamedAfter: now()}}}
		machine.Suspend(10 * time.Second)
		fixture.control.confirmed = now()
		refused := fixture.ask(func(r *Request) { promptRequest(r); r.ArrivedAt = now() }).refusal
		assert.Equal(t, refused != nil, counts)
	}
}

// suspendingLimits suspend the machine while a request waits for its tenant's limit.
type suspendingLimits struct {
	scriptedLimits
	machine *clocktest.Machine
	span    time.Duration
}

// Take implements TenantLimits.
func (l *suspendingLimits) Take(ctx context.Context, name quota.Owner, limit quota.Limit, cost float64) sharedlimit.Grant {
	l.machine.Suspend(l.span)
	return l.scriptedLimits.Take(ctx, name, limit, cost)
}

// TestSuspendedDaemonSendsNothingTooLate suspends the machine while a request waits. If its
// deadline has passed, it must not be sent; otherwise the backend must be given the remaining
// time.
func TestSuspendedDaemonSendsNothingTooLate(t *testing.T) {
	for _, counts := range []bool{true, false} {
		for _, span := range []time.Duration{2 * time.Second, 12 * time.Second} {
			machine := clocktest.New()
			now := clockOf(machine, counts)
			made, limits := newLimitFixture(100)
			made.relay.options.Now = now
			made.relay.options.Limits = &suspendingLimits{scriptedLimits: *limits, machine: machine, span: span}
			caller := made.ask(arrivesAt(now()))
			switch {
			case !counts:
				assert.Assert(t, made.backends.dispatches[0].Timeout > 9*time.Second)
			case span > 10*time.Second:
				assert.Equal(t, made.backends.ran, 0)
				assert.Equal(t, caller.refusal.Reason, reasonDeadline)
				assert.Equal(t, caller.refusal.Kind, RefusalNotRun)
			default:
				assert.Assert(t, made.backends.dispatches[0].Timeout <= 8*time.Second)
			}
		}
	}
}

// clockOf returns the machine's clock that counts suspensions, or the one that does not.
func clockOf(machine *clocktest.Machine, counts bool) func() time.Time {
	if counts {
		return machine.Now
	}
	return machine.Steady
}
