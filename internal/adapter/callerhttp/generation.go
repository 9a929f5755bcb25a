package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/stream"
	"github.com/lotusward/lotusward/internal/port"
)

// errBrokenStream says that an engine's stream cannot be trusted to be whole.
type errBrokenStream struct{ reason stream.Reason }

// Error implements error.
func (e *errBrokenStream) Error() string {
	return fmt.Sprintf("the engine's stream broke: %s", e.reason)
}

// errCallerGone says that the caller took no more of the answer.
var errCallerGone = errors.New("the caller takes no more of the answer")

// generation is one answer of an engine on its way to the caller.
type generation struct {
	*attempts
	request *completionRequest
	answer  *stream.Assembler
	sink    answerSink
	// firstTokenSeen is set when the caller's first token was sent or gathered.
	firstTokenSeen bool
	// version is the weights version that the answer began with.
	version identity.WeightsVersion
}

func newGeneration(attempts *attempts, request *completionRequest) *generation {
	made := &generation{attempts: attempts, request: request}
	made.restart()
	return made
}

// restart forgets what an assembled answer had; nothing of it went out.
func (g *generation) restart() {
	g.answer = &stream.Assembler{}
	g.version = ""
	if g.request.Stream {
		g.sink = newEventSink(g.exchange, g.request.IncludeUsage)
	} else {
		g.sink = newWholeSink(g.exchange, g.request.Chat)
	}
}

// run makes attempts until the answer is complete or must be given up.
func (g *generation) run(ctx context.Context) *failure {
	for {
		start, failed := g.schedule(ctx, g.scheduling())
		if failed != nil {
			return failed
		}
		result, complete := g.attempt(ctx, start)
		if complete {
			return nil
		}
		if failed := g.next(ctx, result); failed != nil {
			return failed
		}
		if failed := g.prepareResume(result); failed != nil {
			return failed
		}
	}
}

// prepareResume makes sure that another attempt can go on where the answer stands.
func (g *generation) prepareResume(result ended) *failure {
	if !g.answer.Resumable() {
		if g.request.Stream {
			return g.backendFailure(result)
		}
		g.restart()
	}
	if g.answer.Offset() > 0 {
		g.exchange.handler.metrics.resumes.Inc()
	}
	if g.firstTokenSeen {
		// The deadline is the first token's; the rest is wanted soon.
		g.options.Deadline = g.exchange.handler.options.Clock().Add(g.exchange.handler.options.Limits.AttemptTimeout)
	}
	return nil
}

// scheduling describes the request to the scheduler. An answer that has begun
// stays on its weights version.
func (g *generation) scheduling() scheduler.Request {
	current := g.exchange.handler.options.Views.View()
	if !g.answer.Started() {
		if model := current.Model(g.request.Model); model != nil {
			g.version = current.ServingVersion(model)
		}
	}
	outputTokens := g.request.MaxTokens
	if outputTokens == 0 {
		outputTokens = g.exchange.handler.options.Limits.DefaultOutputTokens
	}
	return scheduler.Request{
		Kind: identity.KindEngine, Model: g.request.Model, Version: g.version,
		Chain:        prefix.ChainOf(g.salt(), g.request.Prompt),
		PromptTokens: prefix.Tokens(len(g.request.Prompt)), OutputTokens: outputTokens,
	}
}

func (g *generation) salt() prefix.Salt {
	return prefix.SaltOf(g.exchange.tenant.Name, g.request.Model, g.version)
}

