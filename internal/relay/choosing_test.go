package relay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// scriptedVersions chooses as tests say, and keeps account of what became of its choices.
type scriptedVersions struct {
	mutex sync.Mutex
	// row is of the standing in force: choices of another one don't stand.
	row     uint64
	stable  identity.SoftwareVersion
	refused bool
	// trials are whether the next choices for first sendings are trials.
	trials []bool
	// backends are those of trials.
	backends []uint64
	// onStands is called before each answer of Stands; it may be nil.
	onStands func()

	chosen, sent, dropped []VersionChoice
	// seconds counts choices for second sendings.
	seconds int
	ended   []SendingEnd
}

func (v *scriptedVersions) Choose(service identity.ServiceName, route string, first bool) VersionChoice {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if !first {
		v.seconds++
	}
	choice := VersionChoice{Service: service, Route: route, Version: v.stable, Stage: rollout.StageTrial, Row: v.row, Refused: v.refused}
	if choice.Refused {
		return choice
	}
	if first && len(v.trials) > 0 {
		choice.Trial, v.trials = v.trials[0], v.trials[1:]
	}
	if choice.Trial {
		choice.Version, choice.Backends = "v2", v.backends
	}
	v.chosen = append(v.chosen, choice)
	return choice
}

func (v *scriptedVersions) Stands(choice VersionChoice) bool {
	v.mutex.Lock()
	onStands := v.onStands
	v.mutex.Unlock()
	if onStands != nil {
		onStands()
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return !v.refused && choice.Row == v.row
}

func (v *scriptedVersions) Sent(choice VersionChoice) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.sent = append(v.sent, choice)
}

func (v *scriptedVersions) Dropped(choice VersionChoice) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.dropped = append(v.dropped, choice)
}

func (v *scriptedVersions) Ended(_ VersionChoice, ended SendingEnd) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.ended = append(v.ended, ended)
}

// set changes the script while requests run.
func (v *scriptedVersions) set(change func(*scriptedVersions)) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	change(v)
}

// softwareList is a list of back ends of v1, b0 and on, and after them of v2.
func softwareList(stable, target int) []backendpool.Backend {
	list := backendList(stable + target)
	for index := range list {
		list[index].Software = "v1"
		if index >= stable {
			list[index].Software = "v2"
		}
	}
	return list
}

// newVersionWorld is a world with back ends of v1 and v2, of which v1 is stable.
func newVersionWorld(route routing.Route, stable, target, floor int) (*world, *scriptedVersions) {
	made := newWorld(route, 1, floor)
	made.pool.Update(softwareList(stable, target))
	versions := &scriptedVersions{stable: "v1", row: 1}
	made.relay.options.Versions = versions
	return made, versions
}

func keyOf(id identity.BackendID) uint64 { return rendezvous.Key(string(id)) }

// TestChoicesAreKeptAndAccountedFor draws scripts of choices and of back ends: each sending goes
// to a back end of what was chosen for it, second ones to the stable version, and each choice
// is either sent, and its end told once, or dropped.
func TestChoicesAreKeptAndAccountedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := routing.Route{
			Kind:        rapid.SampledFrom([]routing.Kind{routing.KindSafe, routing.KindUnsafe, routing.KindStreaming}).Draw(t, "kind"),
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Resumable: true,
		}
		stable, target := rapid.IntRange(0, 3).Draw(t, "stable"), rapid.IntRange(0, 3).Draw(t, "target")
		world, versions := newVersionWorld(route, stable, target, 5)
		world.backends.streaming, world.backends.events = route.Kind == routing.KindStreaming, 3
		for range rapid.IntRange(0, 4).Draw(t, "scripted") {
			world.backends.script = append(world.backends.script, behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour")))
		}
		versions.trials = rapid.SliceOfN(rapid.Bool(), 0, 3).Draw(t, "trials")
		versions.refused = rapid.IntRange(0, 5).Draw(t, "refused") == 0
		if rapid.Bool().Draw(t, "only some") {
			versions.backends = []uint64{keyOf(identity.BackendID(fmt.Sprintf("b%d", stable)))}
		}
		changes := rapid.IntRange(0, 6).Draw(t, "changes")
		versions.onStands = func() {
			versions.mutex.Lock()
			defer versions.mutex.Unlock()
			if changes > 0 {
				changes--
				versions.row++
			}
		}
		caller := world.ask(nil)

		assert.Equal(t, caller.finals, 1)
		assert.Equal(t, len(versions.chosen), len(versions.sent)+len(versions.dropped))
		assert.Equal(t, len(versions.sent), len(versions.ended))
		assert.Equal(t, len(versions.sent), len(world.backends.dispatches))
		for index, dispatch := range world.backends.dispatches {
			chosen := versions.sent[index]
			assert.Equal(t, softwareOf(world, dispatch.Backend), chosen.Version)
			assert.Assert(t, chosen.Backends == nil || slices.Contains(chosen.Backends, keyOf(dispatch.Backend)))
			assert.Equal(t, versions.ended[index].Backend, keyOf(dispatch.Backend))
			assert.Assert(t, index == 0 || !chosen.Trial, "a second sending went to a trial")
		}
		if versions.refused {
			assert.Equal(t, len(world.backends.dispatches), 0)
			assert.Equal(t, caller.refusal.Reason, reasonUnconfirmedVersions)
		}
		for _, state := range world.pool.States(time.Now()) {
			assert.Equal(t, state.Own, 0, "a place was not given back")
		}
	})
}

