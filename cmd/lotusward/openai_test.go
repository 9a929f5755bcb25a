package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/platform/standin"
)

const answerWords = 12

func (p *process) client(key string, retries int) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+p.openAI+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(retries))
}

func question(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: testModel, MaxTokens: openai.Int(100), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

func wholeText() string {
	var text strings.Builder
	for id := 1; id <= answerWords; id++ {
		text.WriteString(standin.CompletionWord(id))
	}
	return text.String()
}

func openAIDeployment(t *testing.T) (*deployment, []*standin.Runner, *process) {
	t.Helper()
	deployed := newDeployment(t)
	engines := []*standin.Runner{deployed.engine("e1", answerWords, time.Millisecond), deployed.engine("e2", answerWords, time.Millisecond)}
	deployed.configure(testKey)
	deployed.name(1)
	return deployed, engines, deployed.daemon("d1", true)
}

// TestOpenAIClient uses the public client library before runners that cut answers: whole
// answers and streams go on at the other one, and keep the identity that they began with.
func TestOpenAIClient(t *testing.T) {
	_, engines, daemon := openAIDeployment(t)
	client := daemon.client(testKey, 0)
	plain, err := client.Chat.Completions.New(t.Context(), question("Who won?"))
	assert.NilError(t, err)
	assert.Equal(t, plain.Choices[0].Message.Content, wholeText())
	assert.Equal(t, plain.Choices[0].FinishReason, "stop")
	assert.Equal(t, plain.Usage.CompletionTokens, int64(answerWords))

	params := question("Who won the second race?")
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	for number := range 6 {
		engines[number%2].Script(standin.BehaveCut)
		engines[(number+1)%2].Script()
		streaming := client.Chat.Completions.NewStreaming(t.Context(), params)
		var gathered openai.ChatCompletionAccumulator
		for streaming.Next() {
			assert.Assert(t, gathered.AddChunk(streaming.Current()), "answer %d", number)
		}
		assert.NilError(t, streaming.Err())
		assert.Equal(t, gathered.Choices[0].Message.Content, wholeText())
		assert.Equal(t, gathered.Usage.CompletionTokens, int64(answerWords))
	}
	engines[0].Script()
	engines[1].Script()
	completion, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: testModel, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Once")},
	})
	assert.NilError(t, err)
	assert.Equal(t, completion.Choices[0].Text, wholeText())
	models, err := client.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, testModel)
}

// TestOpenAIPromptsAreCutIntoParts tells runners the part that prompts share.
func TestOpenAIPromptsAreCutIntoParts(t *testing.T) {
	_, engines, daemon := openAIDeployment(t)
	client := daemon.client(testKey, 0)
	chapter := strings.Repeat("the race log of a long day. ", 200)
	for number := range 3 {
		_, err := client.Chat.Completions.New(t.Context(), question(chapter+fmt.Sprint("Who was number ", number, "?")))
		assert.NilError(t, err)
	}
	var declared []string
	for _, engine := range engines {
		for _, arrival := range engine.Arrivals() {
			declared = append(declared, arrival.Header.Get("Lotusward-Prompt-Prefix"))
			assert.Equal(t, arrival.Header.Get("Lotusward-Model"), testModel)
			assert.Equal(t, arrival.Header.Get("Authorization"), "")
			assert.Assert(t, strings.Contains(arrival.Body, `"stream":true`))
		}
	}
	shared := map[string]int{}
	for _, parts := range declared {
		if first, _, found := strings.Cut(parts, ","); found {
			shared[first]++
		}
	}
	assert.Equal(t, len(shared), 1, "%v", declared)
	for part, count := range shared {
		assert.Equal(t, count, 2, part)
		assert.Assert(t, strings.HasSuffix(part, ":1280"), part) // ten blocks of 512 bytes
	}
}

// TestOpenAIClientSeesErrors checks that the library reads failures, and that it doesn't
// repeat on its own what may have run.
func TestOpenAIClientSeesErrors(t *testing.T) {
	_, engines, daemon := openAIDeployment(t)
	var failed *openai.Error
	stranger := daemon.client("guess", 0)
	_, err := stranger.Chat.Completions.New(t.Context(), question("x"))
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.StatusCode, http.StatusUnauthorized)
	assert.Equal(t, failed.Code, "invalid_api_key")

	for _, engine := range engines {
		engine.Script(standin.BehaveCut, standin.BehaveCut, standin.BehaveCut)
	}
	client := daemon.client(testKey, 3)
	_, err = client.Chat.Completions.New(t.Context(), question("x"))
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Code, "backend_failed")
	assert.Assert(t, strings.Contains(failed.RawJSON(), `"run_state":"ran"`), failed.RawJSON())
	assert.Equal(t, len(engines[0].Arrivals())+len(engines[1].Arrivals()), 2, "the library sent it again")
}

