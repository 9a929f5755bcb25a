package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// TestServeKeepsItsPromises draws routes and scripts of misbehaving back ends, and
// compares what the caller saw with what truly ran.
func TestServeKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := routing.Route{
			Kind:        rapid.SampledFrom([]routing.Kind{routing.KindSafe, routing.KindUnsafe, routing.KindStreaming}).Draw(t, "kind"),
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
			Resumable:   rapid.Bool().Draw(t, "resumable"),
		}
		world := newWorld(route, rapid.IntRange(1, 5).Draw(t, "back ends"), rapid.IntRange(0, 5).Draw(t, "budget"))
		world.backends.streaming = route.Kind == routing.KindStreaming
		world.backends.events = rapid.IntRange(1, 6).Draw(t, "events")
		for range rapid.IntRange(0, 4).Draw(t, "scripted") {
			world.backends.script = append(world.backends.script, behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour")))
		}
		caller := world.ask(nil)

		assert.Equal(t, caller.finals, 1)
		if !route.Repeatable() {
			assert.Assert(t, world.backends.ran <= 1, "ran %d times", world.backends.ran)
		}
		if caller.refusal != nil && caller.refusal.Kind == RefusalNotRun {
			assert.Equal(t, world.backends.ran, 0)
			assert.Assert(t, caller.refusal.RetryAfter > 0)
		}
		unreached := world.backends.unreached()
		assert.Assert(t, len(world.backends.dispatches)-unreached <= maximumSendings)
		assert.Assert(t, unreached <= maximumUnreached)
		assert.Assert(t, world.backends.ran <= route.MaxAttempts)
		seen := map[identity.BackendID]bool{}
		for _, dispatch := range world.backends.dispatches {
			assert.Assert(t, !seen[dispatch.Backend], "sent twice to one back end")
			seen[dispatch.Backend] = true
		}
		checkAnswer(t, world, caller)
	})
}

// TestRequestThatSurelyDidNotRunIsServedElsewhere lets back ends refuse a request that may run once, or be out of reach, in
// any order: as long as sendings, budget and back ends are left, it is served, and runs once.
func TestRequestThatSurelyDidNotRunIsServedElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		refused := rapid.IntRange(0, maximumSendings-1).Draw(t, "refused")
		unreached := rapid.IntRange(0, maximumUnreached-1).Draw(t, "unreached")
		world := newWorld(routing.Route{Kind: routing.KindUnsafe, MaxAttempts: 1}, refused+unreached+1, refused)
		for range refused {
			without := rapid.SampledFrom([]behaviour{behaveRejected, behaveReplaced}).Draw(t, "refusal")
			world.backends.script = append(world.backends.script, without)
		}
		for range unreached {
			world.backends.script = append(world.backends.script, behaveUnreached)
		}
		world.backends.script = rapid.Permutation(world.backends.script).Draw(t, "script")
		caller := world.ask(nil)
		assert.Equal(t, caller.body.String(), "whole body")
		assert.Equal(t, world.backends.ran, 1)
	})
}

// checkAnswer compares a success with the one whole answer that there is.
func checkAnswer(t *rapid.T, world *world, caller *recordingCaller) {
	if caller.head == nil || caller.head.Status != http.StatusOK {
		return
	}
	want := "whole body"
	if world.backends.streaming {
		want = eventsText(1, world.backends.events)
	}
	if caller.aborted {
		assert.Assert(t, strings.HasPrefix(want, caller.body.String()), "%q", caller.body.String())
		return
	}
	assert.Equal(t, caller.body.String(), want)
}

// TestStreamGoesOnElsewhere resumes a cut stream after its last whole event.
func TestStreamGoesOnElsewhere(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindStreaming, Resumable: true, MaxAttempts: 2}, 3, 5)
	world.backends.streaming, world.backends.events = true, 6
	world.backends.script = []behaviour{behaveCutStream}
	caller := world.ask(nil)
	assert.Equal(t, caller.body.String(), eventsText(1, 6))
	assert.Assert(t, !caller.aborted)
	assert.Equal(t, world.backends.dispatches[1].ResumeAfter, "3")
}

