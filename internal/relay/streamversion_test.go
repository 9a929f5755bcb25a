package relay

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/routing"
	corestream "github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/streamorigin"
)

// newStreamVersionFixture returns a fixture of a resumable route with backends of v1 and v2, without rollouts.
func newStreamVersionFixture(first, second int) *fixture {
	made := newFixture(routing.Route{Kind: routing.KindStreaming, Resumable: true, MaxAttempts: 3}, 1, 50)
	made.pool.Update(softwareList(first, second))
	made.backends.streaming, made.backends.events = true, 6
	return made
}

// attemptVersions returns the software version of each attempt's backend.
func attemptVersions(fixture *fixture) []identity.SoftwareVersion {
	var versions []identity.SoftwareVersion
	for _, dispatch := range fixture.backends.dispatches {
		versions = append(versions, softwareOf(fixture, dispatch.Backend))
	}
	return versions
}

// TestCutStreamIsContinuedAtItsVersion cuts streams before backends of two versions. Each must be continued at a backend of
// the version that began it.
func TestCutStreamIsContinuedAtItsVersion(t *testing.T) {
	for range 20 {
		fixture := newStreamVersionFixture(8, 0)
		list := softwareList(8, 0)
		for index := range list[1:7] { // of idle backends the first one is picked
			list[index+1].Software = "v2"
		}
		fixture.pool.Update(list)
		fixture.backends.script = []behaviour{behaveCutStream}
		caller := fixture.ask(nil)
		assert.Equal(t, caller.body.String(), eventsText(1, 6))
		versions := attemptVersions(fixture)
		assert.Equal(t, len(versions), 2)
		assert.Equal(t, versions[0], versions[1])
	}
}

// TestCutStreamEndsWithoutItsVersion cuts a stream whose version has no other backend. No other version may continue it.
func TestCutStreamEndsWithoutItsVersion(t *testing.T) {
	fixture := newStreamVersionFixture(1, 0)
	fixture.backends.script = []behaviour{behaveCutStream}
	fixture.pool.Update(softwareList(1, 0))
	fixture.backends.onDispatch = func() { fixture.pool.Update(softwareList(1, 5)) }
	caller := fixture.ask(nil)
	assert.Assert(t, caller.aborted)
	assert.Equal(t, len(fixture.backends.dispatches), 1)
}

// TestBrokenAnswerWithoutEventsGoesAnywhere loses answers before their first event. Any version may serve the request.
func TestBrokenAnswerWithoutEventsGoesAnywhere(t *testing.T) {
	fixture := newStreamVersionFixture(1, 1)
	fixture.backends.script = []behaviour{behaveLostAfterRun}
	caller := fixture.ask(nil)
	assert.Equal(t, caller.body.String(), eventsText(1, 6))
	versions := attemptVersions(fixture)
	assert.Assert(t, versions[0] != versions[1])
}

// knownOrigins is a StreamOrigins that remembers what began.
type knownOrigins struct {
	several bool
	found   streamorigin.Found
	// confirmed is what was told of each beginning, and outdated is whether beginnings are.
	confirmed []bool
	outdated  bool
}

func (o *knownOrigins) Begun(_ corestream.Stream, _ backendpool.Backend, confirmed bool) {
	o.confirmed = append(o.confirmed, confirmed)
}

func (o *knownOrigins) Find(context.Context, corestream.Stream) streamorigin.Found { return o.found }
func (o *knownOrigins) Several(identity.ServiceName) bool                          { return o.several }
func (o *knownOrigins) Outdated(context.Context, identity.ServiceName, corestream.Origin) bool {
	return o.outdated
}

// newIncarnationFixture returns a fixture whose backends are listed as incarnations 1, and name them.
func newIncarnationFixture(several bool, count int) (*fixture, *knownOrigins) {
	made := newStreamVersionFixture(count, 0)
	list := softwareList(count, 0)
	for index := range list {
		list[index].ID = identity.NewBackendID(list[index].ID.Name(), 1)
	}
	made.pool.Update(list)
	origins := &knownOrigins{several: several}
	made.relay.options.StreamOrigins = origins
	made.backends.incarnation = func(identity.BackendID) identity.Incarnation { return 1 }
	return made, origins
}

