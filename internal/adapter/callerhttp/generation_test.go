package callerhttp

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

func TestCompletionsReachTheCaller(t *testing.T) {
	engine := newFakeEngine(t, serveWhole)
	world := newWorld(t, Limits{}, engineBackend("a", engine.address()))

	streamed := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, streamedChat)
	assert.Equal(t, streamed.Status, http.StatusOK)
	text, whole := streamedText(t, streamed.Body)
	assert.Equal(t, text, wholeAnswerText())
	assert.Assert(t, whole)
	assert.Assert(t, !strings.Contains(streamed.Body, "usage"), "no usage was asked for")

	plain := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, plainChat)
	var answer struct {
		Object  string
		Choices []struct {
			Message      struct{ Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(plain.Body), &answer), plain.Body)
	assert.Equal(t, answer.Object, objectChat)
	assert.Equal(t, answer.Choices[0].Message.Content, wholeAnswerText())
	assert.Equal(t, answer.Choices[0].FinishReason, "stop")
	assert.Equal(t, answer.Usage.CompletionTokens, len(answerTokens))

	call := engine.calls[1]
	assert.Assert(t, call.Body.Stream)
	assert.Equal(t, call.Body.Temperature, 0.5)
	assert.Equal(t, call.Header.Get(enginewire.HeaderCacheSalt), prefix.SaltOf("ebene", testModel, "v1").String())
	assert.Equal(t, call.Header.Get(enginewire.HeaderExpectedIncarnation), "41")
	assert.Equal(t, call.Header.Get(enginewire.HeaderExpectedWeights), "v1")
	assert.Equal(t, call.Header.Get("Authorization"), "")
}

