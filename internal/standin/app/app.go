// Package app is a stand-in for a web-app runner: it answers any path, and its
// answer depends only on method, path and body, so that a test can tell a right
// answer from a crossed one.
package app

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/standin/backend"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// The defaults of Options.
const (
	DefaultServiceTime = 4 * time.Millisecond
	DefaultConcurrency = 32
)

// headerIdempotencyKey is the caller's key, which the record of runs notes.
const headerIdempotencyKey = "Idempotency-Key"

// maxBodyBytes limits a request's body.
const maxBodyBytes = 16 << 20

// Options set up a Runner. Zero fields get the defaults.
type Options struct {
	ID identity.BackendID
	// ServiceTime is how long an answer takes once it runs.
	ServiceTime time.Duration
	// Concurrency is how many requests run at once; more wait.
	Concurrency int
	StopGrace   time.Duration
	Log         logrus.FieldLogger
}

// Runner is a stand-in web-app runner.
type Runner struct {
	*backend.Server
	options Options
	slots   chan struct{}
	waiting atomic.Int64
}

// New makes a runner.
func New(options Options) *Runner {
	options.ServiceTime = cmp.Or(options.ServiceTime, DefaultServiceTime)
	options.Concurrency = cmp.Or(options.Concurrency, DefaultConcurrency)
	server := backend.New(backend.Options{
		ID: options.ID, Kind: identity.KindApp, StopGrace: options.StopGrace, Log: options.Log,
	}, enginewire.StateServing)
	return &Runner{Server: server, options: options, slots: make(chan struct{}, options.Concurrency)}
}

// Serve answers on the listener until the context ends and then stops in order.
func (r *Runner) Serve(ctx context.Context, listener net.Listener) error {
	return r.Server.Serve(ctx, listener, enginewire.StateServing, func() backend.Life { return life{r} })
}

// Answer is the body that a runner gives to a request. URI is the path with the
// query.
func Answer(method, uri string, body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("%s %s %s\n", method, uri, hex.EncodeToString(sum[:]))
}

// life is the runner in one incarnation. A runner has no state to lose.
type life struct{ *Runner }

// Run implements backend.Life.
func (life) Run(context.Context) {}

// ServeHTTP implements http.Handler.
func (l life) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case enginewire.PathStatus:
		l.serveStatus(writer)
	case enginewire.PathOrders:
		l.serveOrder(writer, request)
	default:
		l.servePage(writer, request)
	}
}

func (l life) serveStatus(writer http.ResponseWriter) {
	status := l.Status()
	status.Load = enginewire.Load{Running: len(l.slots), Waiting: int(l.waiting.Load())}
	backend.WriteJSON(writer, http.StatusOK, status)
}

func (l life) serveOrder(writer http.ResponseWriter, request *http.Request) {
	order, accepted := l.ReadOrder(writer, request)
	if !accepted {
		return
	}
	switch order.Kind {
	case enginewire.OrderLeave:
		l.SetState(enginewire.StateLeaving)
	case enginewire.OrderReturn:
		l.SetState(enginewire.StateServing)
	default:
		l.Refuse(writer, enginewire.CodeInvalidRequest, "a web-app runner takes only leave and return")
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// servePage answers a page. Once it runs it runs to its end, also when the
// caller goes away, as a page with effects would.
func (l life) servePage(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		l.Refuse(writer, enginewire.CodeInvalidRequest, err.Error())
		return
	}
	if !l.Admit(writer, request) || !l.takeSlot(request.Context()) {
		return
	}
	defer func() { <-l.slots }()
	id, attempt := backend.Attempt(request)
	run := l.RecordRun(backend.Run{
		RequestID: id, Attempt: attempt, Incarnation: l.Incarnation(), Path: request.URL.RequestURI(),
		IdempotencyKey: request.Header.Get(headerIdempotencyKey),
	})
	time.Sleep(l.options.ServiceTime + backend.Milliseconds(l.Faults().TokenDelayMilliseconds))
	l.UpdateRun(run, func(run *backend.Run) { run.Finished = true })
	if _, cut := l.TakeCut(); cut {
		panic(http.ErrAbortHandler)
	}
	l.SetHeaders(writer.Header())
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(writer, Answer(request.Method, request.URL.RequestURI(), body))
}

// takeSlot waits until the request may run. It returns false when the caller
// went away first.
func (l life) takeSlot(ctx context.Context) bool {
	l.waiting.Add(1)
	defer l.waiting.Add(-1)
	select {
	case l.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
