package callerhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// answerTokens is the answer of every fake engine. It has characters that JSON escapes.
var answerTokens = []string{"Race ", "\"one\"\n", "é😀 ", "is ", "done", "."}

func wholeAnswerText() string { return strings.Join(answerTokens, "") }

// engineCall is one completion as a fake engine got it.
type engineCall struct {
	Header http.Header
	Body   struct {
		Stream      bool               `json:"stream"`
		Temperature float64            `json:"temperature"`
		Resume      *enginewire.Resume `json:"resume"`
	}
}

func (c *engineCall) offset() int {
	if c.Body.Resume == nil {
		return 0
	}
	return c.Body.Resume.Offset
}

// fakeEngine answers completions by a script, one step for each call; the last
// step serves all further calls.
type fakeEngine struct {
	server *httptest.Server
	mutex  sync.Mutex
	calls  []*engineCall
	cancel []enginewire.CancelRequest
	script []func(*engineReply)
	page   http.HandlerFunc
}

// engineReply writes the events of one answer.
type engineReply struct {
	http.ResponseWriter
	call *engineCall
	ctx  context.Context
}

func (r *engineReply) event(id, data string) {
	if id != "" {
		_, _ = fmt.Fprintf(r, "id: %s\n", id)
	}
	_, _ = fmt.Fprintf(r, "data: %s\n\n", data)
	_ = http.NewResponseController(r.ResponseWriter).Flush()
}

func (r *engineReply) token(offset int) {
	text, _ := json.Marshal(answerTokens[offset])
	r.event(fmt.Sprint(offset), fmt.Sprintf(
		`{"id":"c-%s","object":"chat.completion.chunk","created":7,"model":"recap","choices":[{"index":0,"delta":{"content":%s},"finish_reason":null}]}`,
		r.call.Header.Get(enginewire.HeaderAttempt), text))
}

func (r *engineReply) tokens(from, to int) {
	for offset := from; offset < to; offset++ {
		r.token(offset)
	}
}

func (r *engineReply) finish() {
	r.event(fmt.Sprintf("%d+0", len(answerTokens)), `{"id":"c","created":7,"model":"recap","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
	r.event("", `{"id":"c","created":7,"model":"recap","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":6,"total_tokens":9}}`)
	r.event("", "[DONE]")
}

func (r *engineReply) rest() {
	r.tokens(r.call.offset(), len(answerTokens))
	r.finish()
}

func (r *engineReply) refuse(status int, code string, state identity.RunState) {
	if state != "" {
		r.Header().Set(enginewire.HeaderRunState, string(state))
	}
	r.WriteHeader(status)
	_ = json.NewEncoder(r).Encode(enginewire.Refusal{Error: enginewire.RefusalError{Code: code, Message: "no", RunState: state}})
}

func cut(*engineReply) { panic(http.ErrAbortHandler) }

func serveWhole(reply *engineReply) { reply.rest() }

func newFakeEngine(t *testing.T, script ...func(*engineReply)) *fakeEngine {
	engine := &fakeEngine{script: script}
	engine.server = httptest.NewUnstartedServer(engine)
	engine.server.Config.ErrorLog = nil
	engine.server.Start()
	t.Cleanup(engine.server.Close)
	return engine
}

func (f *fakeEngine) address() string { return f.server.Listener.Addr().String() }

func (f *fakeEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case enginewire.PathCancel:
		var cancel enginewire.CancelRequest
		_ = json.NewDecoder(request.Body).Decode(&cancel)
		f.mutex.Lock()
		f.cancel = append(f.cancel, cancel)
		f.mutex.Unlock()
	case enginewire.PathChatCompletions, enginewire.PathCompletions:
		f.complete(writer, request)
	default:
		f.page(writer, request)
	}
}

func (f *fakeEngine) complete(writer http.ResponseWriter, request *http.Request) {
	call := &engineCall{Header: request.Header}
	_ = json.NewDecoder(request.Body).Decode(&call.Body)
	f.mutex.Lock()
	step := f.script[min(len(f.calls), len(f.script)-1)]
	f.calls = append(f.calls, call)
	f.mutex.Unlock()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set(enginewire.HeaderCachedTokens, "16")
	step(&engineReply{ResponseWriter: writer, call: call, ctx: request.Context()})
}

func (f *fakeEngine) callCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.calls)
}
