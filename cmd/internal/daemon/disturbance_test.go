package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/httpexchange"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/requestlog"
	"github.com/lotusward/lotusward/platform"
	"github.com/lotusward/lotusward/platform/standin"
)

// TestSilentCallsDisturbFromTheirBegin lets calls without an answer show that the store
// was disturbed when they began, not until they were given up: what depends on the
// store being steady would wait too long.
func TestSilentCallsDisturbFromTheirBegin(t *testing.T) {
	const steadyTime, patience = time.Second, 400 * time.Millisecond
	silent := standin.NewStore()
	t.Cleanup(silent.Close)
	silent.SetTrouble(standin.TroubleSilent)
	belief := directory.New(directory.Options{
		Pool: backendpool.New("a"), Log: logging.Discard(), SteadyTime: steadyTime,
	})
	observer := &storeObserver{counters: requestlog.NewCounters(prometheus.NewRegistry()), daemon: &Daemon{directory: belief}}
	store := platform.NewStore(httpexchange.NewPool(httpexchange.Options{}), silent.Address(), observer)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		began := time.Now()
		_, err := store.Read(ctx, "lease/rollout")
		cancel()
		assert.Assert(t, err != nil)
		assert.Assert(t, belief.SteadySince().Sub(began) < steadyTime+patience/2)
	}
	assert.Assert(t, belief.SteadySince().After(time.Now()))
}
