package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/standin/backend"
	"github.com/lotusward/lotusward/internal/standin/engine"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

const (
	modelName = "coach"
	version   = "v1"
)

var prompt = strings.Repeat("lap 1 in 61 seconds; ", 40)

// fixture is an engine on a free port with its client.
type fixture struct {
	engine *engine.Engine
	url    string
}

func start(t *testing.T) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := engine.New(engine.Options{
		ID: "e1", Models: []engine.ModelVersion{{Model: modelName, Version: version}},
		WeightsTime: time.Millisecond, EventLateness: time.Millisecond, StopGrace: time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- served.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	f := &fixture{engine: served, url: "http://" + listener.Addr().String()}
	f.waitServing(t)
	return f
}

func (f *fixture) waitServing(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Get(f.url + enginewire.PathStatus)
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer func() { _ = response.Body.Close() }()
		var status enginewire.Status
		if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
			return poll.Error(err)
		}
		if status.State != enginewire.StateServing {
			return poll.Continue("state %s", status.State)
		}
		return poll.Success()
	})
}

// answer is what a client made of a response.
type answer struct {
	status   int
	header   http.Header
	text     string
	offsets  []string
	finished bool
	done     bool
	cached   int
	refusal  enginewire.RefusalError
}

func (f *fixture) post(t *testing.T, path string, body map[string]any, headers ...string) answer {
	t.Helper()
	encoded, err := json.Marshal(body)
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodPost, f.url+path, bytes.NewReader(encoded))
	assert.NilError(t, err)
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	read, _ := io.ReadAll(response.Body) // a cut stream ends in an error
	got := answer{status: response.StatusCode, header: response.Header}
	if response.StatusCode >= http.StatusBadRequest {
		var refusal enginewire.Refusal
		assert.NilError(t, json.Unmarshal(read, &refusal))
		got.refusal = refusal.Error
		return got
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		for line := range strings.Lines(string(read)) {
			got.takeLine(t, strings.TrimSpace(line))
		}
		return got
	}
	if len(read) > 0 {
		got.takeJSON(t, read)
	}
	return got
}

func (a *answer) takeLine(t *testing.T, line string) {
	t.Helper()
	if id, found := strings.CutPrefix(line, "id: "); found {
		a.offsets = append(a.offsets, id)
	}
	data, found := strings.CutPrefix(line, "data: ")
	switch {
	case !found:
	case data == "[DONE]":
		a.done = true
	default:
		a.takeJSON(t, []byte(data))
	}
}

