package callerhttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// faultNames are what an engine of TestAnyFaults may do with a request.
var faultNames = []string{
	"whole", "cut unrun", "cut run", "refuse", "refuse unsure", "cut at", "end at", "done at", "lose", "repeat", "error at",
}

// faultStep makes a step that does one fault at a token. It counts what truly ran.
func faultStep(fault string, at int, runs *atomic.Int32) func(*engineReply) {
	return func(r *engineReply) {
		if fault == "cut unrun" {
			cut(r)
		}
		if fault == "refuse" {
			r.refuse(http.StatusServiceUnavailable, enginewire.CodeQueueFull, identity.RunStateNotRun)
			return
		}
		runs.Add(1)
		from := r.call.offset()
		at = max(at, from)
		switch fault {
		case "cut run":
			cut(r)
		case "refuse unsure":
			r.refuse(http.StatusInternalServerError, "", "")
		case "cut at":
			r.tokens(from, at)
			cut(r)
		case "end at":
			r.tokens(from, at)
		case "done at":
			r.tokens(from, at)
			r.event("", "[DONE]")
		case "error at":
			r.tokens(from, at)
			r.event("", `{"error":{"message":"out of memory"}}`)
		case "lose":
			r.tokens(from, at)
			r.tokens(min(at+1, len(answerTokens)), len(answerTokens))
			r.finish()
		case "repeat":
			r.tokens(from, at)
			r.tokens(from, len(answerTokens))
			r.finish()
		default:
			r.rest()
		}
	}
}

// TestAnyFaults lets two engines do anything and compares what the caller got and
// was told with the answer and with what truly ran.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var runs atomic.Int32
		script := func(name string) []func(*engineReply) {
			var steps []func(*engineReply)
			for index := range 4 {
				fault := rapid.SampledFrom(faultNames).Draw(rt, fmt.Sprint(name, index))
				at := rapid.IntRange(0, len(answerTokens)-1).Draw(rt, "at")
				steps = append(steps, faultStep(fault, at, &runs))
			}
			return steps
		}
		first, second := newFakeEngine(t, script("first")...), newFakeEngine(t, script("second")...)
		world := newWorld(t, Limits{MaxAttempts: 2}, engineBackend("a", first.address()), engineBackend("b", second.address()))
		once := rapid.Bool().Draw(rt, "at most once")
		body := rapid.SampledFrom([]string{plainChat, streamedChat}).Draw(rt, "body")
		got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, body, headerNotRepeatable, fmt.Sprint(once))

		assert.Assert(rt, !once || runs.Load() <= 1, "%d runs", runs.Load())
		text, whole, state := reading(t, body, got)
		if whole {
			assert.Equal(rt, text, wholeAnswerText())
			assert.Assert(rt, runs.Load() > 0)
			return
		}
		assert.Assert(rt, strings.HasPrefix(wholeAnswerText(), text), text)
		assert.Assert(rt, state != identity.RunStateNotRun || runs.Load() == 0, "said %s after %d runs", state, runs.Load())
		assert.Assert(rt, state != identity.RunStateRan || runs.Load() > 0, "said %s after %d runs", state, runs.Load())
		assert.Assert(rt, state != "")
	})
}

// reading gives the text that a caller has, whether it must take it for whole,
// and otherwise the run state that it was told.
func reading(t *testing.T, body string, got response) (text string, whole bool, state identity.RunState) {
	if got.Status != http.StatusOK {
		return "", false, got.failure(t).RunState
	}
	if body == plainChat {
		var answer struct {
			Choices []struct{ Message struct{ Content string } }
		}
		assert.NilError(t, json.Unmarshal([]byte(got.Body), &answer))
		return answer.Choices[0].Message.Content, true, ""
	}
	events, failed, broken := strings.Cut(got.Body, "event: error\ndata: ")
	text, whole = streamedText(t, events)
	if broken {
		var detail failureBody
		assert.NilError(t, json.Unmarshal([]byte(strings.TrimSpace(failed)), &detail))
		state = detail.Error.RunState
	}
	return text, whole && got.Err == nil, state
}
