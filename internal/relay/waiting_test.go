package relay

import (
	"cmp"
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// TestMostUrgentGoesFirst lets requests enter and leave a wait list in any order while time
// passes. The first must always have the highest priority, among equals be one that can still be
// on time, and among those be the oldest. It must be woken when the one before it leaves.
func TestMostUrgentGoesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		lists := newWaitLists(func() time.Time { return now })
		var entered []*waiter
		start := now
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "passed")) * time.Second)
			if len(entered) > 0 && rapid.Bool().Draw(t, "leave") {
				at := rapid.IntRange(0, len(entered)-1).Draw(t, "who")
				left := entered[at]
				entered = slices.Delete(entered, at, at+1)
				for _, other := range entered {
					select {
					case <-other.wakeup:
					default:
					}
				}
				lists.leave("s", left)
				if len(entered) > 0 {
					assert.Equal(t, len(expectedFirst(now, entered).wakeup), 1, "the first is told to look")
				}
			} else {
				at := queuePosition{
					priority:  rapid.IntRange(0, 2).Draw(t, "priority"),
					arrivedAt: start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "arrived")) * time.Second),
				}
				if rapid.Bool().Draw(t, "aims") {
					at.lateAt = at.arrivedAt.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "aim")) * time.Second)
				}
				entered = append(entered, lists.enter("s", at))
			}
			if len(entered) == 0 {
				assert.Assert(t, lists.precedesAll("s", queuePosition{priority: 9}))
				continue
			}
			first := expectedFirst(now, entered)
			assert.Assert(t, lists.isFirst("s", first))
			assert.Equal(t, lists.precedesAll("s", first.position), false)
			moreUrgent := first.position
			moreUrgent.priority--
			assert.Equal(t, lists.precedesAll("s", moreUrgent), true)
			assert.Assert(t, lists.precedesAll("other", queuePosition{priority: 9}))
		}
	})
}

// expectedFirst is the oracle: it finds the first request by sorting.
func expectedFirst(now time.Time, entered []*waiter) *waiter {
	sorted := slices.Clone(entered)
	late := func(one *waiter) int {
		if !one.position.lateAt.IsZero() && !one.position.lateAt.After(now) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(sorted, func(left, right *waiter) int {
		return cmp.Or(
			cmp.Compare(left.position.priority, right.position.priority),
			cmp.Compare(late(left), late(right)),
			left.position.arrivedAt.Compare(right.position.arrivedAt),
		)
	})
	return sorted[0]
}

// TestContinuedStreamsPrecedeLaterRequests lets streams that are continued and other requests wait. A request must leave alone the
// versions of those that precede it, and be woken when the last of them leaves.
func TestContinuedStreamsPrecedeLaterRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		lists := newWaitLists(func() time.Time { return now })
		drawPosition := func(name string) queuePosition {
			return queuePosition{
				priority:  rapid.IntRange(0, 2).Draw(t, name+" priority"),
				arrivedAt: now.Add(-time.Duration(rapid.IntRange(0, 9).Draw(t, name+" age")) * time.Second),
			}
		}
		at, precedes := drawPosition("own"), map[identity.SoftwareVersion]bool{}
		waiting := lists.enter("s", at)
		entered := map[waitListName][]*waiter{}
		for range rapid.IntRange(0, 8).Draw(t, "streams") {
			version, other := identity.SoftwareVersion(rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version")), drawPosition("other")
			name := "s" + versionSeparator + waitListName(version)
			if rapid.Bool().Draw(t, "reserves") {
				other.reservesUntil = now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "until")) * time.Second)
			}
			entered[name] = append(entered[name], lists.enter(name, other))
			lists.enter("t"+versionSeparator+"v3", other)
			precedes[version] = precedes[version] || (now.Before(other.reservesUntil) && !at.before(now, other))
		}
		awaited := lists.awaitedVersions("s", at)
		for version, expected := range precedes {
			assert.Equal(t, slices.Contains(awaited, version), expected)
		}
		assert.Assert(t, len(awaited) <= len(precedes))
		for name, streams := range entered {
			for _, each := range streams {
				lists.leave(name, each)
			}
			assert.Equal(t, len(waiting.wakeup), 1)
			<-waiting.wakeup
		}
	})
}

// TestLinkIsUsedWithinItsShare checks that transfers over a store's link are permitted only within
// its capacity, and that each kind of use has a share of its own.
func TestLinkIsUsedWithinItsShare(t *testing.T) {
	budgets, now := newLinkBudgets(), time.Now()
	fetch := linkUse{address: "store", kind: useFetch, tokensPerSecond: 1000, burst: time.Second}
	save := fetch
	save.kind = useSave
	assert.Assert(t, budgets.allows(now, fetch, 800))
	budgets.take(now, fetch, 800)
	assert.Assert(t, !budgets.allows(now, fetch, 800))
	assert.Assert(t, budgets.allows(now, save, 800), "saves have their own share")
	assert.Assert(t, budgets.allows(now.Add(time.Second), fetch, 800))
	assert.Assert(t, budgets.allows(now.Add(time.Second), fetch, 5000), "a prompt beyond the burst needs all of it")
	assert.Assert(t, budgets.allows(now, linkUse{address: "store", kind: useFetch}, 1<<30), "no bound is known")
}

