package relaycost

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/standin/backend"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// pacedEngine is an engine stand-in that costs almost nothing: it gives every
// running answer one token at each step and writes the time of sending into the
// token's text. Steps of one engine come at once for all its answers, as with
// continuous batching.
type pacedEngine struct {
	*backend.Server
	clock    clock
	interval time.Duration
	// phase is when in each interval the engine takes its step.
	phase time.Duration
	model enginewire.LoadedModel

	mutex   sync.Mutex
	step    chan struct{}
	running int
}

// clock counts nanoseconds since the run began. Engines and callers share it.
type clock struct{ began time.Time }

func (c clock) now() int64 { return int64(time.Since(c.began)) }

func newPacedEngine(id identity.BackendID, model enginewire.LoadedModel, interval time.Duration, clock clock) *pacedEngine {
	server := backend.New(backend.Options{ID: id, Kind: identity.KindEngine, StopGrace: time.Second}, enginewire.StateServing)
	return &pacedEngine{
		Server: server, clock: clock, interval: interval, model: model, step: make(chan struct{}),
	}
}

// serve answers on the listener until the context ends.
func (e *pacedEngine) serve(ctx context.Context, listener net.Listener) error {
	return e.Server.Serve(ctx, listener, enginewire.StateServing, func() backend.Life { return e })
}

// Run implements backend.Life: it takes one step after the other, in its phase.
func (e *pacedEngine) Run(ctx context.Context) {
	sinceStep := time.Duration(e.clock.now()) % e.interval
	select {
	case <-ctx.Done():
		return
	case <-time.After((e.phase - sinceStep + e.interval) % e.interval):
	}
	ticker := time.NewTicker(e.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.mutex.Lock()
		close(e.step)
		e.step = make(chan struct{})
		e.mutex.Unlock()
	}
}

// nextStep returns a channel that is closed at the next step.
func (e *pacedEngine) nextStep() <-chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.step
}

// ServeHTTP implements http.Handler.
func (e *pacedEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case enginewire.PathCompletions:
		e.serveCompletion(writer, request)
	case enginewire.PathStatus:
		e.serveStatus(writer)
	case enginewire.PathCacheEvents:
		e.serveCacheEvents(writer, request)
	default:
		http.NotFound(writer, request)
	}
}

func (e *pacedEngine) serveStatus(writer http.ResponseWriter) {
	status := e.Status()
	status.Models = []enginewire.LoadedModel{e.model}
	e.mutex.Lock()
	status.Load.Running = e.running
	e.mutex.Unlock()
	backend.WriteJSON(writer, http.StatusOK, status)
}

// serveCacheEvents answers with a stream that stays empty.
func (e *pacedEngine) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	e.SetHeaders(writer.Header())
	writer.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(writer).Flush()
	select {
	case <-request.Context().Done():
	case <-e.Stopping():
	}
}

// completionBody is what the engine needs of a request's body.
type completionBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (e *pacedEngine) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	received := e.clock.now()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	var asked completionBody
	if err := json.Unmarshal(body, &asked); err != nil {
		e.Refuse(writer, enginewire.CodeInvalidRequest, err.Error())
		return
	}
	if !e.Admit(writer, request) {
		return
	}
	e.addRunning(1)
	defer e.addRunning(-1)
	e.SetHeaders(writer.Header())
	header := writer.Header()
	header.Set(enginewire.HeaderWeights, string(e.model.Version))
	header.Set(enginewire.HeaderCachedTokens, strconv.Itoa(len(asked.Prompt)/bytesPerToken))
	header.Set("Content-Type", "text/event-stream")
	answer := pacedAnswer{engine: e, writer: writer, received: received, tokens: asked.MaxTokens}
	answer.send(request.Context())
}

func (e *pacedEngine) addRunning(change int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running += change
}

// pacedAnswer is one answer.
type pacedAnswer struct {
	engine   *pacedEngine
	writer   http.ResponseWriter
	received int64
	tokens   int
	buffer   []byte
}

// send gives one token at each step, and the end.
func (a *pacedAnswer) send(ctx context.Context) {
	controller := http.NewResponseController(a.writer)
	for offset := range a.tokens {
		select {
		case <-ctx.Done():
			return
		case <-a.engine.nextStep():
		}
		a.writeToken(offset)
		if controller.Flush() != nil {
			return
		}
	}
	_, _ = io.WriteString(a.writer, "data: [DONE]\n\n")
	_ = controller.Flush()
}

// The parts of an event around what changes. Its size is that of a usual
// completion chunk.
const (
	eventHead   = `data: {"id":"cmpl-relay-cost","object":"text_completion","created":1700000000,"model":"relay","choices":[{"index":0,"text":"`
	eventMiddle = `","logprobs":null,"finish_reason":`
	eventTail   = "}]}\n\n"
)

// writeToken writes a token whose text is the time of sending and, in the first
// one, the time at which the request had come.
func (a *pacedAnswer) writeToken(offset int) {
	buffer := append(a.buffer[:0], "id: "...)
	buffer = strconv.AppendInt(buffer, int64(offset), 10)
	buffer = append(buffer, '\n')
	buffer = append(buffer, eventHead...)
	buffer = strconv.AppendInt(buffer, a.engine.clock.now(), 10)
	if offset == 0 {
		buffer = append(buffer, stampSeparator)
		buffer = strconv.AppendInt(buffer, a.received, 10)
	}
	buffer = append(buffer, eventMiddle...)
	if offset+1 == a.tokens {
		buffer = append(buffer, `"length"`...)
	} else {
		buffer = append(buffer, "null"...)
	}
	a.buffer = append(buffer, eventTail...)
	_, _ = a.writer.Write(a.buffer)
}
