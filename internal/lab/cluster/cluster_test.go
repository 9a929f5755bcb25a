package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/prewarm"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/standin/app"
	"github.com/lotusward/lotusward/internal/standin/engine"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
	"github.com/lotusward/lotusward/internal/standin/platform"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

const (
	tenantKey   = "key-of-the-north-club"
	modelName   = identity.ModelName("coach-7b")
	startBudget = 30 * time.Second
)

// small is a deployment of the size of a test: three zones, four engines, one
// web-app runner, three daemons.
func small(t *testing.T) Options {
	t.Helper()
	logger, err := logging.New(io.Discard, logging.FormatText, "info")
	assert.NilError(t, err)
	options := Options{
		Logger:   logger,
		Platform: platform.Options{},
		Document: &dynamic.Document{
			Services: []dynamic.Service{
				{Name: "coach-llm", Kind: identity.KindEngine, Models: []identity.ModelName{modelName}, ConcurrentLoads: 3},
				{Name: "results-app", Kind: identity.KindApp, NotRepeatable: []string{"/finish"}},
			},
			Models:  []dynamic.Model{{Name: modelName, Version: "v1", ContextTokens: 65536}},
			Tenants: []dynamic.Tenant{{Name: "north-club", KeyHashes: []string{view.HashKey(tenantKey)}}},
		},
	}
	zones := []identity.Zone{"rosehill", "ebene", "curepipe"}
	for index, id := range []identity.BackendID{"engine-1", "engine-2", "engine-3", "engine-4"} {
		options.Engines = append(options.Engines, EngineOptions{
			Service: "coach-llm", Zone: zones[index%len(zones)],
			Options: engine.Options{
				ID: id, Models: []engine.ModelVersion{{Model: modelName, Version: "v1"}},
				Model: model.Options{PrefillPerToken: time.Microsecond, StepBase: time.Millisecond},
			},
		})
	}
	options.Apps = []AppOptions{{Service: "results-app", Zone: zones[0], Options: app.Options{ID: "app-1"}}}
	for index, id := range []identity.DaemonID{"daemon-1", "daemon-2", "daemon-3"} {
		options.Daemons = append(options.Daemons, DaemonOptions{ID: id, Zone: zones[index]})
	}
	return options
}

func post(t *testing.T, address, path string, body any) (*http.Response, string) {
	t.Helper()
	encoded, err := json.Marshal(body)
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	return answer, string(text)
}

type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage struct {
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// The whole path: a request goes from a caller through any daemon to an engine,
// and the whole answer comes back to the byte. The second request for the same
// long prompt finds it cached, also through another daemon.
func TestServesThroughEveryDaemon(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), startBudget)
	defer cancel()
	running, err := Start(ctx, small(t))
	assert.NilError(t, err)
	defer running.Close()

	prompt := strings.Repeat("lap 17 of the club race in Rose-Hill. ", 400)
	const tokens = 12
	var want strings.Builder
	for offset := range tokens {
		want.WriteString(model.Output(modelName, "v1", []byte(prompt), offset))
	}
	for _, daemon := range running.Daemons {
		address := daemon.Addresses().Callers
		answer, body := post(t, address, "/v1/completions", map[string]any{
			"model": modelName, "prompt": prompt, "max_tokens": tokens,
		})
		assert.Equal(t, answer.StatusCode, http.StatusOK, body)
		var parsed completion
		assert.NilError(t, json.Unmarshal([]byte(body), &parsed))
		assert.Equal(t, parsed.Choices[0].Text, want.String())

		_, again := post(t, address, "/v1/completions", map[string]any{
			"model": modelName, "prompt": prompt, "max_tokens": tokens,
		})
		assert.NilError(t, json.Unmarshal([]byte(again), &parsed))
		cached := parsed.Usage.PromptTokensDetails.CachedTokens
		assert.Assert(t, cached > prefix.Tokens(len(prompt))*9/10, "cached %d tokens", cached)

		_, streamed := post(t, address, "/v1/completions", map[string]any{
			"model": modelName, "prompt": prompt, "max_tokens": tokens, "stream": true,
		})
		assert.Assert(t, strings.HasSuffix(strings.TrimSpace(streamed), "[DONE]"), streamed)

		answer, page := post(t, address, "/v1/services/results-app/places/17", "who")
		assert.Equal(t, answer.StatusCode, http.StatusOK, page)
		assert.Equal(t, page, app.Answer(http.MethodPost, "/places/17", []byte(`"who"`)))
	}
}