// TestBudgetBoundsSecondSendings lets every first sending be rejected: all daemons'
// ratio and this daemon's part of the slack bound what is sent again.
func TestBudgetBoundsSecondSendings(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindSafe, MaxAttempts: 3}, 3, 4)
	const requests = 50
	for range 4 * requests {
		world.backends.script = append(world.backends.script, behaveRejected)
	}
	for range requests {
		caller := world.ask(nil)
		assert.Equal(t, caller.refusal.Kind, RefusalNotRun)
	}
	again := len(world.backends.dispatches) - requests
	assert.Assert(t, again > 4 && again <= 4+requests/5, "sent again: %d", again)
}

// TestUnreachedCostsNoBudget goes on past back ends that accept no connection.
func TestUnreachedCostsNoBudget(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindUnsafe, MaxAttempts: 1}, 3, 0)
	world.backends.script = []behaviour{behaveUnreached, behaveUnreached}
	caller := world.ask(nil)
	assert.Equal(t, caller.body.String(), "whole body")
}

// TestKeysNeedAConfirmedConfiguration refuses requests with a key, not run, when
// the configuration was confirmed too long ago, since the key may be revoked.
func TestKeysNeedAConfirmedConfiguration(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindSafe, MaxAttempts: 1}, 1, 0)
	assert.Equal(t, world.ask(func(r *Request) { r.Key = "unknown" }).refusal.Kind, RefusalUnknownKey)
	world.control.confirmed = time.Now().Add(-2 * time.Second)
	assert.Equal(t, world.ask(func(r *Request) { r.Key = "unknown" }).refusal.Kind, RefusalNotRun)
	assert.Assert(t, world.ask(nil).refusal == nil)
	world.control.confirmed = time.Now().Add(-5 * time.Second)
	assert.Equal(t, world.ask(nil).refusal.Kind, RefusalNotRun)
	assert.Equal(t, world.backends.ran, 1)
}

// TestNothingIsDeniedWithoutAConfiguration answers not run, never unknown, before
// the first configuration and while it may be outdated.
func TestNothingIsDeniedWithoutAConfiguration(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindSafe, MaxAttempts: 1}, 1, 0)
	elsewhere := func(r *Request) { r.Host = "unknown.example" }
	assert.Equal(t, world.ask(elsewhere).refusal.Kind, RefusalNoRoute)
	world.control.confirmed = time.Now().Add(-2 * time.Second)
	assert.Equal(t, world.ask(elsewhere).refusal.Kind, RefusalNotRun)
	world.control.state = nil
	assert.Equal(t, world.ask(nil).refusal.Kind, RefusalNotRun)
}

// promptRequest declares a prompt with a shared and an own part.
func promptRequest(r *Request) {
	r.Prompt = &Prompt{Model: "m", Parts: []Part{{ID: "shared", Tokens: 900}, {ID: "own", Tokens: 100}}}
}

// TestOldWeightsBeginNothingAfterTheGrace turns back ends with old weights away
// once the named version's grace is over, but not while the store is disturbed.
func TestOldWeightsBeginNothingAfterTheGrace(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindStreaming, MaxAttempts: 1}, 2, 0)
	world.backends.streaming, world.backends.events = true, 1
	name := func(version uint64, ago time.Duration) NamedVersion {
		return NamedVersion{Version: version, NamedAfter: time.Now().Add(-ago)}
	}
	world.control.state.Versions = map[identity.ModelName][]NamedVersion{"m": {name(2, 4*time.Second)}}
	assert.Assert(t, world.ask(promptRequest).refusal == nil)
	world.control.state.Versions = map[identity.ModelName][]NamedVersion{"m": {name(2, 6*time.Second), name(3, time.Second)}}
	assert.Equal(t, world.ask(promptRequest).refusal.Kind, RefusalNotRun)
	assert.Equal(t, world.journal.last.Shortage, backendpool.Shortage{Listed: 2, OldWeights: 2})
	world.control.steady = time.Now()
	assert.Assert(t, world.ask(promptRequest).refusal == nil)
	world.control.steady = time.Time{}
	world.pool.LearnVersion("b0", "m", 2)
	caller := world.ask(promptRequest)
	assert.Assert(t, caller.refusal == nil)
	last := world.backends.dispatches[len(world.backends.dispatches)-1]
	assert.Equal(t, last.Backend, identity.BackendID("b0"))
	assert.Equal(t, last.Version, uint64(2))
}