// TestOpenAIClientCancels leaves in mid-stream.
func TestOpenAIClientCancels(t *testing.T) {
	deployed := newDeployment(t)
	engine := deployed.engine("e1", 200, 20*time.Millisecond)
	deployed.configure(testKey)
	deployed.name(1)
	daemon := deployed.daemon("d1", true)
	client := daemon.client(testKey, 0)
	ctx, cancel := context.WithCancel(t.Context())
	streaming := client.Chat.Completions.NewStreaming(ctx, question("x"))
	assert.Assert(t, streaming.Next())
	cancel()
	for streaming.Next() {
	}
	assert.Assert(t, errors.Is(streaming.Err(), context.Canceled), "%v", streaming.Err())
	id := engine.Arrivals()[0].ID
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, line := range daemon.lines(id) {
			if line["reason"] == "caller_left" {
				return poll.Success()
			}
		}
		return poll.Continue("the daemon has not noticed")
	}, poll.WithTimeout(3*time.Second))
}

// TestOpenAIBadInputCostsNoWork demands a clear error at once, with nothing sent.
func TestOpenAIBadInputCostsNoWork(t *testing.T) {
	_, engines, daemon := openAIDeployment(t)
	chat := func(fields string) string {
		return `{"model":"m","messages":[{"role":"user","content":"x"}]` + fields + `}`
	}
	const chatPath, plainPath = "/v1/chat/completions", "/v1/completions"
	cases := []struct {
		name, method, path, body, contentType string
		status                                int
		code, message                         string
	}{
		{name: "broken JSON", body: "{\"model\":\"m\",\n  \"messages\": [}", status: 400, code: "invalid_json", message: "line 2, column 16"},
		{name: "not an object", body: `[1]`, status: 400, code: "invalid_json", message: "not a JSON object"},
		{name: "empty", body: ``, status: 400, code: "invalid_json", message: "unexpected end"},
		{name: "two values", body: chat("") + "{}", status: 400, code: "invalid_json", message: "after top-level value"},
		{name: "field twice", body: chat(`,"model":"other"`), status: 400, code: "invalid_json", message: "stands twice"},
		{name: "too deep", body: chat(`,"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000)), status: 400, code: "invalid_json", message: "depth"},
		{name: "wrong type", body: "{\"messages\":[{\"role\":\"user\",\n\"content\":7}],\"model\":\"m\"}", status: 400, code: "invalid_value", message: "messages"},
		{name: "no messages", body: `{"model":"m","messages":[]}`, status: 400, code: "invalid_value", message: "missing or empty"},
		{name: "prompt list", path: plainPath, body: `{"model":"m","prompt":["a","b"]}`, status: 400, code: "invalid_value", message: "one prompt"},
		{name: "several answers", body: chat(`,"n":2`), status: 400, code: "invalid_value", message: "must be 1"},
		{name: "resume", body: chat(`,"resume":{"offset":1}`), status: 400, code: "invalid_value", message: "not for callers"},
		{name: "no tokens", body: chat(`,"max_tokens":0`), status: 400, code: "invalid_value", message: "at least 1"},
		{name: "unknown model", body: `{"model":"other","messages":[{"role":"user","content":"x"}]}`, status: 404, code: "model_not_found", message: "other"},
		{name: "too large", body: `"` + strings.Repeat("x", 2<<20) + `"`, status: 413, code: "body_too_large", message: "1048576"},
		{name: "content type", body: chat(""), contentType: "text/plain", status: 415, code: "unsupported_content_type", message: "text/plain"},
		{name: "unknown path", path: "/v2/x", body: chat(""), status: 404, code: "not_found", message: "/v2/x"},
		{name: "wrong method", method: http.MethodDelete, body: chat(""), status: 405, code: "method_not_allowed", message: "DELETE"},
	}
	for _, test := range cases {
		if test.path == "" {
			test.path = chatPath
		}
		contentType := "application/json"
		if test.contentType != "" {
			contentType = test.contentType
		}
		sent := call{method: test.method, path: test.path, body: test.body, header: map[string]string{"Content-Type": contentType}}
		got := daemon.askAt(daemon.openAI, "", sent)
		assert.NilError(t, got.err, test.name)
		assert.Equal(t, got.status, test.status, "%s: %s", test.name, got.body)
		assert.Assert(t, strings.Contains(got.body, test.code), "%s: %s", test.name, got.body)
		assert.Assert(t, strings.Contains(got.body, test.message), "%s: %s", test.name, got.body)
		assert.Assert(t, strings.Contains(got.body, `"run_state":"not_run"`), "%s: %s", test.name, got.body)
	}
	assert.Equal(t, len(engines[0].Arrivals())+len(engines[1].Arrivals()), 0)
}
