package callerhttp

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// The pauses before a back end that failed this request is tried again, when no
// other can take it. It may be restarting.
const (
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
)

// cancelTimeout limits a cancel call to an engine.
const cancelTimeout = time.Second

// The causes with which the context of a request or an attempt ends.
var (
	errDeadline = errors.New("the request's deadline has passed")
	errStalled  = errors.New("the back end gave nothing for too long")
	errFinished = errors.New("the request is finished")
)

// attempts drives one request over its attempts: it schedules each, gathers what
// is known of it, and decides whether there may be another.
type attempts struct {
	exchange   *exchange
	options    callOptions
	repeatable bool
	history    outcome.History
	excluded   []identity.BackendID
	// number is the present attempt's, from 1.
	number int
	// stopCause ends the request's context; deadline runs until the first token.
	stopCause context.CancelCauseFunc
	deadline  *time.Timer
	// pauses are made before a back end that failed is tried again.
	pauses backoff.ExponentialBackOff
}

// begin derives the request's context, which ends with the caller's connection or
// at the deadline. The caller of begin must call finish.
func (e *exchange) begin(options callOptions, repeatable bool) (*attempts, context.Context) {
	e.handler.metrics.active.Inc()
	ctx, stop := context.WithCancelCause(e.request.Context())
	wait := options.Deadline.Sub(e.handler.options.Clock())
	return &attempts{
		exchange: e, options: options, repeatable: repeatable, stopCause: stop,
		deadline: time.AfterFunc(wait, func() { stop(errDeadline) }),
		pauses: backoff.ExponentialBackOff{
			InitialInterval: firstPause, MaxInterval: longestPause,
			Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
		},
	}, ctx
}

func (a *attempts) finish() {
	a.deadline.Stop()
	a.stopCause(errFinished)
	a.exchange.handler.metrics.active.Dec()
}

// schedule gets a back end for the next attempt.
func (a *attempts) schedule(ctx context.Context, request scheduler.Request) (scheduler.Start, *failure) {
	a.number++
	request.ID = a.exchange.id
	request.Tenant = a.exchange.tenant.Name
	request.Class = a.options.Class
	request.Deadline = a.options.Deadline
	request.Attempt = a.number
	request.Excluded = slices.Clone(a.excluded)
	start, err := a.exchange.handler.options.Scheduling.Schedule(ctx, request)
	if err != nil && len(a.excluded) > 0 && a.noBackendLeft(err) {
		// No other back end can take it: one that failed before may have recovered.
		a.excluded = nil
		request.Excluded = nil
		pause.For(ctx, a.pauses.NextBackOff())
		start, err = a.exchange.handler.options.Scheduling.Schedule(ctx, request)
	}
	if err != nil {
		return start, a.scheduleFailure(ctx, err)
	}
	if a.number == 1 {
		a.exchange.handler.countRequest()
	}
	return start, nil
}

func (a *attempts) noBackendLeft(err error) bool {
	var refused *port.RefusedError
	return errors.As(err, &refused) &&
		(refused.Reason == scheduler.ReasonNoOtherBackend || refused.Reason == scheduler.ReasonNoBackend)
}

func (a *attempts) scheduleFailure(ctx context.Context, err error) *failure {
	var refused *port.RefusedError
	if !errors.As(err, &refused) {
		return a.contextFailure(ctx, err)
	}
	failed := unavailable(string(refused.Reason), a.history.RunState(), refused.RetryAfter,
		"the request was refused: "+string(refused.Reason))
	if refused.Reason == scheduler.ReasonTokenLimit || refused.Reason == scheduler.ReasonConcurrency {
		failed.Status = http.StatusTooManyRequests
		failed.Type = typeRateLimit
	}
	return failed
}

// contextFailure is the failure of a request whose context ended.
func (a *attempts) contextFailure(ctx context.Context, err error) *failure {
	if errors.Is(context.Cause(ctx), errDeadline) {
		failed := unavailable(codeDeadline, a.history.RunState(), 0, "no answer began before the request's deadline")
		failed.Status = http.StatusGatewayTimeout
		return failed
	}
	return unavailable(codeBackendFailed, a.history.RunState(), 0, err.Error())
}

// ended is what is known of an attempt that did not complete the answer.
type ended struct {
	start    scheduler.Start
	evidence outcome.Evidence
	// refusal is set when the back end refused or could not be reached.
	refusal *port.AttemptError
	cause   error
	// backendFault is set unless the caller or the deadline ended the attempt.
	backendFault bool
	// stalled is set when the back end gave nothing for too long.
	stalled bool
}

// endedBy judges the error that ended an attempt.
func endedBy(ctx, attemptCtx context.Context, start scheduler.Start, err error) ended {
	result := ended{
		start: start, evidence: outcome.Answered, cause: err,
		backendFault: ctx.Err() == nil,
		stalled:      errors.Is(context.Cause(attemptCtx), errStalled),
	}
	if errors.As(err, &result.refusal) {
		result.evidence = result.refusal.Evidence
	}
	return result
}