// TestSaltKeepsVersionsAndTenantsApart gives each version, and each isolated
// tenant, a salt of its own.
func TestSaltKeepsVersionsAndTenantsApart(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindStreaming, MaxAttempts: 1}, 1, 0)
	world.backends.streaming, world.backends.events = true, 1
	salts := map[string]bool{}
	ask := func(key string) {
		world.ask(func(r *Request) {
			promptRequest(r)
			r.Key = key
		})
		salts[world.backends.dispatches[len(world.backends.dispatches)-1].CacheSalt] = true
	}
	ask("key")
	ask("key")
	assert.Equal(t, len(salts), 1)
	ask("walled key")
	assert.Equal(t, len(salts), 2)
	world.pool.LearnVersion("b0", "m", 2)
	ask("key")
	assert.Equal(t, len(salts), 3)
}

// TestSilentBackEndIsLeft sends a repeatable request elsewhere when its back end
// accepts no connection any more, and waits for it longer when it does.
func TestSilentBackEndIsLeft(t *testing.T) {
	route := routing.Route{Kind: routing.KindSafe, MaxAttempts: 2, TargetLatency: 30 * time.Millisecond}
	world := newWorld(route, 2, 5)
	world.backends.reachable = false
	world.backends.hang[0] = true
	started := time.Now()
	caller := world.ask(nil)
	assert.Equal(t, caller.body.String(), "whole body")
	assert.Assert(t, time.Since(started) < time.Second)

	slow := newWorld(route, 2, 5)
	slow.backends.hang[0] = true
	started = time.Now()
	slow.ask(nil)
	assert.Assert(t, time.Since(started) >= time.Duration(aliveFactor*float64(route.TargetLatency)))
}

// TestLostBackEndIsLeftAtOnce sends a repeatable request elsewhere as soon as a probe
// doesn't reach its back end, long before it would be silent for too long, and leaves one
// that may run once alone.
func TestLostBackEndIsLeftAtOnce(t *testing.T) {
	route := routing.Route{Kind: routing.KindSafe, MaxAttempts: 2, TargetLatency: time.Minute}
	world := newWorld(route, 2, 5)
	world.backends.hang[0] = true
	lose := func() {
		world.backends.mutex.Lock()
		id := world.backends.dispatches[0].Backend
		world.backends.mutex.Unlock()
		world.pool.Probed(time.Now(), id, false)
	}
	time.AfterFunc(50*time.Millisecond, lose)
	started := time.Now()
	caller := world.ask(nil)
	assert.Equal(t, caller.body.String(), "whole body")
	assert.Assert(t, time.Since(started) < 5*time.Second)
	assert.Assert(t, world.backends.dispatches[0].Backend != world.backends.dispatches[1].Backend)

	once := routing.Route{Kind: routing.KindUnsafe, MaxAttempts: 1, TargetLatency: time.Minute, Timeout: 300 * time.Millisecond}
	world = newWorld(once, 2, 5)
	world.backends.hang[0] = true
	time.AfterFunc(50*time.Millisecond, lose)
	caller = world.ask(nil)
	assert.Equal(t, caller.refusal.Kind, RefusalTimeout)
	assert.Equal(t, len(world.backends.dispatches), 1)
}

// TestDeadlineEndsAtOnce answers at the route's timeout, as unknown, when the
// request was sent and nothing came.
func TestDeadlineEndsAtOnce(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindUnsafe, MaxAttempts: 1, Timeout: 80 * time.Millisecond}, 1, 0)
	world.backends.hang[0] = true
	started := time.Now()
	caller := world.ask(nil)
	assert.Equal(t, caller.refusal.Kind, RefusalTimeout)
	assert.Assert(t, time.Since(started) < time.Second)
	assert.Assert(t, world.backends.dispatches[0].Timeout <= 80*time.Millisecond)
}