func softwareOf(world *world, id identity.BackendID) identity.SoftwareVersion {
	for _, backend := range world.pool.Backends() {
		if backend.ID == id {
			return backend.Software
		}
	}
	return ""
}

// TestTrialWithoutAPlaceGoesToTheStableVersion has the trial's only back end full, then doubted,
// then gone: requests chosen for it go to the stable version at once.
func TestTrialWithoutAPlaceGoesToTheStableVersion(t *testing.T) {
	world, versions := newVersionWorld(engineRoute(), 1, 1, 0)
	prompted := func(request *Request) { request.Prompt = promptOf(3000) }
	stableAlone := func(name string) {
		t.Helper()
		versions.trials = []bool{true}
		before := len(world.backends.dispatches)
		began := time.Now()
		world.ask(prompted)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, name)
		assert.Equal(t, len(world.backends.dispatches), before+1, name)
		assert.Equal(t, world.backends.dispatches[before].Backend, identity.BackendID("b0"), name)
		assert.Assert(t, versions.dropped[len(versions.dropped)-1].Trial, name)
		assert.Assert(t, !versions.sent[len(versions.sent)-1].Trial, name)
	}
	list := softwareList(1, 1)
	list[1].Slots = 1
	world.pool.Update(list)
	held := world.pool.Pick(time.Now(), backendpool.Query{Service: "s", Software: "v2"})
	stableAlone("full")
	held.Release(time.Now(), backendpool.ResultUnreached)
	stableAlone("doubted")
	world.pool.Update(list[:1])
	stableAlone("gone")
}

// TestWaitingRequestDoesNotGoByAnOutdatedChoice lets a request wait for the stable version's
// only place while the standing comes to name the other version.
func TestWaitingRequestDoesNotGoByAnOutdatedChoice(t *testing.T) {
	world, versions := newVersionWorld(engineRoute(), 1, 1, 0)
	list := softwareList(1, 1)
	list[0].Slots = 1
	world.pool.Update(list)
	held := world.pool.Pick(time.Now(), backendpool.Query{Service: "s", Software: "v1"})
	defer held.Release(time.Now(), backendpool.ResultServed)
	done := make(chan *recordingCaller, 1)
	go func() { done <- world.ask(func(request *Request) { request.Prompt = promptOf(3000) }) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		world.relay.waiting.mutex.Lock()
		defer world.relay.waiting.mutex.Unlock()
		if len(world.relay.waiting.services["s"]) == 1 {
			return poll.Success()
		}
		return poll.Continue("it doesn't wait")
	}, poll.WithDelay(time.Millisecond))
	versions.set(func(v *scriptedVersions) { v.row, v.stable = 2, "v2" })
	caller := <-done
	assert.Assert(t, caller.refusal == nil, "%v", caller.refusal)
	assert.Equal(t, world.backends.dispatches[0].Backend, identity.BackendID("b1"))
	assert.Equal(t, versions.sent[0].Row, uint64(2))
}

// TestChoiceIsCheckedJustBeforeTheSending changes the standing between the pick and the sending.
func TestChoiceIsCheckedJustBeforeTheSending(t *testing.T) {
	world, versions := newVersionWorld(routing.Route{Kind: routing.KindUnsafe}, 1, 1, 0)
	versions.onStands = func() {
		versions.set(func(v *scriptedVersions) { v.row, v.stable, v.onStands = 2, "v2", nil })
	}
	world.ask(nil)
	assert.Equal(t, len(world.backends.dispatches), 1)
	assert.Equal(t, world.backends.dispatches[0].Backend, identity.BackendID("b1"))
	assert.Equal(t, versions.dropped[0].Version, identity.SoftwareVersion("v1"))
}

