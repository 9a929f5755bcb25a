package callerhttp

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/stream"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

func newAnswerAt(offset int, text string) *stream.Assembler {
	var answer stream.Assembler
	answer.Begin(1)
	answer.Accept(1, stream.Frame{Offset: 0, Tokens: offset, Text: []byte(text)})
	return &answer
}

// TestDrainCutsNoStream stops the handler in the middle of a stream.
func TestDrainCutsNoStream(t *testing.T) {
	half := make(chan struct{})
	goOn := make(chan struct{})
	engine := newFakeEngine(t, func(r *engineReply) {
		r.tokens(0, 3)
		close(half)
		<-goOn
		r.tokens(3, len(answerTokens))
		r.finish()
	})
	world := newWorld(t, Limits{}, engineBackend("a", engine.address()))
	answered := make(chan response, 1)
	go func() { answered <- world.ask(t, http.MethodPost, enginewire.PathChatCompletions, streamedChat) }()
	<-half
	world.handler.Drain()
	assert.Equal(t, world.handler.Active(), 1)
	refused := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, streamedChat)
	assert.Equal(t, refused.failure(t).Code, codeDraining)
	close(goOn)
	got := <-answered
	text, whole := streamedText(t, got.Body)
	assert.Equal(t, text, wholeAnswerText())
	assert.Assert(t, whole)
}

// TestLeavingIsPassedOn has one engine refuse and one answer while they leave.
func TestLeavingIsPassedOn(t *testing.T) {
	say := func(version string, then func(*engineReply)) func(*engineReply) {
		return func(r *engineReply) {
			r.Header().Set(enginewire.HeaderLeaving, "true")
			r.Header().Set(enginewire.HeaderStateVersion, version)
			then(r)
		}
	}
	refusing := newFakeEngine(t, say("9", func(r *engineReply) { r.refuse(503, enginewire.CodeLeaving, identity.RunStateNotRun) }))
	answering := newFakeEngine(t, say("7", serveWhole))
	world := newWorld(t, Limits{}, engineBackend("a", refusing.address()), engineBackend("b", answering.address()))
	got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, streamedChat)
	assert.Equal(t, got.Status, http.StatusOK)
	for id, want := range map[identity.BackendID]uint64{"a": 9, "b": 7} {
		version, told := world.left.Load(id)
		assert.Assert(t, told && version == want, "%s: %v", id, version)
	}
}

// TestCallerGoneCancelsTheEngine leaves in the middle of a stream.
func TestCallerGoneCancelsTheEngine(t *testing.T) {
	half := make(chan struct{})
	engineSawEnd := make(chan struct{})
	engine := newFakeEngine(t, func(r *engineReply) {
		r.tokens(0, 2)
		close(half)
		<-r.ctx.Done()
		close(engineSawEnd)
	})
	world := newWorld(t, Limits{}, engineBackend("a", engine.address()))
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, world.server.URL+enginewire.PathChatCompletions, bytes.NewBufferString(streamedChat))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	<-half
	leave()
	_ = answer.Body.Close()
	<-engineSawEnd
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		if len(engine.cancel) != 1 {
			return poll.Continue("%d cancels", len(engine.cancel))
		}
		return poll.Success()
	})
	assert.Equal(t, engine.cancel[0].Attempt, 1)
	assert.Equal(t, engine.callCount(), 1, "nothing is retried for a caller who left")
	assert.Assert(t, !world.scheduling.finished[0].Failed, "the engine is not to blame")
}

// TestSilentEngineIsLeft stalls before the first token and in mid-stream.
func TestSilentEngineIsLeft(t *testing.T) {
	for name, step := range map[string]func(*engineReply){
		"before the headers":  func(r *engineReply) { <-r.ctx.Done() },
		"after some tokens":   func(r *engineReply) { r.tokens(0, 3); <-r.ctx.Done() },
		"before the end mark": func(r *engineReply) { r.tokens(0, len(answerTokens)); <-r.ctx.Done() },
	} {
		silent := newFakeEngine(t, step)
		sound := newFakeEngine(t, serveWhole)
		limits := Limits{AttemptTimeout: 200 * time.Millisecond, StallTimeout: 200 * time.Millisecond}
		world := newWorld(t, limits, engineBackend("silent", silent.address()), engineBackend("sound", sound.address()))
		got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, streamedChat)
		text, whole := streamedText(t, got.Body)
		assert.Equal(t, text, wholeAnswerText(), name)
		assert.Assert(t, whole, name)
		assert.Assert(t, world.scheduling.finished[0].Unreachable, name)
	}
}