// TestCallerThatLeavesEndsTheSending cancels the back end's work and holds nothing
// against the back end.
func TestCallerThatLeavesEndsTheSending(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindSafe, MaxAttempts: 3}, 1, 5)
	world.backends.hang[0] = true
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, leave)
	request := &Request{ID: "q", Host: "h.example", Path: "/x", Header: http.Header{}, Key: "key", ArrivedAt: time.Now()}
	world.relay.Serve(ctx, request, &recordingCaller{})
	assert.Equal(t, len(world.backends.dispatches), 1)
	_, out := world.pool.Count(time.Now())
	assert.Equal(t, out, 0)
	assert.Assert(t, world.pool.Pick(time.Now(), backendpool.Query{Service: "s"}) != nil)
}

// TestWaitingAtOldWeightsIsCut cuts a request that has not begun when its back
// end's weights may no longer be used, and sends it on where that is allowed.
func TestWaitingAtOldWeightsIsCut(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindStreaming, Resumable: true, MaxAttempts: 2}, 2, 5)
	world.backends.streaming, world.backends.events = true, 2
	world.backends.hang[0] = true
	named := NamedVersion{Version: 2, NamedAfter: time.Now().Add(-4500 * time.Millisecond)}
	world.control.state.Versions = map[identity.ModelName][]NamedVersion{"m": {named}}
	time.AfterFunc(300*time.Millisecond, func() {
		world.pool.LearnVersion("b0", "m", 2)
		world.pool.LearnVersion("b1", "m", 2)
	})
	caller := world.ask(promptRequest)
	assert.Equal(t, caller.body.String(), eventsText(1, 2))
	assert.Equal(t, world.backends.dispatches[0].Version, uint64(1))
	assert.Equal(t, world.backends.dispatches[1].Version, uint64(2))
}

// TestWaitingAtUnknownWeightsIsCut cuts a request that waits at a back end of which nobody has told the
// version of its weights, once the first version that is named has been for so long.
func TestWaitingAtUnknownWeightsIsCut(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindStreaming, MaxAttempts: 1}, 1, 0)
	unknown := backendList(1)
	unknown[0].Weights = nil
	world.pool.Update(unknown)
	world.backends.streaming = true
	world.backends.hang[0] = true
	time.AfterFunc(100*time.Millisecond, func() {
		renewed := *world.control.state
		named := NamedVersion{Version: 1, NamedAfter: time.Now().Add(-5 * time.Second)}
		renewed.Versions = map[identity.ModelName][]NamedVersion{"m": {named}}
		world.control.publish(&renewed)
	})
	began := time.Now()
	caller := world.ask(promptRequest)
	assert.Equal(t, caller.refusal.Reason, "old_weights")
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// TestUnreachedBackEndsCostNoSending finds the one back end that can be reached among
// many, without the budget for second sendings, and gives up among too many.
func TestUnreachedBackEndsCostNoSending(t *testing.T) {
	world := newWorld(routing.Route{Kind: routing.KindUnsafe, MaxAttempts: 1}, maximumUnreached+2, 0)
	for range maximumUnreached - 1 {
		world.backends.script = append(world.backends.script, behaveUnreached)
	}
	caller := world.ask(nil)
	assert.Equal(t, caller.head.Status, http.StatusOK)
	assert.Equal(t, world.backends.ran, 1)

	world = newWorld(routing.Route{Kind: routing.KindUnsafe, MaxAttempts: 1}, maximumUnreached+2, 0)
	for range maximumUnreached {
		world.backends.script = append(world.backends.script, behaveUnreached)
	}
	caller = world.ask(nil)
	assert.Equal(t, caller.refusal.Kind, RefusalNotRun)
	assert.Equal(t, len(world.backends.dispatches), maximumUnreached)
}