// TestChoicesThatNeverHoldAreRefused has the standing change at each look.
func TestChoicesThatNeverHoldAreRefused(t *testing.T) {
	world, versions := newVersionWorld(routing.Route{Kind: routing.KindUnsafe}, 1, 1, 0)
	versions.onStands = func() { versions.set(func(v *scriptedVersions) { v.row++ }) }
	caller := world.ask(nil)
	assert.Equal(t, caller.refusal.Kind, RefusalNotRun)
	assert.Equal(t, caller.refusal.Reason, reasonUnconfirmedVersions)
	assert.Equal(t, len(world.backends.dispatches), 0)
}

// TestRefusedVersionsSayWhenToComeBack refuses a request that may go to no version, before and
// while it waits.
func TestRefusedVersionsSayWhenToComeBack(t *testing.T) {
	world, versions := newVersionWorld(engineRoute(), 1, 0, 0)
	versions.refused = true
	want := Refusal{Kind: RefusalNotRun, Reason: reasonUnconfirmedVersions, RetryAfter: 250 * time.Millisecond}
	assert.Equal(t, *world.ask(nil).refusal, want)

	versions.refused = false
	list := softwareList(1, 0)
	list[0].Slots = 1
	world.pool.Update(list)
	held := world.pool.Pick(time.Now(), backendpool.Query{Service: "s"})
	defer held.Release(time.Now(), backendpool.ResultServed)
	time.AfterFunc(60*time.Millisecond, func() { versions.set(func(v *scriptedVersions) { v.refused = true }) })
	began := time.Now()
	caller := world.ask(func(request *Request) { request.Prompt = promptOf(3000) })
	assert.Equal(t, *caller.refusal, want)
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "it is refused at once")
}

// TestOnlyTheChosenVersionIsShort counts the back ends of the other version where the chosen one
// has none.
func TestOnlyTheChosenVersionIsShort(t *testing.T) {
	world, versions := newVersionWorld(routing.Route{Kind: routing.KindSafe, MaxAttempts: 2}, 0, 3, 0)
	caller := world.ask(nil)
	assert.Equal(t, caller.refusal.Reason, "no_backend")
	assert.Equal(t, world.journal.last.Shortage, backendpool.Shortage{Listed: 3, OtherVersion: 3})
	assert.Equal(t, len(versions.dropped), 1)
}

// TestResumedStreamsLeaveTheTrial cuts a stream of a back end under trial, and has a client
// resume one itself: the rest comes from the stable version.
func TestResumedStreamsLeaveTheTrial(t *testing.T) {
	route := routing.Route{Kind: routing.KindStreaming, Resumable: true, MaxAttempts: 2}
	world, versions := newVersionWorld(route, 2, 2, 5)
	world.backends.streaming, world.backends.events = true, 6
	world.backends.script = []behaviour{behaveCutStream}
	versions.trials = []bool{true, true, true}
	caller := world.ask(nil)
	assert.Equal(t, caller.body.String(), eventsText(1, 6))
	assert.Assert(t, versions.sent[0].Trial)
	assert.Assert(t, !versions.sent[1].Trial)
	assert.Equal(t, softwareOf(world, world.backends.dispatches[1].Backend), identity.SoftwareVersion("v1"))
	assert.Equal(t, versions.ended[0].Result, backendpool.ResultCut)
	assert.Assert(t, versions.ended[0].FirstByte > 0)

	world.ask(func(request *Request) { request.ResumeAfter = "3" })
	assert.Assert(t, !versions.sent[2].Trial)
}

// TestBudgetCountsBothVersions sends first sendings to either version by turns, of which each
// fails: second sendings of both come out of one budget.
func TestBudgetCountsBothVersions(t *testing.T) {
	world, versions := newVersionWorld(routing.Route{Kind: routing.KindSafe, MaxAttempts: 3}, 3, 3, 4)
	const requests = 50
	for index := range 4 * requests {
		world.backends.script = append(world.backends.script, behaveRejected)
		versions.trials = append(versions.trials, index%2 == 0)
	}
	for range requests {
		world.ask(nil)
	}
	again := len(world.backends.dispatches) - requests
	assert.Assert(t, again > 4 && again <= 4+requests/5, "sent again: %d", again)
	trials := 0
	for _, sent := range versions.sent {
		if sent.Trial {
			trials++
		}
	}
	assert.Equal(t, trials, requests/2)
}