// TestEventOfABackendThatRestartedMeanwhileIsDropped guards against passing on events of a backend whose answer is of another
// incarnation than the listed one, or, beside several versions, of one that it doesn't name.
func TestEventOfABackendThatRestartedMeanwhileIsDropped(t *testing.T) {
	for _, named := range []identity.Incarnation{2, 0} {
		fixture, _ := newIncarnationFixture(true, 3)
		fixture.backends.incarnation = func(backend identity.BackendID) identity.Incarnation {
			if backend.Name() == "b1" {
				return named
			}
			return 1
		}
		fixture.backends.script = []behaviour{behaveCutStream}
		caller := fixture.ask(nil)
		assert.Equal(t, caller.body.String(), eventsText(1, 6))
		assert.Equal(t, len(fixture.backends.dispatches), 3)
		assert.Equal(t, fixture.backends.dispatches[1].Backend.Name(), identity.BackendName("b1"))
		assert.Equal(t, fixture.backends.dispatches[2].Backend.Name(), identity.BackendName("b2"))
		assert.Equal(t, fixture.backends.dispatches[2].ResumeAfter, fixture.backends.dispatches[1].ResumeAfter)
	}
}

// TestContinuedStreamsWaitForTheirVersion guards against refusing streams that are continued because their version's backends are busy
// for longer than a first event may take, and, within that time, against later requests taking the slots that these wait for.
func TestContinuedStreamsWaitForTheirVersion(t *testing.T) {
	for name, each := range map[string]struct {
		target, freeAfter time.Duration
		later             bool
	}{
		"beyond its target":      {target: 100 * time.Millisecond, freeAfter: 325 * time.Millisecond},
		"before a later request": {target: 400 * time.Millisecond, freeAfter: 125 * time.Millisecond, later: true},
	} {
		t.Run(name, func(t *testing.T) {
			route := routing.Route{Kind: routing.KindStreaming, Resumable: true, MaxAttempts: 1, TargetLatency: each.target, Timeout: 5 * time.Second}
			fixture := newFixture(route, 2, 50)
			fixture.backends.streaming, fixture.backends.events = true, 6
			fixture.pool.Update(softwareList(2, 1))
			fixture.relay.options.StreamOrigins = &knownOrigins{several: true, found: streamorigin.Found{Known: true, Version: "v2", From: "d1"}}
			fixture.fillAll()
			continued, later := make(chan *recordingCaller), make(chan *recordingCaller, 1)
			go func() {
				continued <- fixture.ask(func(request *Request) {
					longPrompt(request)
					request.Resumes, request.ResumeAfter = "q0", "2"
				})
			}()
			time.Sleep(each.freeAfter - 25*time.Millisecond)
			if each.later {
				go func() { later <- fixture.ask(longPrompt) }()
			} else {
				later <- nil
			}
			time.Sleep(25 * time.Millisecond)
			fixture.freeOneSlotOf("v2")
			caller := <-continued
			<-later
			assert.Assert(t, caller.refusal == nil, "%+v", caller.refusal)
			assert.Equal(t, softwareOf(fixture, fixture.backends.dispatches[0].Backend), identity.SoftwareVersion("v2"))
			assert.Equal(t, fixture.backends.dispatches[0].ResumeAfter, "2")
		})
	}
}

// freeOneSlotOf occupies all but one slot of each backend of a version, and all of the others, with the requests of other daemons.
func (w *fixture) freeOneSlotOf(version identity.SoftwareVersion) {
	loads := map[uint64]backendpool.Load{}
	for _, backend := range w.pool.Backends() {
		taken := float64(backend.Slots)
		if backend.Software == version {
			taken--
		}
		loads[rendezvous.Key(string(backend.ID))] = backendpool.Load{InFlight: taken}
	}
	w.pool.SetOthersLoad(loads, false)
}

// TestContinuedStreamWaitsWithoutATimeLimit guards against refusing a stream that is continued at once where there is no time limit.
func TestContinuedStreamWaitsWithoutATimeLimit(t *testing.T) {
	route := routing.Route{Kind: routing.KindStreaming, Resumable: true, MaxAttempts: 1, TargetLatency: 400 * time.Millisecond}
	fixture := newFixture(route, 2, 50)
	fixture.backends.streaming, fixture.backends.events = true, 6
	fixture.pool.Update(softwareList(2, 1))
	fixture.relay.options.StreamOrigins = &knownOrigins{several: true, found: streamorigin.Found{Known: true, Version: "v2", From: "d1"}}
	fixture.fillAll()
	time.AfterFunc(100*time.Millisecond, func() {
		loads := map[uint64]backendpool.Load{}
		for _, backend := range fixture.pool.Backends() {
			loads[rendezvous.Key(string(backend.ID))] = backendpool.Load{InFlight: 3}
		}
		fixture.pool.SetOthersLoad(loads, false)
	})
	caller := fixture.ask(func(request *Request) {
		longPrompt(request)
		request.Resumes, request.ResumeAfter, request.Timeout = "q0", "2", 0
	})
	assert.Assert(t, caller.refusal == nil, "%+v", caller.refusal)
}

