package callerhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/enginehttp"
	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

const (
	testKey   = "key-of-ebene"
	testModel = "recap"
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

// fakeScheduling gives the first back end that is not excluded.
type fakeScheduling struct {
	mutex    sync.Mutex
	backends []scheduler.Backend
	requests []scheduler.Request
	finished []scheduler.Finish
	refuse   *port.RefusedError
}

func (f *fakeScheduling) Schedule(_ context.Context, request scheduler.Request) (scheduler.Start, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requests = append(f.requests, request)
	if f.refuse != nil {
		return scheduler.Start{}, f.refuse
	}
	for _, backend := range f.backends {
		if backend.Kind == request.Kind && !slices.Contains(request.Excluded, backend.ID) {
			return scheduler.Start{RequestID: request.ID, Backend: backend}, nil
		}
	}
	return scheduler.Start{}, &port.RefusedError{Reason: scheduler.ReasonNoOtherBackend, RetryAfter: 1500 * time.Millisecond}
}

func (f *fakeScheduling) FirstToken(scheduler.FirstToken) {}

func (f *fakeScheduling) Finish(report scheduler.Finish) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.finished = append(f.finished, report)
}

// fakeClaims grants each key once and remembers how it was settled.
type fakeClaims struct {
	mutex   sync.Mutex
	verdict map[string]port.ClaimVerdict
	claimed []port.ClaimKey
	settled []identity.RunState
}

func (f *fakeClaims) Claim(_ context.Context, key port.ClaimKey) port.ClaimVerdict {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.claimed = append(f.claimed, key)
	if verdict, set := f.verdict[key.Key]; set {
		return verdict
	}
	return port.ClaimGranted
}

func (f *fakeClaims) Settle(_ port.ClaimKey, state identity.RunState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.settled = append(f.settled, state)
}

// fixedViews always gives the same view.
type fixedViews struct{ current *view.View }

func (f *fixedViews) View() *view.View { return f.current }

// world is a handler behind a real listener, with fake engines on real sockets.
type world struct {
	handler    *Handler
	server     *httptest.Server
	scheduling *fakeScheduling
	claims     *fakeClaims
	views      *fixedViews
}

func newWorld(t testing.TB, limits Limits, backends ...scheduler.Backend) *world {
	document := &dynamic.Document{
		Models:   []dynamic.Model{{Name: testModel, Version: "v1", ContextTokens: 4096}},
		Services: []dynamic.Service{{Name: "results", Kind: identity.KindApp, NotRepeatable: []string{"/finish"}}},
		Tenants:  []dynamic.Tenant{{Name: "ebene", KeyHashes: []string{view.HashKey(testKey)}}},
	}
	made := &world{
		scheduling: &fakeScheduling{backends: backends},
		claims:     &fakeClaims{verdict: map[string]port.ClaimVerdict{}},
		views:      &fixedViews{view.New(document, backends)},
	}
	engines := enginehttp.New(enginehttp.Options{})
	made.handler = New(Options{
		Views: made.views, Scheduling: made.scheduling, Claims: made.claims, Engines: engines,
		Log: logging.Discard(), Registerer: prometheus.NewRegistry(), Limits: limits,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	made.server = &httptest.Server{Listener: listener, Config: NewServer(made.handler)}
	made.server.Start()
	t.Cleanup(func() {
		made.server.Close()
		made.handler.Wait()
		engines.CloseIdle()
	})
	return made
}

func engineBackend(id identity.BackendID, address string) scheduler.Backend {
	return scheduler.Backend{ID: id, Kind: identity.KindEngine, Address: address, Incarnation: 41}
}

func appBackend(id identity.BackendID, address string) scheduler.Backend {
	return scheduler.Backend{ID: id, Kind: identity.KindApp, Address: address, Incarnation: 41}
}

// response is a response read to its end.
type response struct {
	Status int
	Header http.Header
	Body   string
	// Err is the error that ended the reading, if any.
	Err error
}

func (r response) failure(t *testing.T) failureDetail {
	t.Helper()
	var body failureBody
	assert.NilError(t, json.Unmarshal([]byte(r.Body), &body), r.Body)
	return body.Error
}

// ask sends a request with the right key and reads the response.
func (w *world) ask(t *testing.T, method, path, body string, headers ...string) response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, w.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Content-Type", "application/json")
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	answer, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return response{Status: answer.StatusCode, Header: answer.Header, Body: string(content), Err: err}
}

const (
	plainChat    = `{"model":"recap","messages":[{"role":"user","content":"how was it?"}],"temperature":0.5}`
	streamedChat = `{"model":"recap","messages":[{"role":"user","content":"how was it?"}],"stream":true}`
)

// streamedText joins the answer's text of a streamed response. Whole is set when
// the end marker came.
func streamedText(t *testing.T, body string) (text string, whole bool) {
	t.Helper()
	for _, event := range strings.Split(body, "\n\n") {
		data, found := strings.CutPrefix(event, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var decoded struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &decoded), data)
		for _, choice := range decoded.Choices {
			text += choice.Delta.Content
		}
	}
	return text, whole
}
