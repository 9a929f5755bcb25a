package weightupdate

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// TestDrainAsksForOthersRequests checks that draining refreshes the in-flight counts of other daemons: when another
// daemon's request ends, the wait ends before its timeout. Without a refresh the stale count holds it until the
// timeout.
func TestDrainAsksForOthersRequests(t *testing.T) {
	const id = identity.BackendID("b")
	key := rendezvous.Key(string(id))
	for _, example := range []struct {
		asks              bool
		shortest, longest time.Duration
	}{{true, 100 * time.Millisecond, drainTimeout / 2}, {false, drainTimeout, 2 * drainTimeout}} {
		pool := backendpool.New("a")
		pool.Update([]backendpool.Backend{{ID: id, Service: "llm"}})
		pool.UpdateOthersLoad([]backendpool.Load{{Key: key, InFlight: 1}})
		began := time.Now()
		keeper := New(Options{Pool: pool})
		if example.asks {
			keeper.options.Refresh = func(context.Context, identity.BackendID) {
				if time.Since(began) > example.shortest {
					pool.UpdateOthersLoad([]backendpool.Load{{Key: key}})
				}
			}
		}
		keeper.awaitDrained(t.Context(), id)
		took := time.Since(began)
		assert.Assert(t, took >= example.shortest && took < example.longest, "asks %v: it took %v", example.asks, took)
	}
}
