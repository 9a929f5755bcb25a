package relay

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// TestRefusesImmediatelyWhenAllBackOff checks that requests are refused without an attempt while
// all backends have asked for no requests, and that the retry delays are spread out after the time
// at which the first backend accepts requests again. If a backend is available, nothing is
// refused.
func TestRefusesImmediatelyWhenAllBackOff(t *testing.T) {
	made := newFixture(routing.Route{Kind: routing.KindSafe, MaxAttempts: 2, TargetLatency: time.Second}, 3, 10)
	began := time.Now()
	made.pool.RecordNotice(began, "b0", backendpool.Notice{RetryAfter: 2 * time.Second})
	made.pool.RecordNotice(began, "b1", backendpool.Notice{RetryAfter: 8 * time.Second})
	assert.Equal(t, made.ask(nil).head.Status, http.StatusOK)
	assert.Equal(t, string(made.backends.dispatches[0].Backend), "b2")

	made.pool.RecordNotice(time.Now(), "b2", backendpool.Notice{RetryAfter: 8 * time.Second})
	least, most := time.Hour, time.Duration(0)
	for range 200 {
		refusal := made.ask(nil).refusal
		assert.Assert(t, refusal != nil && refusal.Kind == RefusalNotRun)
		least, most = min(least, refusal.RetryAfter), max(most, refusal.RetryAfter)
	}
	left := time.Until(began.Add(2 * time.Second))
	assert.Equal(t, len(made.backends.dispatches), 1)
	assert.Assert(t, least >= left, "a retry delay is %s too short", left-least)
	assert.Assert(t, most <= 3*time.Second, "a retry delay is %s", most)
	assert.Assert(t, most-least > left/4, "all retry delays lie within %s", most-least)
	assert.Equal(t, made.observer.last.Shortage.BackingOff, 3)
}

// blockingBackends answer nothing until they are released.
type blockingBackends struct {
	*scriptedBackends
	mutex    sync.Mutex
	sent     int
	released chan struct{}
}

func (b *blockingBackends) Send(ctx context.Context, dispatch *Dispatch) (*Answer, error) {
	b.mutex.Lock()
	b.sent++
	b.mutex.Unlock()
	<-b.released
	return b.scriptedBackends.Send(ctx, dispatch)
}

func (b *blockingBackends) count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.sent
}

// TestOneRequestFindsOutWhetherABackoffIsOver sends concurrent requests at the end of the only
// backend's backoff. One request must be sent as a probe; the others must wait for its answer and
// then be served.
func TestOneRequestFindsOutWhetherABackoffIsOver(t *testing.T) {
	made := newFixture(routing.Route{Kind: routing.KindSafe, MaxAttempts: 2, TargetLatency: 5 * time.Second}, 1, 10)
	backends := &blockingBackends{scriptedBackends: made.backends, released: make(chan struct{})}
	made.relay.options.Backends = backends
	made.pool.RecordNotice(time.Now(), "b0", backendpool.Notice{RetryAfter: 10 * time.Millisecond})
	time.Sleep(20 * time.Millisecond)

	const callers = 20
	statuses := make([]int, callers)
	var asking sync.WaitGroup
	for number := range callers {
		asking.Go(func() {
			if head := made.ask(nil).head; head != nil {
				statuses[number] = head.Status
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if backends.count() > 0 {
			return poll.Success()
		}
		return poll.Continue("no attempt yet")
	})
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, backends.count(), 1)
	close(backends.released)
	asking.Wait()
	for number, status := range statuses {
		assert.Equal(t, status, http.StatusOK, "caller %d", number)
	}
	assert.Equal(t, backends.count(), callers)
}

// slowConnectBackends take a moment to connect and then check whether the backend still accepts
// the request.
type slowConnectBackends struct{ *scriptedBackends }

func (b slowConnectBackends) Send(ctx context.Context, dispatch *Dispatch) (*Answer, error) {
	time.Sleep(100 * time.Millisecond)
	if err := dispatch.CheckAccepting(); err != nil {
		return nil, &SendError{Evidence: outcome.Unreached, Cause: err}
	}
	return b.scriptedBackends.Send(ctx, dispatch)
}

// TestBackendIsRecheckedAfterConnect lets two backends ask for no requests, or announce that they
// drain, while connections to them are being made. The requests must go to the remaining backend
// without using the retry budget.
func TestBackendIsRecheckedAfterConnect(t *testing.T) {
	made := newFixture(routing.Route{Kind: routing.KindUnsafe, MaxAttempts: 1}, 3, 0)
	made.relay.options.Backends = slowConnectBackends{made.backends}
	callers := make([]*recordingCaller, 12)
	var asking sync.WaitGroup
	for number := range callers {
		asking.Go(func() { callers[number] = made.ask(nil) })
	}
	time.Sleep(50 * time.Millisecond)
	made.pool.RecordNotice(time.Now(), "b0", backendpool.Notice{RetryAfter: time.Minute})
	made.pool.RecordNotice(time.Now(), "b1", backendpool.Notice{Draining: true})
	asking.Wait()
	for number, caller := range callers {
		assert.Equal(t, caller.body.String(), "whole body", "caller %d", number)
	}
	for _, sent := range made.backends.dispatches {
		assert.Equal(t, string(sent.Backend), "b2")
	}
}
