package fleetkeeper_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/enginehttp"
	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/controller"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/daemon/fleetkeeper"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/standin/engine"
)

const (
	service   = identity.ServiceName("coach-llm")
	modelName = identity.ModelName("coach")
)

// grant is a lease that the test gives and takes.
type grant struct {
	token identity.FencingToken
	held  bool
}

func (g *grant) Held() (identity.FencingToken, bool) { return g.token, g.held }

// views is the picture that the keepers see.
type views struct{ current atomic.Pointer[view.View] }

func (v *views) View() *view.View { return v.current.Load() }

// clock is moved on by the test.
type clock struct{ elapsed atomic.Int64 }

func (c *clock) now() time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(c.elapsed.Add(int64(time.Microsecond))))
}

// startEngines serves empty engines until the test ends.
func startEngines(t *testing.T, count int) []scheduler.Backend {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, count)
	backends := make([]scheduler.Backend, count)
	for index := range backends {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		backends[index] = scheduler.Backend{
			ID: identity.BackendID(fmt.Sprintf("engine-%d", index)), Kind: identity.KindEngine,
			Service: service, Address: listener.Addr().String(),
		}
		served := engine.New(engine.Options{ID: backends[index].ID, WeightsTime: time.Millisecond, Log: logging.Discard()})
		go func() { ended <- served.Serve(ctx, listener) }()
	}
	t.Cleanup(func() {
		stop()
		for range backends {
			assert.NilError(t, <-ended)
		}
	})
	return backends
}

// TestControllersOverHTTP lets one holder load a model and another change its
// version, and checks that the first is then refused.
func TestControllersOverHTTP(t *testing.T) {
	ctx := context.Background()
	backends := startEngines(t, 3)
	client := enginehttp.New(enginehttp.Options{})
	picture, clock := &views{}, &clock{}
	configure := func(version identity.WeightsVersion) {
		picture.current.Store(view.New(&dynamic.Document{
			Services: []dynamic.Service{{
				Name: service, Kind: identity.KindEngine, Models: []identity.ModelName{modelName}, ConcurrentLoads: 2,
			}},
			Models: []dynamic.Model{{Name: modelName, Version: version, ContextTokens: 4096}},
		}, backends))
	}
	newKeeper := func(lease *grant) *fleetkeeper.Keeper {
		return fleetkeeper.New(fleetkeeper.Options{
			Lease: lease, Views: picture, Backends: client, Log: logging.Discard(), Now: clock.now,
			Settings: controller.DefaultSettings(),
		})
	}
	ready := func(version identity.WeightsVersion) int {
		count := 0
		for _, backend := range backends {
			status, err := client.Status(ctx, backend.Address)
			assert.NilError(t, err)
			for _, loaded := range status.Models {
				if loaded.Ready && loaded.Version == version {
					count++
				}
			}
		}
		return count
	}
	work := func(keeper *fleetkeeper.Keeper, version identity.WeightsVersion) {
		for range 1000 {
			if ready(version) == len(backends) {
				return
			}
			keeper.Step(ctx)
			clock.elapsed.Add(int64(time.Second))
		}
		t.Fatalf("version %s is ready on %d engines", version, ready(version))
	}

	firstLease, secondLease := &grant{token: 1, held: true}, &grant{token: 2}
	first, second := newKeeper(firstLease), newKeeper(secondLease)
	configure("1")
	second.Step(ctx)
	assert.Equal(t, ready("1"), 0, "a keeper without the lease gave orders")
	work(first, "1")

	// The first holder carries on without knowing that its lease lapsed.
	secondLease.held = true
	configure("2")
	work(second, "2")
	configure("1")
	for range 100 {
		first.Step(ctx)
		clock.elapsed.Add(int64(time.Second))
	}
	assert.Equal(t, ready("2"), len(backends), "a stale holder's orders took effect")
}
