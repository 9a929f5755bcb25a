package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/registry"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

func startLoop(t *testing.T) *Loop {
	t.Helper()
	loop := New(Options{
		Policy:   scheduler.New(scheduler.Options{}),
		Registry: registry.New(registry.DefaultOptions()),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = loop.Run(ctx) // it only ends with its context
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return loop
}

func pageRequest(id identity.RequestID) scheduler.Request {
	return scheduler.Request{
		ID: id, Kind: identity.KindApp, Service: "results-app", Attempt: 1,
		Deadline: time.Now().Add(time.Minute),
	}
}

// A request that comes before a starting daemon has heard of any back end is
// held and served, not refused. One whose caller goes away meanwhile is dropped.
func TestStartingDaemonHoldsRequestsUntilBackendsAreKnown(t *testing.T) {
	loop := startLoop(t)
	gone, leave := context.WithCancel(context.Background())
	leave()
	_, err := loop.Schedule(gone, pageRequest("gone"))
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)

	// Posted as Schedule does it, so that it surely comes before the reports.
	reply := make(chan decision, 1)
	loop.post(arrival{request: pageRequest("held"), reply: reply})
	loop.ObserveMachines(platformwire.MachineList{Machines: []platformwire.Machine{{
		ID: "app-1", Kind: identity.KindApp, Service: "results-app", Address: "127.0.0.1:1",
	}}})
	loop.ObserveStatus(enginewire.Status{
		Backend: "app-1", Kind: identity.KindApp, Incarnation: 1, StateVersion: 1, State: enginewire.StateServing,
	})
	decided := <-reply
	assert.NilError(t, decided.err)
	assert.Equal(t, decided.start.Backend.ID, identity.BackendID("app-1"))
}

// Once the back ends are known, a request that none can take is refused at once.
func TestRequestWithoutBackendIsRefused(t *testing.T) {
	loop := startLoop(t)
	loop.ObserveMachines(platformwire.MachineList{Machines: []platformwire.Machine{{
		ID: "app-1", Kind: identity.KindApp, Service: "other-app",
	}}})
	loop.ObserveStatus(enginewire.Status{Backend: "app-1", Incarnation: 1, StateVersion: 1, State: enginewire.StateServing})
	_, err := loop.Schedule(context.Background(), pageRequest("nowhere"))
	var refused *port.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, scheduler.ReasonNoBackend)
}