// attempt runs one attempt. It returns true when the answer is complete.
func (g *generation) attempt(ctx context.Context, start scheduler.Start) (ended, bool) {
	before := g.answer.Offset()
	attemptCtx, stop := context.WithCancelCause(ctx)
	defer stop(errFinished)
	err := g.relayAttempt(attemptCtx, stop, start)
	if err != nil {
		err = errors.Join(err, g.sink.settle())
	}
	result := endedBy(ctx, attemptCtx, start, err)
	if errors.Is(err, errCallerGone) {
		result.backendFault = false
		g.stopCause(errCallerGone)
	}
	tokens := g.answer.Offset() - before
	g.exchange.handler.metrics.tokens.Add(float64(tokens))
	g.exchange.handler.options.Scheduling.Finish(scheduler.Finish{
		RequestID: g.exchange.id, Backend: start.Backend.ID, OutputTokens: tokens,
		Failed: err != nil && result.backendFault, Unreachable: err != nil && result.unreachable(),
		Retrying: err != nil && g.likelyFollowed(result),
	})
	if err == nil {
		g.history.Record(result.evidence)
	}
	return result, err == nil
}

// relayAttempt opens an engine's stream and relays it. It returns nil when the
// answer is complete.
func (g *generation) relayAttempt(ctx context.Context, stop context.CancelCauseFunc, start scheduler.Start) error {
	limits := g.exchange.handler.options.Limits
	stall := time.AfterFunc(limits.AttemptTimeout, func() { stop(errStalled) })
	defer stall.Stop()
	g.importCache(ctx, start)
	g.answer.Begin(g.number)
	source, err := g.exchange.handler.options.Engines.Generate(ctx, port.Generation{
		Target: g.target(start), Path: g.exchange.request.URL.Path,
		Salt: g.salt(), Weights: g.version, Body: g.request.engineBody(g.answer),
	})
	if err != nil {
		return err
	}
	defer source.Close()
	return g.relay(source, stall, start)
}

// relay passes the frames of one attempt on.
func (g *generation) relay(source port.TokenStream, stall *time.Timer, start scheduler.Start) error {
	stallTimeout := g.exchange.handler.options.Limits.StallTimeout
	observed := false
	for {
		frame, err := source.Next()
		if err != nil {
			verdict := g.answer.End(g.number)
			return errors.Join(&errBrokenStream{verdict.Reason}, err)
		}
		if !observed {
			observed = true
			g.observeHead(start, source.Head())
		}
		verdict := g.answer.Accept(g.number, frame)
		switch verdict.Action {
		case stream.Drop:
		case stream.Break:
			return &errBrokenStream{verdict.Reason}
		case stream.Complete:
			return g.sink.complete(g.answer)
		case stream.Send:
			if err := g.send(frame, !source.Buffered()); err != nil {
				return err
			}
		}
		if !source.Buffered() {
			stall.Reset(stallTimeout)
		}
	}
}

// send passes one frame on; flush is set unless more follows at once.
func (g *generation) send(frame stream.Frame, flush bool) error {
	first := !g.firstTokenSeen && frame.Tokens > 0
	if err := g.sink.write(frame, flush || first); err != nil {
		return err
	}
	if first {
		g.firstTokenSeen = true
		g.deadline.Stop()
		now := g.exchange.handler.options.Clock()
		g.exchange.handler.metrics.firstToken.Observe(now.Sub(g.exchange.arrived).Seconds())
	}
	return nil
}

// conclude counts the request's outcome and gives the caller its failure, if any.
// It returns the failure if it is still to be written as a whole response.
func (g *generation) conclude(ctx context.Context, failed *failure) *failure {
	metrics := g.exchange.handler.metrics
	switch {
	case failed == nil:
		metrics.requests.WithLabelValues(workCompletion, outcomeComplete).Inc()
		return nil
	case g.exchange.callerGone(ctx):
		metrics.requests.WithLabelValues(workCompletion, outcomeCancelled).Inc()
		panic(http.ErrAbortHandler)
	case g.sink.started():
		metrics.requests.WithLabelValues(workCompletion, outcomeFailed).Inc()
		metrics.failed(failed)
		g.sink.fail(failed)
		return nil
	default:
		return failed
	}
}

// callerGone tells whether the caller has left or takes nothing more.
func (e *exchange) callerGone(ctx context.Context) bool {
	return e.request.Context().Err() != nil || errors.Is(context.Cause(ctx), errCallerGone)
}
