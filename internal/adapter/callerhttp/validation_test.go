package callerhttp

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// TestBadInputCostsNoWork demands a clear error at once, with nothing scheduled.
func TestBadInputCostsNoWork(t *testing.T) {
	world := newWorld(t, Limits{MaxBodyBytes: 64 << 10})
	chat := func(fields string) string {
		return `{"model":"recap","messages":[{"role":"user","content":"x"}]` + fields + `}`
	}
	cases := []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		status  int
		code    string
		message string
	}{
		{name: "broken JSON", body: "{\"model\":\"recap\",\n  \"messages\": [}", status: 400, code: codeInvalidJSON, message: "line 2, column 16"},
		{name: "not an object", body: `[1]`, status: 400, code: codeInvalidJSON, message: "not a JSON object"},
		{name: "empty", body: ``, status: 400, code: codeInvalidJSON, message: "unexpected end"},
		{name: "two values", body: chat("") + "{}", status: 400, code: codeInvalidJSON, message: "after top-level value"},
		{name: "field twice", body: chat(`,"model":"other"`), status: 400, code: codeInvalidJSON, message: "stands twice"},
		{name: "too deep", body: chat(`,"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000)), status: 400, code: codeInvalidJSON, message: "depth"},
		{name: "wrong type", body: "{\"messages\":[{\"role\":\"user\",\n\"content\":7}],\"model\":\"recap\"}", status: 400, code: codeInvalidValue, message: "messages"},
		{name: "no messages", body: `{"model":"recap","messages":[]}`, status: 400, code: codeInvalidValue, message: "missing or empty"},
		{name: "prompt list", path: enginewire.PathCompletions, body: `{"model":"recap","prompt":["a","b"]}`, status: 400, code: codeInvalidValue, message: "one prompt"},
		{name: "several answers", body: chat(`,"n":2`), status: 400, code: codeInvalidValue, message: "must be 1"},
		{name: "resume", body: chat(`,"resume":{"offset":1,"text":"x"}`), status: 400, code: codeInvalidValue, message: "not for callers"},
		{name: "no tokens", body: chat(`,"max_tokens":0`), status: 400, code: codeInvalidValue, message: "at least 1"},
		{name: "too long", body: `{"model":"recap","messages":[{"role":"user","content":"` + strings.Repeat("x", 5*4096) + `"}]}`, status: 400, code: codeContextLength, message: "4096"},
		{name: "unknown model", body: `{"model":"other","messages":[{"role":"user","content":"x"}]}`, status: 404, code: codeModelNotFound, message: "other"},
		{name: "too large", body: `"` + strings.Repeat("x", 65<<10) + `"`, status: 413, code: codeBodyTooLarge, message: "65536"},
		{name: "content type", body: plainChat, headers: []string{"Content-Type", "text/plain"}, status: 415, code: codeContentType, message: "text/plain"},
		{name: "wrong key", body: plainChat, headers: []string{"Authorization", "Bearer guess"}, status: 401, code: codeInvalidKey, message: "key"},
		{name: "priority class", body: plainChat, headers: []string{headerPriorityClass, "vip"}, status: 400, code: codeInvalidValue, message: "vip"},
		{name: "timeout", body: plainChat, headers: []string{headerTimeout, "-1"}, status: 400, code: codeInvalidValue, message: "milliseconds"},
		{name: "not repeatable", body: plainChat, headers: []string{headerNotRepeatable, "maybe"}, status: 400, code: codeInvalidValue, message: "maybe"},
		{name: "idempotency key", body: plainChat, headers: []string{headerIdempotencyKey, strings.Repeat("k", 256)}, status: 400, code: codeInvalidIdempotency, message: "255"},
		{name: "unknown path", path: "/v2/x", body: plainChat, status: 404, code: codeNotFound, message: "/v2/x"},
		{name: "wrong method", method: http.MethodDelete, body: plainChat, status: 405, code: codeMethodNotAllowed, message: "DELETE"},
		{name: "unknown service", path: "/v1/services/nowhere/x", body: plainChat, status: 404, code: codeServiceNotFound, message: "nowhere"},
	}
	for _, test := range cases {
		if test.method == "" {
			test.method = http.MethodPost
		}
		if test.path == "" {
			test.path = enginewire.PathChatCompletions
		}
		got := world.ask(t, test.method, test.path, test.body, test.headers...)
		assert.Equal(t, got.Status, test.status, test.name)
		failed := got.failure(t)
		assert.Equal(t, failed.Code, test.code, test.name)
		assert.Assert(t, strings.Contains(failed.Message, test.message), "%s: %s", test.name, failed.Message)
		assert.Equal(t, failed.RunState, identity.RunStateNotRun, test.name)
	}
	assert.Equal(t, len(world.scheduling.requests), 0)
}

// TestSlowInputIsCutOff sends headers or a body piecemeal over a bare connection.
func TestSlowInputIsCutOff(t *testing.T) {
	world := newWorld(t, Limits{BodyTimeout: 50 * time.Millisecond, HeaderTimeout: 50 * time.Millisecond, MaxHeaderBytes: 8 << 10})
	const start = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
	key := "Authorization: Bearer " + testKey + "\r\n"
	cases := []struct {
		name   string
		send   string
		status string
	}{
		{"slow body", start + key + "Content-Length: 100\r\n\r\n{", "408"},
		{"wrong key and an unsent body", start + "Content-Length: 100\r\n\r\n", "401"},
		{"body announced too large", start + key + "Content-Length: 99999999999\r\n\r\n", "413"},
		{"header flood", start + key + "X: " + strings.Repeat("x", 64<<10) + "\r\n", "431"},
		{"slow headers", start, ""},
	}
	for _, test := range cases {
		conn, err := net.Dial("tcp", world.server.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, test.send)
		assert.NilError(t, err, test.name)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		line, _ := bufio.NewReader(conn).ReadString('\n')
		assert.Assert(t, strings.Contains(line, test.status), "%s: %s", test.name, line)
		if test.status == "" {
			assert.Equal(t, line, "", "%s: the connection is closed", test.name)
		}
		assert.NilError(t, conn.Close())
	}
	assert.Equal(t, len(world.scheduling.requests), 0)
}

// TestRefusalsAreFinalAtOnce checks what callers are told when nothing was run.
func TestRefusalsAreFinalAtOnce(t *testing.T) {
	engine := newFakeEngine(t, serveWhole)
	world := newWorld(t, Limits{}, engineBackend("a", engine.address()))
	check := func(name string, status int, code, retryAfter string) {
		t.Helper()
		got := world.ask(t, http.MethodPost, enginewire.PathChatCompletions, streamedChat)
		assert.Equal(t, got.Status, status, name)
		assert.Equal(t, got.failure(t).Code, code, name)
		assert.Equal(t, got.failure(t).RunState, identity.RunStateNotRun, name)
		assert.Equal(t, got.Header.Get("Retry-After"), retryAfter, name)
	}
	world.scheduling.refuse = &port.RefusedError{Reason: scheduler.ReasonQueueFull, RetryAfter: 2500 * time.Millisecond}
	check("queue full", 503, string(scheduler.ReasonQueueFull), "3")
	world.scheduling.refuse = &port.RefusedError{Reason: scheduler.ReasonTokenLimit, RetryAfter: time.Second}
	check("token limit", 429, string(scheduler.ReasonTokenLimit), "1")
	fresh := world.views.current
	world.views.current = fresh.WithIsolated(true)
	check("isolated", 503, codeIsolated, "1")
	world.views.current = fresh
	world.handler.Drain()
	check("draining", 503, codeDraining, "1")
	assert.Equal(t, engine.callCount(), 0)
}

// promptByLibrary reads the prompt with encoding/json alone.
func promptByLibrary(t *testing.T, body []byte, chat bool) string {
	var fields map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(body, &fields))
	if chat {
		var messages []prefix.ChatMessage
		assert.NilError(t, json.Unmarshal(fields[fieldMessages], &messages))
		return string(prefix.RenderChat(messages))
	}
	var prompt string
	if json.Unmarshal(fields[fieldPrompt], &prompt) == nil {
		return prompt
	}
	var prompts []string
	assert.NilError(t, json.Unmarshal(fields[fieldPrompt], &prompts))
	return prompts[0]
}

// FuzzParseCompletion demands that a body is either refused, or read as
// encoding/json reads it and passed on with every field that the router does not
// set as it stood.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(plainChat), true)
	f.Add([]byte(streamedChat), true)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"\n\ud83d"}]}, {"Role":"x", "content" : "\/\\\""}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":["a\u00e9\\"],"stream_options":{"include_usage":true},"tools":[{"a":"}"}]}`), false)
	f.Add([]byte(` {"\u006dodel" : "m" , "prompt":"x", "y":-1.5e3, "z":null}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		parsed, failed := parseCompletion(body, chat)
		if failed != nil {
			assert.Assert(t, failed.Status >= 400 && failed.Status < 500 && failed.Message != "")
			return
		}
		assert.Equal(t, string(parsed.Prompt), promptByLibrary(t, body, chat))
		var before, after map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal(body, &before))
		assert.NilError(t, json.Unmarshal(parsed.engineBody(newAnswerAt(3, "a\\\"")), &after))
		assert.Equal(t, string(after["stream"]), "true")
		assert.Equal(t, string(after["resume"]), `{"offset":3,"text":"a\""}`)
		for _, name := range []string{"stream", "stream_options", "resume"} {
			delete(before, name)
			delete(after, name)
		}
		assert.Equal(t, fmt.Sprint(before), fmt.Sprint(after))
	})
}
