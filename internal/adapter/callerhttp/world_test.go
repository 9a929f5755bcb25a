package callerhttp

import (
	"context"
	"encoding/json"
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
)

const (
	testKey   = "key-of-ebene"
	testModel = "recap"
)

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
	// left holds the state versions with which back ends said that they leave.
	left sync.Map
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
		OnLeaving: func(id identity.BackendID, stateVersion uint64) { made.left.Store(id, stateVersion) },
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