// TestEndsTellWhatTheVersionDid compares what is told of a sending's end with what the back end
// did.
func TestEndsTellWhatTheVersionDid(t *testing.T) {
	for does, want := range map[behaviour]SendingEnd{
		behaveServe:        {Result: backendpool.ResultServed, Status: http.StatusOK},
		behaveFailure:      {Result: backendpool.ResultFailed, Status: http.StatusInternalServerError, BackendFailed: true},
		behaveInvalid:      {Result: backendpool.ResultFailed, Status: http.StatusOK},
		behaveRejected:     {Result: backendpool.ResultRejected, Status: http.StatusServiceUnavailable},
		behaveUnreached:    {Result: backendpool.ResultUnreached},
		behaveLostAfterRun: {Result: backendpool.ResultCut},
		behaveCutBody:      {Result: backendpool.ResultCut, Status: http.StatusOK},
	} {
		for _, kind := range []routing.Kind{routing.KindSafe, routing.KindUnsafe} {
			world, versions := newVersionWorld(routing.Route{Kind: kind, MaxAttempts: 2}, 1, 0, 0)
			world.backends.script = []behaviour{does}
			world.ask(func(request *Request) { request.Prompt = promptOf(3000) })
			got := versions.ended[0]
			assert.Equal(t, got.FirstByte > 0, got.Status != 0)
			assert.Assert(t, got.Tokens >= 3000 && got.Tokens < 4000, "%d tokens", got.Tokens)
			got.FirstByte, got.Tokens, got.Backend = 0, 0, 0
			assert.Equal(t, got, want, "%s on %s", want.Result, kind)
		}
	}
}

// TestSlowFirstByteIsTold has a back end take its time until the caller leaves: how long that
// waited tells of the version too.
func TestSlowFirstByteIsTold(t *testing.T) {
	world, versions := newVersionWorld(routing.Route{Kind: routing.KindUnsafe}, 1, 0, 0)
	world.backends.hang[0] = true
	caller := &recordingCaller{}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	request := &Request{ID: "q", Method: http.MethodPost, Host: "h.example", Target: "/x", Path: "/x", Header: http.Header{}, Key: "key", ArrivedAt: time.Now()}
	world.relay.Serve(ctx, request, caller)
	assert.Equal(t, versions.ended[0].Result, backendpool.ResultAbandoned)
	assert.Assert(t, versions.ended[0].FirstByte >= 40*time.Millisecond && versions.ended[0].FirstByte < 5*time.Second)
}

// TestLinesTellTheVersion has the journal told of the version, its stage and the trial, and of
// nothing where roll-outs are off.
func TestLinesTellTheVersion(t *testing.T) {
	world, versions := newVersionWorld(routing.Route{Kind: routing.KindUnsafe}, 1, 1, 0)
	versions.trials = []bool{true}
	world.backends.script = []behaviour{behaveLostAfterRun}
	world.ask(nil)
	assert.Equal(t, *world.journal.last.Attempt.Software, SoftwareAttempt{Version: "v2", Trial: true, Stage: rollout.StageTrial, Row: 1})
	world.relay.options.Versions = nil
	world.backends.script = []behaviour{behaveServe, behaveLostAfterRun}
	world.ask(nil)
	assert.Assert(t, world.journal.last.Attempt.Software == nil)
}

// TestWithoutVersionsAnyBackEndWillDo sends to a back end of another version than the stable one
// where none are chosen between.
func TestWithoutVersionsAnyBackEndWillDo(t *testing.T) {
	world, versions := newVersionWorld(routing.Route{Kind: routing.KindUnsafe}, 0, 1, 0)
	world.relay.options.Versions = nil
	assert.Assert(t, world.ask(nil).refusal == nil)
	assert.Equal(t, len(versions.chosen), 0)
}

// TestPromptsComeFromBackEndsOfAnyVersion has a back end of the other version hold a prompt: it
// holds the same weights, and is the source.
func TestPromptsComeFromBackEndsOfAnyVersion(t *testing.T) {
	world, versions := newVersionWorld(engineRoute(), 1, 1, 0)
	versions.stable = "v2"
	prompt := &Prompt{Model: "m", Parts: []Part{{ID: "shared", Tokens: 4000}, {ID: "own", Tokens: 100}}}
	fact := promptcache.Fact{Part: promptcache.KeyOf("v1", "shared"), Backend: keyOf("b0"), Tokens: 4000}
	world.relay.options.Memory.RecordRead(time.Now(), fact)
	world.ask(func(request *Request) { request.Prompt = prompt })
	dispatch := world.backends.dispatches[0]
	assert.Equal(t, dispatch.Backend, identity.BackendID("b1"))
	assert.Equal(t, dispatch.FetchFrom, "10.0.0.0:80")
}

// engineRoute is a route whose requests wait for a place.
func engineRoute() routing.Route {
	return routing.Route{Kind: routing.KindSafe, MaxAttempts: 2, TargetLatency: time.Second}
}

// promptOf is a prompt of a number of tokens, none of them shared.
func promptOf(tokens int) *Prompt {
	return &Prompt{Model: "m", Parts: []Part{{ID: "own", Tokens: tokens}}}
}
