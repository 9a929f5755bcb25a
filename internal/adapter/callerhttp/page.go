package callerhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// routerHeaders are for the router and are not passed on to web-app runners.
var routerHeaders = []string{
	"Authorization", "Expect", headerPriorityClass, headerNotRepeatable, headerTimeout,
}

// backendHeaders are for the router and are not passed on to callers.
var backendHeaders = []string{
	enginewire.HeaderIncarnation, enginewire.HeaderQueuedTokens, enginewire.HeaderRunning,
	enginewire.HeaderWaiting, enginewire.HeaderFreeBlocks, enginewire.HeaderLeaving, enginewire.HeaderStateVersion, enginewire.HeaderAttempt,
}

// servePage serves /v1/services/{service}/{path...}.
func (h *Handler) servePage(exchange *exchange) *failure {
	service := identity.ServiceName(exchange.request.PathValue("service"))
	found := exchange.view.Service(service)
	if found == nil || found.Kind != identity.KindApp {
		return invalid(codeServiceNotFound, "", "the service %q does not exist", service).withStatus(http.StatusNotFound)
	}
	options, failed := exchange.readOptions(identity.ClassInteractive)
	if failed != nil {
		return failed
	}
	body, failed := exchange.readBody()
	if failed != nil {
		return failed
	}
	path := "/" + exchange.request.PathValue("path")
	marked := options.NotRepeatable || exchange.view.NotRepeatable(exchange.tenant.Name, service, path, exchange.arrived)
	attempts, ctx := exchange.begin(options, !marked && idempotent(exchange.request.Method))
	defer attempts.finish()
	settle := func(identity.RunState) {}
	if marked {
		if settle, failed = exchange.claim(ctx, service, options); failed != nil {
			return failed
		}
	}
	// A panic between here and the end leaves the outcome unknown.
	state := identity.RunStateUnknown
	defer func() { settle(state) }()
	page := &page{attempts: attempts, service: service, call: exchange.pageCall(path, body)}
	failed = page.run(ctx)
	state = attempts.history.RunState()
	return page.conclude(ctx, failed)
}

// idempotent tells whether a method may be repeated by itself (RFC 9110, section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	default:
		return false
	}
}

// pageCall makes the call that all attempts share.
func (e *exchange) pageCall(path string, body []byte) port.PageCall {
	header := e.request.Header.Clone()
	for _, name := range routerHeaders {
		header.Del(name)
	}
	target := *e.request.URL
	target.Path = path
	target.RawPath = ""
	return port.PageCall{Method: e.request.Method, URI: target.RequestURI(), Header: header, Body: body}
}

// page is one page on its way to the caller.
type page struct {
	*attempts
	service identity.ServiceName
	call    port.PageCall
	begun   bool
}

// run makes attempts until the page is complete or must be given up.
func (p *page) run(ctx context.Context) *failure {
	for {
		start, failed := p.schedule(ctx, scheduler.Request{Kind: identity.KindApp, Service: p.service})
		if failed != nil {
			return failed
		}
		result, complete := p.attempt(ctx, start)
		if complete {
			return nil
		}
		if failed := p.next(ctx, result); failed != nil {
			return failed
		}
		if p.begun {
			return p.backendFailure(result)
		}
	}
}

func (p *page) attempt(ctx context.Context, start scheduler.Start) (ended, bool) {
	attemptCtx, stop := context.WithCancelCause(ctx)
	defer stop(errFinished)
	err := p.fetch(attemptCtx, stop, start)
	result := endedBy(ctx, attemptCtx, start, err)
	if errors.Is(err, errCallerGone) {
		result.backendFault = false
		p.stopCause(errCallerGone)
	}
	p.exchange.handler.options.Scheduling.Finish(scheduler.Finish{
		RequestID: p.exchange.id, Backend: start.Backend.ID,
		Failed: err != nil && result.backendFault, Unreachable: err != nil && result.unreachable(),
		Retrying: err != nil && p.likelyFollowed(result),
	})
	if err == nil {
		p.history.Record(outcome.Answered)
	}
	return result, err == nil
}

// fetch gets the page from one runner and passes it on.
func (p *page) fetch(ctx context.Context, stop context.CancelCauseFunc, start scheduler.Start) error {
	limits := p.exchange.handler.options.Limits
	stall := time.AfterFunc(limits.AttemptTimeout, func() { stop(errStalled) })
	defer stall.Stop()
	call := p.call
	call.Target = p.target(start)
	answer, err := p.exchange.handler.options.Engines.Page(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	p.observeHead(start, answer.AnswerHead)
	held, whole, err := readUpTo(answer.Body, limits.PageBufferBytes)
	if err != nil {
		return brokenPage(err)
	}
	p.deadline.Stop()
	stall.Stop()
	return p.pass(answer, held, whole)
}

// readUpTo reads until the end or the limit. It tells whether it came to the end.
func readUpTo(source io.Reader, limit int) ([]byte, bool, error) {
	var held bytes.Buffer
	_, err := io.CopyN(&held, source, int64(limit))
	if errors.Is(err, io.EOF) {
		return held.Bytes(), true, nil
	}
	return held.Bytes(), false, err
}

func brokenPage(err error) error {
	return &port.AttemptError{Evidence: outcome.Answered, Unreachable: true, Cause: err}
}

// pass sends the page to the caller: what was held back, and what still comes.
func (p *page) pass(answer *port.PageAnswer, held []byte, whole bool) error {
	p.begun = true
	writer := p.exchange.writer
	header := writer.Header()
	id := header.Get(enginewire.HeaderRequestID)
	for name, values := range answer.Header {
		header[name] = values
	}
	for _, name := range backendHeaders {
		header.Del(name)
	}
	header.Set(enginewire.HeaderRequestID, id)
	writer.WriteHeader(answer.Status)
	if _, err := writer.Write(held); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return errCallerGone
	}
	if whole {
		return nil
	}
	return p.passRest(answer.Body)
}

// passRest tells a reader's failure from a writer's.
func (p *page) passRest(source io.Reader) error {
	control := http.NewResponseController(p.exchange.writer)
	buffer := make([]byte, eventBufferBytes)
	for {
		count, readErr := source.Read(buffer)
		_ = control.SetWriteDeadline(time.Now().Add(p.exchange.handler.options.Limits.WriteTimeout))
		if _, err := p.exchange.writer.Write(buffer[:count]); err != nil {
			return errCallerGone
		}
		if errors.Is(readErr, io.EOF) {
			_ = control.SetWriteDeadline(time.Time{})
			return nil
		}
		if readErr != nil {
			return brokenPage(readErr)
		}
	}
}

// conclude counts the outcome. A page that breaks off after its start ends with a
// closed connection, so that no client takes it for whole.
func (p *page) conclude(ctx context.Context, failed *failure) *failure {
	metrics := p.exchange.handler.metrics
	if failed == nil {
		metrics.requests.WithLabelValues(workPage, outcomeComplete).Inc()
		metrics.firstByte.Observe(p.exchange.handler.options.Clock().Sub(p.exchange.arrived).Seconds())
		return nil
	}
	if p.exchange.callerGone(ctx) {
		metrics.requests.WithLabelValues(workPage, outcomeCancelled).Inc()
		panic(http.ErrAbortHandler)
	}
	if p.begun {
		metrics.requests.WithLabelValues(workPage, outcomeFailed).Inc()
		metrics.failed(failed)
		panic(http.ErrAbortHandler)
	}
	return failed
}