// An operator need not name the claim replicas: once all daemons are there, the
// fleet controller proposes them, and requests that run at most once are served.
func TestFirstRosterComesByItself(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), startBudget)
	defer cancel()
	options := small(t)
	options.Adjust = func(settings *static.Settings) {
		settings.Tuning.LeaseDuration = 2 * time.Second
		settings.Tuning.ControllerInterval = 100 * time.Millisecond
	}
	running, err := Start(ctx, options)
	assert.NilError(t, err)
	defer running.Close()
	daemon := running.Daemons[0]
	for len(daemon.View().Document.Rosters) == 0 {
		assert.NilError(t, ctx.Err(), "no roster was proposed")
		time.Sleep(readyPollInterval)
	}
	assert.Equal(t, len(daemon.View().Document.Rosters[0].Daemons), len(running.Daemons))
	assert.NilError(t, running.AwaitReady(ctx))

	key, err := uuid.NewV7()
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon.Addresses().Callers+"/v1/services/results-app/finish/1", nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	request.Header.Set("Idempotency-Key", key.String())
	answer, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusOK)
}

// A declared prefix is computed before the event's window opens: the first caller
// finds it cached.
func TestDeclaredPrefixIsComputedBeforeTheEvent(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), startBudget)
	defer cancel()
	options := small(t)
	options.Adjust = func(settings *static.Settings) { settings.Tuning.LeaseDuration = 2 * time.Second }
	running, err := Start(ctx, options)
	assert.NilError(t, err)
	defer running.Close()

	const object = "prompts/season-log"
	prompt := strings.Repeat("lap 17 of the club race in Rose-Hill. ", 400)
	put, err := http.NewRequest(http.MethodPut, running.PlatformURL+platformwire.PathObjects+object, strings.NewReader(prompt))
	assert.NilError(t, err)
	stored, err := http.DefaultClient.Do(put)
	assert.NilError(t, err)
	stored.Body.Close()

	start := time.Now().Add(prewarm.Lead)
	change := dynamic.Change{ID: "declare", Operator: "test", At: time.Now(), Operation: dynamic.Operation{PutEvent: &dynamic.Event{
		Name: "race", Start: start, End: start.Add(time.Hour), Tenants: []identity.TenantName{"north-club"},
		Models:   []dynamic.EventModel{{Service: "coach-llm", Model: modelName, Version: "v1", Engines: 2}},
		Prefixes: []dynamic.EventPrefix{{Tenant: "north-club", Model: modelName, ObjectKey: object}},
	}}}
	_, err = running.Daemons[0].Configuration().Propose(ctx, change)
	assert.NilError(t, err)
	for !finishedARun(running) {
		assert.NilError(t, ctx.Err(), "nothing was computed before the event")
		time.Sleep(readyPollInterval)
	}

	_, body := post(t, running.Daemons[2].Addresses().Callers, "/v1/completions", map[string]any{
		"model": modelName, "prompt": prompt + "Where did I place?", "max_tokens": 1,
	})
	var parsed completion
	assert.NilError(t, json.Unmarshal([]byte(body), &parsed))
	cached := parsed.Usage.PromptTokensDetails.CachedTokens
	assert.Assert(t, cached > prefix.Tokens(len(prompt))*9/10, "cached %d tokens: %s", cached, body)
}

// finishedARun tells whether any engine has finished a request.
func finishedARun(running *Cluster) bool {
	for _, engine := range running.Engines {
		for _, run := range engine.Runs() {
			if run.Finished {
				return true
			}
		}
	}
	return false
}
