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

// suspendedWorld is a world on a machine that is suspended at some moment. By the clock that
// counts it the promise is kept, by the one that stands still it is broken.
func suspendedWorld(route routing.Route, machine *clocktest.Machine, now func() time.Time) *world {
	made := newWorld(route, 1, 0)
	made.relay.options.Now = now
	made.control.confirmed = machine.Now()
	return made
}

// arrivesAt makes a request that arrives at a time.
func arrivesAt(at time.Time) func(*Request) { return func(r *Request) { r.ArrivedAt = at } }

// TestSuspendedDaemonTakesNoKey suspends the machine for longer than a configuration may be
// unconfirmed: keys may have been taken away meanwhile.
func TestSuspendedDaemonTakesNoKey(t *testing.T) {
	for _, counts := range []bool{true, false} {
		machine := clocktest.New()
		now := clockOf(machine, counts)
		world := suspendedWorld(routing.Route{Kind: routing.KindSafe, MaxAttempts: 1}, machine, now)
		assert.Assert(t, world.ask(arrivesAt(now())).refusal == nil)
		machine.Suspend(10 * time.Second)
		refused := world.ask(arrivesAt(now())).refusal
		assert.Equal(t, refused != nil && refused.Reason == "unconfirmed_configuration", counts)
		unknown := world.ask(func(r *Request) { r.Host, r.ArrivedAt = "unknown.example", now() }).refusal
		assert.Equal(t, unknown.Kind == RefusalNotRun, counts, "a denial for good needs the newest configuration")
	}
}

// TestSuspendedDaemonBeginsNothingOnOldWeights suspends the machine after a version was named.
func TestSuspendedDaemonBeginsNothingOnOldWeights(t *testing.T) {
	for _, counts := range []bool{true, false} {
		machine := clocktest.New()
		now := clockOf(machine, counts)
		world := suspendedWorld(routing.Route{Kind: routing.KindStreaming, MaxAttempts: 1}, machine, now)
		world.backends.streaming, world.backends.events = true, 1
		world.control.state.Versions = map[identity.ModelName][]NamedVersion{"m": {{Version: 2, NamedAfter: now()}}}
		machine.Suspend(10 * time.Second)
		world.control.confirmed = now()
		refused := world.ask(func(r *Request) { promptRequest(r); r.ArrivedAt = now() }).refusal
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

// TestSuspendedDaemonSendsNothingTooLate suspends the machine while a request waits: one whose
// time is over is not sent, and another is given to the back end with the time that is left.
func TestSuspendedDaemonSendsNothingTooLate(t *testing.T) {
	for _, counts := range []bool{true, false} {
		for _, span := range []time.Duration{2 * time.Second, 12 * time.Second} {
			machine := clocktest.New()
			now := clockOf(machine, counts)
			made, limits := newLimitedWorld(100)
			made.relay.options.Now = now
			made.relay.options.Limits = &suspendingLimits{scriptedLimits: *limits, machine: machine, span: span}
			caller := made.ask(arrivesAt(now()))
			switch {
			case !counts:
				assert.Assert(t, made.backends.dispatches[0].Timeout > 9*time.Second)
			case span > 10*time.Second:
				assert.Equal(t, made.backends.ran, 0)
				assert.Equal(t, caller.refusal.Reason, reasonOfDeadline)
				assert.Equal(t, caller.refusal.Kind, RefusalNotRun)
			default:
				assert.Assert(t, made.backends.dispatches[0].Timeout <= 8*time.Second)
			}
		}
	}
}

// clockOf is a machine's clock that counts suspensions, or the one that doesn't.
func clockOf(machine *clocktest.Machine, counts bool) func() time.Time {
	if counts {
		return machine.Now
	}
	return machine.Steady
}
