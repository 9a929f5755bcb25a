package process

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/lab/load"
	"github.com/lotusward/lotusward/internal/standin/app"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
)

const (
	testTenant = identity.TenantName("north-club")
	testModel  = identity.ModelName("coach")
	testBudget = 2 * time.Minute
)

func testPlan(t *testing.T) Plan {
	t.Helper()
	binaries := t.TempDir()
	assert.NilError(t, Build(binaries))
	plan := Plan{
		Directory: t.TempDir(), Binaries: binaries,
		PlatformFlags: []string{"--machine-lag", "100ms", "--weight-time", "50ms"},
		Document: &dynamic.Document{
			Services: []dynamic.Service{
				{Name: "coach-llm", Kind: identity.KindEngine, Models: []identity.ModelName{testModel}, ConcurrentLoads: 3},
				{Name: "results-app", Kind: identity.KindApp, NotRepeatable: []string{"/finish"}},
			},
			Models:  []dynamic.Model{{Name: testModel, Version: "1", ContextTokens: 32768}},
			Tenants: []dynamic.Tenant{{Name: testTenant, KeyHashes: []string{view.HashKey(load.KeyOf(testTenant))}}},
		},
	}
	for index, zone := range []string{"rosehill", "ebene", "curepipe"} {
		plan.Daemons = append(plan.Daemons, DaemonPlan{ID: fmt.Sprintf("daemon-%d", index+1), Zone: zone})
		plan.Backends = append(plan.Backends, BackendPlan{
			ID: fmt.Sprintf("engine-%d", index+1), Service: "coach-llm", Zone: zone, Models: []string{"coach@1"},
		})
	}
	plan.Backends = append(plan.Backends,
		BackendPlan{ID: "engine-4", Service: "coach-llm", Zone: "ebene", Models: []string{"coach@1"}},
		BackendPlan{ID: "app-1", Service: "results-app", Zone: "rosehill"})
	return plan
}

func dumpLogs(t *testing.T, deployment *Deployment) {
	if !t.Failed() {
		return
	}
	for _, daemon := range deployment.Daemons {
		text, _ := os.ReadFile(daemon.LogPath)
		t.Logf("%s:\n%s", daemon.Plan.ID, text)
	}
}

// The three programs as separate processes: a configuration comes in through
// lotusctl, requests are served whole through every daemon, an operator's drain
// is in force everywhere, and a daemon's planned stop cuts no running answer.
func TestSeparateProcessesServeEndToEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testBudget)
	defer cancel()
	deployment, err := Run(ctx, testPlan(t))
	assert.NilError(t, err)
	defer deployment.Kill()
	defer dumpLogs(t, deployment)
	client := load.NewClient()
	defer client.Close()

	prompt := strings.Repeat("lap 17 in Rose-Hill. ", 300)
	expected := model.AnswerOf(testModel, "1", []byte(prompt))
	for _, daemon := range deployment.Daemons {
		call := load.Call{Address: daemon.Callers, Key: load.KeyOf(testTenant), Class: identity.ClassStandard}
		answer := client.Complete(ctx, call, testModel, prompt, 10)
		assert.Assert(t, answer.Whole, "%+v", answer)
		assert.Equal(t, answer.Text, expected.Text(0, 10))
		page := client.Page(ctx, call, "results-app", "/places/17", []byte("{}"))
		assert.Equal(t, page.Text, app.Answer(http.MethodPost, "/places/17", []byte("{}")), "%+v", page)
	}

	output, err := deployment.Control(ctx, "--wait", "drain backend engine-4")
	assert.NilError(t, err, output)
	output, err = deployment.Control(ctx, "--output", "json", "show leaving backends")
	assert.NilError(t, err, output)
	assert.Assert(t, strings.Contains(output, "engine-4"), output)

	// The answer still runs when the stop begins.
	stopping := deployment.Daemons[0]
	call := load.Call{Address: stopping.Callers, Key: load.KeyOf(testTenant), Class: identity.ClassStandard}
	const longAnswer = 150
	answers := make(chan load.Answer, 1)
	go func() { answers <- client.Complete(ctx, call, testModel, prompt, longAnswer) }()
	awaitRunning(t, ctx, deployment)
	assert.NilError(t, stopping.Stop())
	answer := <-answers
	assert.Assert(t, answer.Whole, "%+v", answer)
	assert.Equal(t, answer.Text, expected.Text(0, longAnswer))
}

// awaitRunning waits until an engine runs a request, and returns the engine.
func awaitRunning(t *testing.T, ctx context.Context, deployment *Deployment) *Backend {
	t.Helper()
	for ctx.Err() == nil {
		for _, backend := range deployment.Backends {
			status, err := backend.Status()
			assert.NilError(t, err)
			if status.Load.Running > 0 {
				return backend
			}
		}
	}
	t.Fatal("no engine ran a request")
	return nil
}
