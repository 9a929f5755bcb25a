package cluster

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/objecthttp"
	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/core/revision"
	"github.com/lotusward/lotusward/internal/standin/platform"
)

// metric reads the line of a metric without labels from a daemon's metrics.
func metric(t *testing.T, daemon *Daemon, name string) string {
	t.Helper()
	answer, err := http.Get("http://" + daemon.Addresses().Health + "/metrics")
	assert.NilError(t, err)
	defer answer.Body.Close()
	scanner := bufio.NewScanner(answer.Body)
	for scanner.Scan() {
		if value, found := strings.CutPrefix(scanner.Text(), name+" "); found {
			return value
		}
	}
	t.Fatalf("there is no metric %s", name)
	return ""
}

// A daemon that reaches neither the table nor a majority says so in its metrics,
// also when its settings have it serve on.
func TestIsolatedDaemonThatServesShowsIt(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), startBudget)
	defer cancel()
	options := small(t)
	options.Adjust = func(settings *static.Settings) {
		settings.Isolation = static.IsolationServe
		settings.Tuning.IsolationTimeout = time.Second
	}
	running, err := Start(ctx, options)
	assert.NilError(t, err)
	defer running.Close()
	last := running.Daemons[2] // its seeds tell it that there are three daemons
	assert.Equal(t, metric(t, last, "lotusward_configuration_isolated"), "0")

	running.Platform.SetFaults(platform.Faults{Table: platform.ServiceFaults{Outage: platform.OutageRefuse}})
	for _, other := range running.Daemons[:2] {
		assert.NilError(t, other.Stop())
	}
	for !last.Configuration().Status().Isolated {
		assert.NilError(t, ctx.Err(), "the daemon was never isolated")
		time.Sleep(readyPollInterval)
	}
	assert.Equal(t, metric(t, last, "lotusward_configuration_isolated"), "1")
	assert.DeepEqual(t, last.NotReady(), []string(nil))
}

// mirrorsARoster tells whether the object store's copy of the configuration has a
// claim roster.
func mirrorsARoster(ctx context.Context, objects *objecthttp.Client) bool {
	body, err := objects.Get(ctx, revision.ObjectMirror)
	if err != nil {
		return false
	}
	var snapshot revision.Snapshot
	return msgpack.Unmarshal(body, &snapshot) == nil && snapshot.Head.Revision > 1 // the import has none
}

// When all daemons restart while the table is down, those that are to serve on do
// so with the mirror of the configuration, and say that they are ready. That no
// replica votes on claims then must not keep all other requests away.
func TestHerdRestartWithoutTheTableIsReadyToServe(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), startBudget)
	defer cancel()
	options := small(t)
	options.Adjust = func(settings *static.Settings) {
		settings.Isolation = static.IsolationServe
		settings.Tuning.LeaseDuration = 2 * time.Second
		settings.Tuning.ControllerInterval = 100 * time.Millisecond
	}
	running, err := Start(ctx, options)
	assert.NilError(t, err)
	defer running.Close()
	objects := objecthttp.New(running.PlatformURL, nil)
	for !mirrorsARoster(ctx, objects) {
		assert.NilError(t, ctx.Err(), "no roster was mirrored")
		time.Sleep(readyPollInterval)
	}

	running.Platform.SetFaults(platform.Faults{Table: platform.ServiceFaults{Outage: platform.OutageRefuse}})
	for _, earlier := range running.Daemons {
		assert.NilError(t, earlier.Stop())
	}
	running.Daemons = nil
	for _, again := range options.Daemons {
		_, err := running.StartDaemon(again)
		assert.NilError(t, err)
	}
	assert.NilError(t, running.AwaitReady(ctx))
	daemon := running.Daemons[0]
	assert.Assert(t, daemon.Configuration().Status().Provisional)
	answer, _ := post(t, daemon.Addresses().Callers, "/v1/completions", map[string]any{
		"model": modelName, "prompt": "the race log", "max_tokens": 4,
	})
	assert.Equal(t, answer.StatusCode, http.StatusOK)
}
