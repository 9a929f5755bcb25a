package callerhttp

import (
	"log"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/retry"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

const pathModels = "/v1/models"

// Handler serves callers. It is safe for use by any goroutine.
type Handler struct {
	options  Options
	routes   *http.ServeMux
	metrics  *metrics
	draining atomic.Bool
	active   atomic.Int64

	budgetMutex sync.Mutex
	budget      *retry.Budget
	// background counts the cancel calls to engines that still run.
	background sync.WaitGroup
}

// New makes a handler.
func New(options Options) *Handler {
	options = options.withDefaults()
	handler := &Handler{
		options: options,
		routes:  http.NewServeMux(),
		metrics: newMetrics(options.Registerer),
		budget:  retry.NewBudget(options.Retries),
	}
	handler.route("POST "+enginewire.PathChatCompletions, workCompletion, handler.serveCompletion)
	handler.route("POST "+enginewire.PathCompletions, workCompletion, handler.serveCompletion)
	handler.route("GET "+pathModels, workModels, handler.serveModels)
	handler.route("/v1/services/{service}/{path...}", workPage, handler.servePage)
	handler.routes.HandleFunc("/", serveUnknownPath)
	for _, path := range []string{enginewire.PathChatCompletions, enginewire.PathCompletions, pathModels} {
		handler.routes.HandleFunc(path, serveWrongMethod)
	}
	return handler
}

// NewServer makes the HTTP server of a handler, with its limits.
func NewServer(handler *Handler) *http.Server {
	limits := handler.options.Limits
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ErrorLog:          log.New(serverLog{handler.options.Log}, "", 0),
	}
}

// serverLog writes what net/http logs to the structured log.
type serverLog struct{ log logrus.FieldLogger }

// Write implements io.Writer.
func (s serverLog) Write(line []byte) (int, error) {
	s.log.Warn(strings.TrimSpace(string(line)))
	return len(line), nil
}

// Drain makes the handler refuse new requests from now on. Running requests go on
// to their end; Active tells how many there are.
func (h *Handler) Drain() { h.draining.Store(true) }

// Active is the number of requests that are being served.
func (h *Handler) Active() int { return int(h.active.Load()) }

// Wait waits for the cancel calls that were sent to engines in the background.
func (h *Handler) Wait() { h.background.Wait() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	// The request is counted before the drain is looked at: so it either counts
	// as active or is refused.
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	h.routes.ServeHTTP(writer, request)
}

// exchange is one authenticated request of a caller.
type exchange struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	view    *view.View
	tenant  *dynamic.Tenant
	id      identity.RequestID
	arrived time.Time
	// bodyRead is set when the whole request body was read.
	bodyRead bool
}

// route registers a handler behind the checks that all requests share. The
// function returns nil when it has answered itself.
func (h *Handler) route(pattern, work string, serve func(*exchange) *failure) {
	h.routes.HandleFunc(pattern, func(writer http.ResponseWriter, request *http.Request) {
		exchange, failed := h.open(writer, request)
		if failed == nil {
			failed = serve(exchange)
		}
		if failed != nil {
			// The server would read an unread body to its end before it answers.
			bodyUnread := request.ContentLength != 0 && (exchange == nil || !exchange.bodyRead)
			failed.CloseConnection = failed.CloseConnection || bodyUnread
			h.metrics.refused(work, failed)
			failed.write(writer)
		}
	})
}

// open authenticates a request and refuses it if the daemon takes no new work.
func (h *Handler) open(writer http.ResponseWriter, request *http.Request) (*exchange, *failure) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, unavailable(codeBackendFailed, identity.RunStateNotRun, 0, "no randomness for a request id")
	}
	writer.Header().Set(enginewire.HeaderRequestID, id.String())
	if h.draining.Load() {
		failed := unavailable(codeDraining, identity.RunStateNotRun, 0, "this router is stopping")
		failed.CloseConnection = true
		return nil, failed
	}
	current := h.options.Views.View()
	if current == nil || current.Isolated {
		return nil, unavailable(codeIsolated, identity.RunStateNotRun, 0, "this router cannot know the newest configuration")
	}
	tenant := current.TenantByKey(bearerKey(request))
	if tenant == nil {
		return nil, invalid(codeInvalidKey, "", "the bearer key is missing or unknown").withStatus(http.StatusUnauthorized)
	}
	return &exchange{
		handler: h, writer: writer, request: request, view: current, tenant: tenant,
		id: identity.RequestID(id.String()), arrived: h.options.Clock(),
	}, nil
}

func bearerKey(request *http.Request) string {
	scheme, key, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func serveUnknownPath(writer http.ResponseWriter, request *http.Request) {
	invalid(codeNotFound, "", "there is no %s", request.URL.Path).withStatus(http.StatusNotFound).write(writer)
}

func serveWrongMethod(writer http.ResponseWriter, request *http.Request) {
	invalid(codeMethodNotAllowed, "", "%s takes no %s", request.URL.Path, request.Method).
		withStatus(http.StatusMethodNotAllowed).write(writer)
}

// countRequest counts a first attempt for the retry budget.
func (h *Handler) countRequest() {
	h.budgetMutex.Lock()
	defer h.budgetMutex.Unlock()
	h.budget.Request(h.options.Clock())
}

// tryRetry takes a retry from the budget.
func (h *Handler) tryRetry() bool {
	h.budgetMutex.Lock()
	defer h.budgetMutex.Unlock()
	return h.budget.TryRetry(h.options.Clock())
}