// TestStreamsSurviveBreaks breaks the first attempt in each way and demands the
// whole answer, once and in order, from the attempt after it.
func TestStreamsSurviveBreaks(t *testing.T) {
	breaks := map[string]func(*engineReply){
		"cut before the first token": cut,
		"cut at the seam":            func(r *engineReply) { r.tokens(0, 3); cut(r) },
		"clean end without the marker": func(r *engineReply) {
			r.tokens(0, 4)
		},
		"clean end after the finish reason": func(r *engineReply) {
			r.tokens(0, len(answerTokens))
			r.event("6+0", `{"id":"c","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
		},
		"marker without a finish reason": func(r *engineReply) { r.tokens(0, 4); r.event("", "[DONE]") },
		"lost event":                     func(r *engineReply) { r.tokens(0, 2); r.tokens(3, 6); r.finish() },
		"reordered events":               func(r *engineReply) { r.token(0); r.token(2); r.token(1); r.tokens(3, 6); r.finish() },
		"event of several tokens that overlaps": func(r *engineReply) {
			r.tokens(0, 2)
			r.event("1+3", `{"id":"c","choices":[{"index":0,"delta":{"content":"xyz"},"finish_reason":null}]}`)
		},
		"error in the stream": func(r *engineReply) { r.tokens(0, 2); r.event("", `{"error":{"message":"out of memory"}}`) },
		"answer of another request": func(r *engineReply) {
			r.Header().Set(enginewire.HeaderRequestID, "someone-else")
			r.event("0", `{"id":"c","choices":[{"index":0,"delta":{"content":"SECRET"},"finish_reason":null}]}`)
		},
		"older weights":   func(r *engineReply) { r.Header().Set(enginewire.HeaderWeights, "v0"); r.rest() },
		"wrong refusal":   func(r *engineReply) { r.refuse(http.StatusInternalServerError, "", "") },
		"refusal not run": func(r *engineReply) { r.refuse(http.StatusConflict, enginewire.CodeWrongIncarnation, "not_run") },
	}
	for name, broken := range breaks {
		for _, body := range []string{streamedChat, plainChat} {
			first := newFakeEngine(t, broken)
			second := newFakeEngine(t, serveWhole)
			world := newWorld(t, Limits{}, engineBackend("first", first.address()), engineBackend("second", second.address()))
			got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, body)
			assert.NilError(t, got.Err, name)
			assert.Equal(t, got.Status, http.StatusOK, name)
			if body == plainChat {
				var answer struct {
					Choices []struct{ Message struct{ Content string } }
				}
				assert.NilError(t, json.Unmarshal([]byte(got.Body), &answer))
				assert.Equal(t, answer.Choices[0].Message.Content, wholeAnswerText(), name)
				continue
			}
			text, whole := streamedText(t, got.Body)
			assert.Equal(t, text, wholeAnswerText(), name)
			assert.Assert(t, whole, name)
			assert.Equal(t, second.calls[0].Header.Get(enginewire.HeaderAttempt), "2")
			if resume := second.calls[0].Body.Resume; resume != nil {
				assert.Equal(t, resume.Text, strings.Join(answerTokens[:resume.Offset], ""), name)
			}
		}
	}
}

// TestDuplicatesAreDropped sends every event twice, and the first ones late.
func TestDuplicatesAreDropped(t *testing.T) {
	engine := newFakeEngine(t, func(r *engineReply) {
		for offset := range answerTokens {
			r.token(offset)
			r.token(offset)
			r.token(0)
		}
		r.finish()
		r.finish()
	})
	world := newWorld(t, Limits{}, engineBackend("a", engine.address()))
	got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, streamedChat)
	text, whole := streamedText(t, got.Body)
	assert.Equal(t, text, wholeAnswerText())
	assert.Assert(t, whole)
	assert.Equal(t, engine.callCount(), 1)
}

// TestResumeOnTheOnlyEngine needs the engine that failed before.
func TestResumeOnTheOnlyEngine(t *testing.T) {
	engine := newFakeEngine(t, func(r *engineReply) { r.tokens(0, 2); cut(r) }, serveWhole)
	world := newWorld(t, Limits{}, engineBackend("a", engine.address()))
	got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, streamedChat)
	text, whole := streamedText(t, got.Body)
	assert.Equal(t, text, wholeAnswerText())
	assert.Assert(t, whole)
	assert.Equal(t, strings.Count(got.Body, `"id":"c-1"`), len(answerTokens)+1, "chunks keep the first attempt's id")
}

// TestUnfinishedStreamIsNotTakenForWhole demands an error event and no end marker.
func TestUnfinishedStreamIsNotTakenForWhole(t *testing.T) {
	engine := newFakeEngine(t, func(r *engineReply) {
		if r.call.offset() < 2 {
			r.token(r.call.offset())
		}
		cut(r)
	})
	world := newWorld(t, Limits{MaxAttempts: 3}, engineBackend("a", engine.address()))
	got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, streamedChat)
	assert.Equal(t, engine.callCount(), 3)
	text, whole := streamedText(t, strings.Split(got.Body, "event: error")[0])
	assert.Equal(t, text, strings.Join(answerTokens[:2], ""))
	assert.Assert(t, !whole)
	assert.Assert(t, got.Err != nil, "the connection must not end cleanly")
	assert.Assert(t, strings.Contains(got.Body, `"run_state":"ran"`), got.Body)
}

// TestRunStatesAreTrue makes each kind of failure and checks what the caller is told.
func TestRunStatesAreTrue(t *testing.T) {
	closed := newFakeEngine(t, serveWhole)
	closedAddress := closed.address()
	closed.server.Close()
	cases := []struct {
		name    string
		address string
		step    func(*engineReply)
		state   identity.RunState
		calls   int
	}{
		{"nobody listens", closedAddress, nil, identity.RunStateNotRun, 0},
		{"refused not run", "", func(r *engineReply) { r.refuse(503, enginewire.CodeLeaving, "not_run") }, identity.RunStateNotRun, 3},
		{"refused without a word", "", func(r *engineReply) { r.refuse(503, "", "") }, identity.RunStateUnknown, 1},
		{"refusal of another request", "", func(r *engineReply) {
			r.Header().Set(enginewire.HeaderRequestID, "someone-else")
			r.refuse(503, enginewire.CodeLeaving, "not_run")
		}, identity.RunStateUnknown, 1},
		{"answer of another request", "", func(r *engineReply) {
			r.Header().Set(enginewire.HeaderRequestID, "someone-else")
			r.rest()
		}, identity.RunStateUnknown, 1},
		{"refusal lost", "", cut, identity.RunStateUnknown, 1},
		{"cut after the first token", "", func(r *engineReply) { r.token(0); cut(r) }, identity.RunStateRan, 1},
	}
	for _, test := range cases {
		engine := newFakeEngine(t, test.step)
		address := test.address
		if address == "" {
			address = engine.address()
		}
		world := newWorld(t, Limits{MaxAttempts: 3}, engineBackend("a", address))
		got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, plainChat,
			headerNotRepeatable, "true", headerIdempotencyKey, "k")
		assert.Equal(t, got.failure(t).RunState, test.state, test.name)
		assert.Equal(t, got.Header.Get(enginewire.HeaderRunState), string(test.state), test.name)
		assert.Assert(t, got.Header.Get("Retry-After") != "", test.name)
		assert.Equal(t, engine.callCount(), test.calls, test.name)
		assert.DeepEqual(t, world.claims.settled, []identity.RunState{test.state})
	}
}

// TestClaimsGuardDispatch lets nothing reach an engine without a granted claim.
func TestClaimsGuardDispatch(t *testing.T) {
	verdicts := map[port.ClaimVerdict]identity.RunState{
		port.ClaimRunning:     identity.RunStateUnknown,
		port.ClaimRan:         identity.RunStateRan,
		port.ClaimInDoubt:     identity.RunStateUnknown,
		port.ClaimUnavailable: identity.RunStateNotRun,
	}
	engine := newFakeEngine(t, serveWhole)
	world := newWorld(t, Limits{}, engineBackend("a", engine.address()))
	for verdict, state := range verdicts {
		world.claims.verdict["k"] = verdict
		got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, plainChat,
			headerNotRepeatable, "true", headerIdempotencyKey, "k")
		assert.Equal(t, got.failure(t).RunState, state, verdict)
		assert.Equal(t, len(world.claims.settled), 0, "only a granted claim is settled")
	}
	assert.Equal(t, engine.callCount(), 0)
	assert.Equal(t, len(world.scheduling.requests), 0)

	const bornKey = "01890a5d-ac96-774b-bcce-b302099a8057" // born on 2023-06-30
	got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, plainChat,
		headerNotRepeatable, "true", headerIdempotencyKey, bornKey)
	assert.Equal(t, got.Status, http.StatusOK)
	claimed := world.claims.claimed[len(world.claims.claimed)-1]
	assert.Equal(t, claimed.Born.UnixMilli(), int64(0x01890a5dac96))
	assert.Assert(t, world.claims.claimed[0].Born.IsZero())
	assert.DeepEqual(t, world.claims.settled, []identity.RunState{identity.RunStateRan})
}