// TestShortPromptsPassAStreamThatWaits guards against refusing short prompts while a stream that is continued waits for back ends that read
// too much for it, and have free slots.
func TestShortPromptsPassAStreamThatWaits(t *testing.T) {
	route := routing.Route{Kind: routing.KindStreaming, Resumable: true, MaxAttempts: 1, TargetLatency: 400 * time.Millisecond, Timeout: 5 * time.Second}
	fixture := newFixture(route, 2, 50)
	fixture.backends.streaming, fixture.backends.events = true, 6
	fixture.pool.Update(softwareList(2, 0))
	fixture.relay.options.StreamOrigins = &knownOrigins{found: streamorigin.Found{Known: true, Version: "v1"}}
	list, loads := fixture.pool.Backends(), map[uint64]backendpool.Load{}
	for index := range list {
		list[index].Slots = 4
		loads[rendezvous.Key(string(list[index].ID))] = backendpool.Load{InFlight: 1, Reading: 1e6}
	}
	fixture.pool.Update(list)
	fixture.pool.SetOthersLoad(loads, true)
	short := func(request *Request) { request.Prompt = promptOf(10) }
	before := fixture.ask(short)
	assert.Assert(t, before.refusal == nil, "a short prompt passes while no stream waits: %+v", before.refusal)
	continued := make(chan *recordingCaller)
	began := time.Now()
	go func() {
		continued <- fixture.ask(func(request *Request) {
			longPrompt(request)
			request.Resumes, request.ResumeAfter = "q0", "2"
		})
	}()
	time.Sleep(50 * time.Millisecond)
	served, refused := 0, 0
	for time.Since(began) < 1900*time.Millisecond {
		if caller := fixture.ask(short); caller.refusal == nil {
			served++
		} else {
			refused++
		}
		time.Sleep(50 * time.Millisecond)
	}
	<-continued
	assert.Assert(t, served > 0)
	assert.Equal(t, refused, 0)
}

// TestStreamIsContinuedAtNoRestartedBackend cuts a stream while another backend of its listed version has restarted.
func TestStreamIsContinuedAtNoRestartedBackend(t *testing.T) {
	for _, several := range []bool{true, false} {
		fixture, _ := newIncarnationFixture(several, 3)
		fixture.backends.script = []behaviour{behaveCutStream, behaveRestarted}
		caller := fixture.ask(nil)
		assert.Equal(t, caller.body.String(), eventsText(1, 6))
		assert.Equal(t, fixture.backends.dispatches[1].Confirmation, ConfirmationRequired)
		assert.Equal(t, fixture.backends.dispatches[2].Backend.Name(), identity.BackendName("b2"))
	}
}

// TestStreamThatBeganUnconfirmedIsNotContinuedIfOutdated guards against continuing, within one answer, a stream that may have begun at
// another version than the listed one.
func TestStreamThatBeganUnconfirmedIsNotContinuedIfOutdated(t *testing.T) {
	fixture, origins := newIncarnationFixture(true, 3)
	origins.outdated = true
	fixture.backends.incarnation = nil
	fixture.backends.script = []behaviour{behaveCutStream}
	caller := fixture.ask(nil)
	assert.Assert(t, caller.aborted)
	assert.Equal(t, len(fixture.backends.dispatches), 1)
	assert.DeepEqual(t, origins.confirmed, []bool{false})
}

// TestStreamsBeginWhileAllBackendsHaveRestarted guards against refusing new streams until the list tells of restarts. Their beginnings
// are not confirmed.
func TestStreamsBeginWhileAllBackendsHaveRestarted(t *testing.T) {
	fixture, origins := newIncarnationFixture(true, 2)
	fixture.backends.incarnation = nil
	fixture.backends.script = []behaviour{behaveRestarted, behaveRestarted}
	caller := fixture.ask(nil)
	assert.Equal(t, caller.body.String(), eventsText(1, 6))
	assert.Equal(t, len(fixture.backends.dispatches), 3)
	assert.Equal(t, fixture.backends.dispatches[2].Confirmation, ConfirmationNone)
	assert.DeepEqual(t, origins.confirmed, []bool{false})
}

// TestBeginningsAreConfirmedBesideSeveralVersions records streams with and without several versions of the service.
func TestBeginningsAreConfirmedBesideSeveralVersions(t *testing.T) {
	for _, several := range []bool{true, false} {
		fixture, origins := newIncarnationFixture(several, 1)
		fixture.ask(nil)
		assert.DeepEqual(t, origins.confirmed, []bool{several})
	}
}