func (a *answer) takeJSON(t *testing.T, data []byte) {
	t.Helper()
	type content struct {
		Content string `json:"content"`
	}
	var body struct {
		Choices []struct {
			Text         string  `json:"text"`
			Delta        content `json:"delta"`
			Message      content `json:"message"`
			FinishReason string  `json:"finish_reason"`
		} `json:"choices"`
		Usage *struct {
			CompletionTokens int `json:"completion_tokens"`
			Details          struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	assert.NilError(t, json.Unmarshal(data, &body))
	for _, choice := range body.Choices {
		a.text += choice.Text + choice.Delta.Content + choice.Message.Content
		a.finished = a.finished || choice.FinishReason != ""
	}
	if body.Usage != nil {
		a.cached = body.Usage.Details.CachedTokens
	}
}

func stream(fields map[string]any) map[string]any {
	body := map[string]any{
		"model": modelName, "prompt": prompt, "max_tokens": 12, "stream": true,
		"stream_options": map[string]any{"include_usage": true},
	}
	for name, value := range fields {
		body[name] = value
	}
	return body
}

func TestAnswersAreWholeToTheByte(t *testing.T) {
	f := start(t)
	whole := model.AnswerOf(modelName, version, []byte(prompt)).Text(0, 12)
	streamed := f.post(t, enginewire.PathCompletions, stream(nil))
	assert.Equal(t, streamed.text, whole)
	assert.Assert(t, streamed.done && streamed.finished)
	assert.DeepEqual(t, streamed.offsets, []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11"})
	plain := f.post(t, enginewire.PathCompletions, stream(map[string]any{"stream": false, "prompt": []string{prompt}}))
	assert.Equal(t, plain.text, whole)

	messages := []map[string]any{
		{"role": "system", "content": "short answers"},
		{"role": "user", "content": []map[string]any{{"type": "text", "text": prompt}}},
	}
	chat := f.post(t, enginewire.PathChatCompletions, map[string]any{"model": modelName, "messages": messages, "stream": true})
	rendered := prefix.RenderChat([]prefix.ChatMessage{
		{Role: "system", Content: "short answers"}, {Role: "user", Content: prefix.ChatContent(prompt)},
	})
	assert.Equal(t, chat.text, model.AnswerOf(modelName, version, rendered).Text(0, engine.DefaultOutputTokens))
	assert.Assert(t, chat.done)
}

func TestCutStreamIsResumedToTheSameAnswer(t *testing.T) {
	f := start(t)
	f.engine.SetFaults(backend.Faults{CutStreams: 1, CutAfterTokens: 5})
	cut := f.post(t, enginewire.PathCompletions, stream(nil), enginewire.HeaderRequestID, "r")
	assert.Assert(t, !cut.done && !cut.finished)
	whole := model.AnswerOf(modelName, version, []byte(prompt)).Text(0, 12)
	for _, offset := range []int{5, 12} {
		text := whole[:offset*prefix.BytesPerToken]
		resumed := f.post(t, enginewire.PathCompletions, stream(map[string]any{
			"resume": enginewire.Resume{Offset: offset, Text: text},
		}), enginewire.HeaderRequestID, "r", enginewire.HeaderAttempt, "2")
		assert.Equal(t, text+resumed.text, whole)
		assert.Assert(t, resumed.done && resumed.finished)
	}
	wrong := f.post(t, enginewire.PathCompletions, stream(map[string]any{"resume": enginewire.Resume{Offset: 1, Text: "zzz!"}}))
	assert.Equal(t, wrong.refusal.Code, enginewire.CodeInvalidRequest)
	runs := f.engine.Runs()
	assert.Equal(t, len(runs), 2)
	assert.Equal(t, runs[0].Tokens, 5)
	assert.Assert(t, !runs[0].Finished && runs[1].Finished)
	assert.Equal(t, runs[1].FromOffset, 5)
}

func TestCacheIsSaltedAndLostInACrash(t *testing.T) {
	f := start(t)
	salted := func(salt prefix.Salt) answer {
		return f.post(t, enginewire.PathCompletions, stream(nil), enginewire.HeaderCacheSalt, salt.String())
	}
	cachedTokens := prefix.Tokens(len(prompt)) / prefix.BlockTokens * prefix.BlockTokens
	assert.Equal(t, salted(1).cached, 0)
	second := salted(1)
	assert.Equal(t, second.cached, cachedTokens)
	assert.Equal(t, second.header.Get(enginewire.HeaderCachedTokens), strconv.Itoa(cachedTokens))
	assert.Equal(t, salted(2).cached, 0)

	before := f.engine.Incarnation()
	f.engine.Crash(time.Millisecond)
	f.waitServing(t)
	assert.Assert(t, f.engine.Incarnation() > before)
	assert.Equal(t, salted(1).cached, 0)
	stale := f.post(t, enginewire.PathCompletions, stream(nil), enginewire.HeaderExpectedIncarnation, fmt.Sprint(before))
	assert.Equal(t, stale.refusal.Code, enginewire.CodeWrongIncarnation)
	assert.Equal(t, stale.refusal.RunState, identity.RunStateNotRun)
}

func TestCrashCutsRunningStreams(t *testing.T) {
	f := start(t)
	ended := make(chan answer)
	go func() { ended <- f.post(t, enginewire.PathCompletions, stream(map[string]any{"max_tokens": 100_000})) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if runs := f.engine.Runs(); len(runs) == 1 && runs[0].Tokens > 0 {
			return poll.Success()
		}
		return poll.Continue("no token yet")
	})
	f.engine.Crash(time.Hour) // the planned stop at the test's end comes while it is away
	got := <-ended
	assert.Assert(t, got.text != "" && !got.done)
}

func TestCacheEventsNameTheBlocksOfThePrompt(t *testing.T) {
	f := start(t)
	f.post(t, enginewire.PathCompletions, stream(nil), enginewire.HeaderCacheSalt, prefix.Salt(7).String())
	response, err := http.Get(f.url + enginewire.PathCacheEvents + "?from=1")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	decoder := msgpack.NewDecoder(response.Body)
	var stored prefix.Chain
	chain := prefix.ChainOf(7, []byte(prompt))
	for len(stored) < len(chain) {
		var batch enginewire.CacheEventBatch
		assert.NilError(t, decoder.Decode(&batch))
		assert.Equal(t, batch.Incarnation, f.engine.Incarnation())
		for _, event := range batch.Events {
			assert.Equal(t, event.Kind, enginewire.BlockStored)
			for _, block := range event.Blocks {
				stored = append(stored, prefix.Hash(block))
			}
		}
	}
	assert.DeepEqual(t, stored[:len(chain)], chain)
}

func TestOrdersAreFencedAndALeaveRefusesNewWork(t *testing.T) {
	f := start(t)
	order := func(fence int, kind enginewire.OrderKind) int {
		return f.post(t, enginewire.PathOrders, map[string]any{"fence": fence, "kind": kind}).status
	}
	assert.Equal(t, order(5, enginewire.OrderLeave), http.StatusNoContent)
	assert.Equal(t, order(4, enginewire.OrderReturn), http.StatusConflict)
	refused := f.post(t, enginewire.PathCompletions, stream(nil))
	assert.Equal(t, refused.refusal.Code, enginewire.CodeLeaving)
	assert.Equal(t, refused.header.Get(enginewire.HeaderLeaving), "true")
	assert.Equal(t, refused.header.Get(enginewire.HeaderRunState), string(identity.RunStateNotRun))
	assert.Equal(t, order(6, enginewire.OrderReturn), http.StatusNoContent)
	assert.Assert(t, f.post(t, enginewire.PathCompletions, stream(nil)).done)
	assert.Equal(t, len(f.engine.Runs()), 1)
}

// TestNewestOrderOfAModelWins orders versions one after the other while the
// first still loads: the engine ends with the last, and an unload is not undone
// by a load that was under way.
func TestNewestOrderOfAModelWins(t *testing.T) {
	f := start(t)
	order := func(fence int, kind enginewire.OrderKind, name, version string) {
		got := f.post(t, enginewire.PathOrders, map[string]any{"fence": fence, "kind": kind, "model": name, "version": version})
		assert.Equal(t, got.status, http.StatusNoContent)
	}
	order(1, enginewire.OrderLoadModel, "other", "v1")
	order(2, enginewire.OrderUnloadModel, "other", "")
	order(3, enginewire.OrderLoadModel, modelName, "v2")
	order(4, enginewire.OrderLoadModel, modelName, "v3")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := f.post(t, enginewire.PathCompletions, stream(nil), enginewire.HeaderExpectedWeights, "v3")
		if got.refusal.Code != "" {
			return poll.Continue("%s", got.refusal.Code)
		}
		assert.Equal(t, got.text, model.AnswerOf(modelName, "v3", []byte(prompt)).Text(0, 12))
		return poll.Success()
	})
	stale := f.post(t, enginewire.PathCompletions, stream(nil), enginewire.HeaderExpectedWeights, version)
	assert.Equal(t, stale.refusal.Code, enginewire.CodeWrongWeights)
	unloaded := f.post(t, enginewire.PathCompletions, stream(map[string]any{"model": "other"}))
	assert.Equal(t, unloaded.refusal.Code, enginewire.CodeModelNotLoaded)
}