// saturate loads all backends of the fixture with the requests of other daemons.
func (w *fixture) saturate() {
	loads := map[uint64]backendpool.Load{}
	for _, backend := range w.pool.Backends() {
		loads[rendezvous.Key(string(backend.ID))] = backendpool.Load{Reading: 1 << 20}
	}
	w.pool.SetOthersLoad(loads, true)
}

// saturatingBackends saturates all backends at the first attempt.
type saturatingBackends struct {
	*scriptedBackends
	fixture *fixture
}

// Send implements Backends.
func (c saturatingBackends) Send(ctx context.Context, dispatch *Dispatch) (*Answer, error) {
	c.fixture.saturate()
	return c.scriptedBackends.Send(ctx, dispatch)
}

// longPrompt sets a prompt long enough to wait for busy backends.
func longPrompt(request *Request) {
	request.Prompt = &Prompt{Model: "m", Parts: []Part{{ID: "a", Tokens: 9000}, {ID: "b", Tokens: 1000}}}
}

// TestResumedStreamSkipsWaiting resumes a cut stream immediately although all backends are busy,
// because its request was admitted before.
func TestResumedStreamSkipsWaiting(t *testing.T) {
	route := routing.Route{Kind: routing.KindStreaming, Resumable: true, MaxAttempts: 2, TargetLatency: 100 * time.Millisecond}
	fixture := newFixture(route, 3, 5)
	fixture.backends.streaming, fixture.backends.events = true, 6
	fixture.backends.script = []behaviour{behaveCutStream}
	fixture.relay.options.Backends = saturatingBackends{fixture.backends, fixture}
	caller := fixture.ask(longPrompt)
	assert.Equal(t, caller.body.String(), eventsText(1, 6))
	assert.Assert(t, !caller.aborted)
}

// TestWaitingEndsWithATimeToComeBack refuses a request as not run if all backends stay busy for
// too long, and serves one as soon as a backend becomes free.
func TestWaitingEndsWithATimeToComeBack(t *testing.T) {
	route := routing.Route{Kind: routing.KindStreaming, MaxAttempts: 1, TargetLatency: 100 * time.Millisecond}
	fixture := newFixture(route, 3, 5)
	fixture.backends.streaming, fixture.backends.events = true, 3
	fixture.saturate()
	started := time.Now()
	caller := fixture.ask(longPrompt)
	assert.Equal(t, caller.refusal.Kind, RefusalNotRun)
	assert.Equal(t, caller.refusal.Reason, "busy")
	assert.Assert(t, caller.refusal.RetryAfter > 0)
	assert.Assert(t, time.Since(started) < 2*route.TargetLatency)
	time.AfterFunc(50*time.Millisecond, func() { fixture.pool.SetOthersLoad(nil, true) })
	assert.Equal(t, fixture.ask(longPrompt).body.String(), eventsText(1, 3))
}

// TestBackEndThatIsFreeInTimeIsNotMissed alternately saturates and frees all backends. A request
// must be served or refused as busy, never for lack of a backend.
func TestBackEndThatIsFreeInTimeIsNotMissed(t *testing.T) {
	route := routing.Route{Kind: routing.KindStreaming, MaxAttempts: 1, TargetLatency: 100 * time.Millisecond}
	fixture := newFixture(route, 3, 5)
	fixture.backends.streaming, fixture.backends.events = true, 3
	fixture.control.confirmed = time.Now().Add(time.Hour) // independent of the machine's speed
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				fixture.saturate()
				fixture.pool.SetOthersLoad(nil, true)
			}
		}
	}()
	for range 2000 {
		caller := fixture.ask(longPrompt)
		if caller.refusal != nil {
			assert.Equal(t, caller.refusal.Reason, "busy")
		}
	}
	close(stop)
	<-stopped
}

// fillAll occupies all slots of the fixture's backends with the requests of other daemons.
func (w *fixture) fillAll() {
	list, loads := w.pool.Backends(), map[uint64]backendpool.Load{}
	for index := range list {
		list[index].Slots = 4
		loads[rendezvous.Key(string(list[index].ID))] = backendpool.Load{InFlight: 4}
	}
	w.pool.Update(list)
	w.pool.SetOthersLoad(loads, false)
}

// TestHopelessWaitIsRefusedAtOnce lets requests wait while they can be on time, and refuses those
// that can't immediately, with a retry delay.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	route := routing.Route{Kind: routing.KindStreaming, MaxAttempts: 1, TargetLatency: 200 * time.Millisecond}
	fixture := newFixture(route, 3, 5)
	fixture.backends.streaming, fixture.backends.events = true, 3
	fixture.fillAll()
	waited := make(chan *recordingCaller)
	go func() { waited <- fixture.ask(longPrompt) }()
	time.Sleep(120 * time.Millisecond) // no slot becomes free for that long
	began := time.Now()
	refused := fixture.ask(longPrompt)
	assert.Equal(t, refused.refusal.Kind, RefusalNotRun)
	assert.Equal(t, refused.refusal.Reason, reasonBusy)
	assert.Assert(t, refused.refusal.RetryAfter > 0)
	assert.Assert(t, time.Since(began) < 50*time.Millisecond, "it took %v", time.Since(began))
	fixture.pool.SetOthersLoad(nil, false)
	assert.Equal(t, (<-waited).body.String(), eventsText(1, 3))
}
