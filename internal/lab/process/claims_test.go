package process

import (
	"context"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/lab/load"
)

// keyedPage sends a request that must run at most once, with a key made now.
func keyedPage(t *testing.T, ctx context.Context, client *load.Client, daemon *Daemon) load.Answer {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	call := load.Call{
		Address: daemon.Callers, Key: load.KeyOf(testTenant),
		Class: identity.ClassInteractive, IdempotencyKey: key.String(),
	}
	return client.Page(ctx, call, "results-app", "/finish/"+key.String(), []byte("{}"))
}

// New requests that must run at most once are served after each daemon has
// restarted, and after all have restarted together.
func TestKeyedRequestsAreServedAfterRestarts(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testBudget)
	defer cancel()
	deployment, err := Run(ctx, testPlan(t))
	assert.NilError(t, err)
	defer deployment.Kill()
	defer dumpLogs(t, deployment)
	client := load.NewClient()
	defer client.Close()

	serveOnEach := func(when string) {
		for _, daemon := range deployment.Daemons {
			answer := keyedPage(t, ctx, client, daemon)
			assert.Assert(t, answer.Whole, "%s through %s: %+v", when, daemon.Plan.ID, answer)
		}
	}
	serveOnEach("at the start")
	for _, daemon := range deployment.Daemons {
		daemon.Kill()
		assert.NilError(t, deployment.StartDaemon(daemon))
		assert.NilError(t, deployment.AwaitReady(ctx))
		serveOnEach("after a restart of " + daemon.Plan.ID)
	}
	for _, daemon := range deployment.Daemons {
		daemon.Kill()
	}
	for _, daemon := range deployment.Daemons {
		assert.NilError(t, deployment.StartDaemon(daemon))
	}
	assert.NilError(t, deployment.AwaitReady(ctx))
	serveOnEach("after a restart of all")
}