func (e ended) unreachable() bool {
	return e.backendFault && (e.stalled || e.refusal != nil && e.refusal.Unreachable)
}

// next records an ended attempt and tells whether there may be another: nil, or
// the request's final failure.
func (a *attempts) next(ctx context.Context, result ended) *failure {
	a.history.Record(result.evidence)
	a.exchange.logAttempt(a.number, result)
	if result.evidence > outcome.DeclaredNotRun {
		a.cancelOnEngine(result.start)
	}
	if result.refusal != nil && result.refusal.Head.Leaving {
		a.exchange.handler.options.OnLeaving(result.start.Backend.ID, result.refusal.Head.StateVersion)
	}
	if ctx.Err() != nil {
		return a.contextFailure(ctx, result.cause)
	}
	if failed := a.finalRefusal(result); failed != nil {
		return failed
	}
	if !a.mayRepeat(result) {
		return a.backendFailure(result)
	}
	a.excluded = append(a.excluded, result.start.Backend.ID)
	a.exchange.handler.metrics.retries.WithLabelValues(result.evidence.String()).Inc()
	return nil
}

// likelyFollowed tells whether another attempt will most likely follow an ended
// one, so that the request keeps its place in its tenant's concurrency. If none
// does, the scheduler frees the place after a while.
func (a *attempts) likelyFollowed(result ended) bool {
	if !result.backendFault || a.number >= a.exchange.handler.options.Limits.MaxAttempts {
		return false
	}
	return a.repeatable || result.evidence <= outcome.DeclaredNotRun
}

// finalRefusal is a refusal that every back end would repeat.
func (a *attempts) finalRefusal(result ended) *failure {
	if result.refusal == nil || result.refusal.Code != enginewire.CodeInvalidRequest {
		return nil
	}
	failed := invalid(codeInvalidValue, "", "%s", result.refusal.Message)
	failed.RunState = a.history.RunState()
	return failed
}

// mayRepeat tells whether another attempt is safe and affordable. A refusal that
// the back end declared not run cost it nothing and takes nothing of the budget.
func (a *attempts) mayRepeat(result ended) bool {
	if !a.history.MayDispatch(a.repeatable) {
		return false
	}
	if a.number >= a.exchange.handler.options.Limits.MaxAttempts {
		return false
	}
	return result.evidence == outcome.DeclaredNotRun || a.exchange.handler.tryRetry()
}

func (a *attempts) backendFailure(result ended) *failure {
	var retryAfter time.Duration
	if result.refusal != nil {
		retryAfter = result.refusal.RetryAfter
	}
	failed := unavailable(codeBackendFailed, a.history.RunState(), retryAfter, "the back ends failed the request")
	if failed.RunState != identity.RunStateNotRun {
		failed.Status = http.StatusBadGateway
	}
	return failed
}

// cancelOnEngine tells an engine in the background that an attempt was given up.
func (a *attempts) cancelOnEngine(start scheduler.Start) {
	if start.Backend.Kind != identity.KindEngine {
		return
	}
	handler := a.exchange.handler
	request := enginewire.CancelRequest{RequestID: a.exchange.id, Attempt: a.number}
	handler.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := handler.options.Engines.Cancel(ctx, start.Backend.Address, request); err != nil {
			handler.options.Log.WithError(err).Debug("An engine did not take a cancel.")
		}
	})
}

func (e *exchange) logAttempt(number int, result ended) {
	e.handler.options.Log.WithFields(map[string]any{
		"request": e.id, "attempt": number, "backend": result.start.Backend.ID, "evidence": result.evidence.String(),
	}).WithError(result.cause).Info("An attempt ended early.")
}

// target names an attempt at a back end.
func (a *attempts) target(start scheduler.Start) port.Target {
	return port.Target{
		Backend: start.Backend.ID, Address: start.Backend.Address, RequestID: a.exchange.id,
		Attempt: a.number, Incarnation: start.Backend.Incarnation, Class: a.options.Class,
	}
}

// observeHead reports what a back end said of itself at the start of its answer.
func (a *attempts) observeHead(start scheduler.Start, head port.AnswerHead) {
	options := a.exchange.handler.options
	if head.Incarnation == 0 {
		head.Incarnation = start.Backend.Incarnation
	}
	if head.Leaving {
		options.OnLeaving(start.Backend.ID, head.StateVersion)
	}
	options.Scheduling.FirstToken(scheduler.FirstToken{
		RequestID: a.exchange.id, Backend: start.Backend.ID, Incarnation: head.Incarnation,
		CachedTokens: head.CachedTokens, Load: head.Load,
	})
}
