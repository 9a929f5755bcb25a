// Package openai is the front end for callers of the OpenAI API: it checks a request,
// finds the parts of its prompt, hands it to the relay, and renders what the relay tells.
// Which back end gets it, whether it is sent again and how a broken stream goes on is
// decided by the relay, as for all front ends.
package openai

import (
	"errors"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/lotusward/lotusward/internal/bearer"
	"github.com/lotusward/lotusward/internal/callerio"
	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/relay"
)

// Paths of the API.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
	PathModels          = "/v1/models"
)

// headerTimeout is how long the caller waits, in milliseconds.
const headerTimeout = "X-Request-Timeout-Ms"

// Options are what a Handler works with.
type Options struct {
	Relay   *relay.Relay
	Control relay.Control
	// MaximumBody returns the largest body that is taken, in bytes.
	MaximumBody func() int64
	// Stopping tells whether callers are to use another connection next time.
	Stopping func() bool
	// Ledger accounts for what is held for callers; nil is none.
	Ledger *buffers.Tracker
}

// Handler serves callers. It is safe for use by several goroutines.
type Handler struct {
	options  Options
	routes   *http.ServeMux
	splitter *splitter
}

// New makes a Handler.
func New(options Options) *Handler {
	handler := &Handler{options: options, routes: http.NewServeMux(), splitter: newSplitter()}
	handler.routes.HandleFunc("POST "+PathChatCompletions, handler.complete)
	handler.routes.HandleFunc("POST "+PathCompletions, handler.complete)
	handler.routes.HandleFunc("GET "+PathModels, handler.listModels)
	for _, path := range []string{PathChatCompletions, PathCompletions, PathModels} {
		handler.routes.HandleFunc(path, refuseMethod)
	}
	handler.routes.HandleFunc("/", refusePath)
	return handler
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if h.options.Stopping() {
		writer.Header().Set("Connection", "close")
	}
	h.routes.ServeHTTP(writer, request)
}

func refusePath(writer http.ResponseWriter, request *http.Request) {
	invalid(codeNotFound, "", "there is no %s", request.URL.Path).withStatus(http.StatusNotFound).write(writer)
}

func refuseMethod(writer http.ResponseWriter, request *http.Request) {
	invalid(codeMethodNotAllowed, "", "%s takes no %s", request.URL.Path, request.Method).
		withStatus(http.StatusMethodNotAllowed).write(writer)
}

// complete serves completions and chat completions.
func (h *Handler) complete(writer http.ResponseWriter, incoming *http.Request) {
	arrived := clock.Now()
	id, err := uuid.NewV7()
	if err != nil {
		failureOf(relay.Refusal{Kind: relay.RefusalNotRun, Reason: "no_request_id"}).write(writer)
		return
	}
	writer.Header().Set(headerRequestID, id.String())
	patience, failed := readPatience(incoming.Header)
	if failed != nil {
		failed.write(writer)
		return
	}
	exchange := callerio.Open(h.options.Ledger, writer)
	defer exchange.Close()
	exchange.Account.SetTenant(h.options.Relay.TenantOf(bearer.Key(incoming.Header)))
	request := &relay.Request{
		ID: identity.RequestID(id.String()), Method: http.MethodPost, Host: incoming.Host,
		Target: incoming.URL.Path, Path: incoming.URL.Path,
		Header: http.Header{"Content-Type": {"application/json"}},
		Key:    bearer.Key(incoming.Header), ArrivedAt: arrived, Timeout: patience, Account: exchange.Account,
	}
	parsed, failed := h.read(exchange, writer, incoming, request)
	if failed != nil {
		failed.write(writer)
		return
	}
	request.Body = parsed.engineBody()
	request.Prompt = &relay.Prompt{
		Model: parsed.Model, Parts: h.splitter.split(string(parsed.Model), parsed.Prompt),
		OutputTokens: parsed.MaxTokens, Derived: true,
	}
	request.DeclaredTokens = tokens(len(parsed.Prompt)) + parsed.MaxTokens
	var caller answering = newStreamCaller(writer)
	if !parsed.Stream {
		caller = newWholeCaller(writer, parsed.Chat)
	}
	h.options.Relay.Serve(incoming.Context(), request, caller)
	if caller.finish() {
		panic(http.ErrAbortHandler)
	}
}

// read reads and checks the body of a request against what operators declared.
func (h *Handler) read(exchange *callerio.Exchange, writer http.ResponseWriter, incoming *http.Request, request *relay.Request) (*completionRequest, *failure) {
	mediaType, _, err := mime.ParseMediaType(incoming.Header.Get("Content-Type"))
	if err != nil || mediaType != "application/json" {
		return nil, invalid(codeContentType, "", "the content type %q is not application/json", incoming.Header.Get("Content-Type")).
			withStatus(http.StatusUnsupportedMediaType)
	}
	limit := h.options.MaximumBody()
	body, err := exchange.ReadBody(writer, incoming, limit, request.Timeout)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, invalid(codeBodyTooLarge, "", "the body is larger than %d bytes", limit).withStatus(http.StatusRequestEntityTooLarge)
	}
	var full *buffers.FullError
	if errors.As(err, &full) {
		writer.Header().Set("Connection", "close") // the body is not read
		return nil, failureOf(h.options.Relay.RefuseUnread(request))
	}
	if err != nil {
		return nil, invalid(codeInvalidJSON, "", "the body cannot be read: %v", err)
	}
	parsed, failed := parseCompletion(body, incoming.URL.Path == PathChatCompletions)
	if failed != nil {
		return nil, failed
	}
	return parsed, h.checkModel(parsed)
}

// checkModel refuses what no back end could ever run. Before the first configuration
// nothing is known of models, and the relay tells the caller to come back.
func (h *Handler) checkModel(parsed *completionRequest) *failure {
	state := h.options.Control.State()
	if state == nil {
		return nil
	}
	engine := engineOf(state.Table.Configuration(), parsed.Model)
	if engine == nil {
		return invalid(codeModelNotFound, fieldModel, "the model %q does not exist", parsed.Model).withStatus(http.StatusNotFound)
	}
	needed := tokens(len(parsed.Prompt)) + parsed.MaxTokens
	if engine.CapacityTokens > 0 && needed > engine.CapacityTokens {
		return invalid(codeContextLength, parsed.promptField(),
			"prompt and answer take %d tokens; a back end has memory for %d", needed, engine.CapacityTokens)
	}
	return nil
}

// engineOf returns an engine that has a model, or nil.
func engineOf(configuration *routing.Configuration, model identity.ModelName) *routing.Engine {
	for index := range configuration.Services {
		engine := configuration.Services[index].Engine
		if engine != nil && slices.Contains(engine.Models, model) {
			return engine
		}
	}
	return nil
}

// readPatience reads how long the caller waits; zero when it doesn't say.
func readPatience(header http.Header) (time.Duration, *failure) {
	text := header.Get(headerTimeout)
	if text == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil || milliseconds < 1 {
		return 0, invalid(codeInvalidValue, headerTimeout, "the timeout %q is not a number of milliseconds", text)
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}