// TestDeadlineGivesTheFinalAnswer has an engine that never starts.
func TestDeadlineGivesTheFinalAnswer(t *testing.T) {
	engine := newFakeEngine(t, func(r *engineReply) { <-r.ctx.Done() })
	world := newWorld(t, Limits{}, engineBackend("a", engine.address()))
	got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, streamedChat, headerTimeout, "50")
	assert.Equal(t, got.Status, http.StatusGatewayTimeout)
	assert.Equal(t, got.failure(t).Code, codeDeadline)
	assert.Equal(t, got.failure(t).RunState, identity.RunStateUnknown)
	assert.Equal(t, got.Header.Get(headerShouldRetry), "false")
}

// TestFailingEnginesCauseNoStorm counts the dispatches of many failing requests.
func TestFailingEnginesCauseNoStorm(t *testing.T) {
	engine := newFakeEngine(t, cut)
	var backends []scheduler.Backend
	for _, id := range []identity.BackendID{"a", "b", "c", "d", "e", "f"} {
		backends = append(backends, engineBackend(id, engine.address()))
	}
	world := newWorld(t, Limits{}, backends...)
	const requests = 100
	for range requests {
		got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, plainChat)
		assert.Equal(t, got.failure(t).RunState, identity.RunStateUnknown)
	}
	// By default a window allows ten retries and one for each five requests.
	assert.Assert(t, engine.callCount() < requests*3/2, "%d dispatches", engine.callCount())
}

// TestPagesPassThrough checks pages, their retry, and what may run only once.
func TestPagesPassThrough(t *testing.T) {
	page := strings.Repeat("list ", 100)
	var seen http.Header
	sound := newFakeEngine(t)
	sound.page = func(writer http.ResponseWriter, request *http.Request) {
		seen = request.Header.Clone()
		writer.Header().Set("X-Load-Running", "3")
		writer.Header().Set("X-Path", request.URL.RequestURI())
		writer.WriteHeader(http.StatusCreated)
		_, _ = writer.Write([]byte(page))
	}
	var brokenCalls int
	broken := newFakeEngine(t)
	broken.page = func(writer http.ResponseWriter, _ *http.Request) {
		brokenCalls++
		writer.Header().Set("Content-Length", "500")
		_, _ = writer.Write([]byte(page[:100]))
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	world := newWorld(t, Limits{}, appBackend("broken", broken.address()), appBackend("sound", sound.address()))
	got := world.ask(t, http.MethodGet, "/v1/services/results/list/7?lang=mfe", "")
	assert.Equal(t, got.Status, http.StatusCreated)
	assert.Equal(t, got.Body, page)
	assert.Equal(t, got.Header.Get("X-Path"), "/list/7?lang=mfe")
	assert.Equal(t, got.Header.Get("X-Load-Running"), "")
	assert.Equal(t, seen.Get("Authorization"), "")
	assert.Equal(t, seen.Get(enginewire.HeaderAttempt), "2")
	assert.Equal(t, brokenCalls, 1)

	for _, once := range [][]string{
		{http.MethodPost, "/v1/services/results/list"},
		{http.MethodGet, "/v1/services/results/finish/7", headerIdempotencyKey, "k"},
		{http.MethodGet, "/v1/services/results/list", headerNotRepeatable, "true"},
	} {
		brokenCalls = 0
		got := world.ask(t, once[0], once[1], "{}", once[2:]...)
		assert.Equal(t, got.failure(t).RunState, identity.RunStateRan)
		assert.Equal(t, brokenCalls, 1)
	}
	assert.DeepEqual(t, world.claims.settled, []identity.RunState{identity.RunStateRan})
	assert.Equal(t, world.claims.claimed[0].Service, identity.ServiceName("results"))
}
