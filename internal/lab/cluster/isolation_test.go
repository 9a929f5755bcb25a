package cluster

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/config/static"
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
