package requestlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quota"
	"github.com/lotusward/lotusward/internal/relay"
	"github.com/lotusward/lotusward/internal/sharedlimit"
)

func newTestRecorder(output *bytes.Buffer) (*Recorder, *prometheus.Registry) {
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetFormatter(&logrus.JSONFormatter{})
	registry := prometheus.NewRegistry()
	return New(logger, NewCounters(registry)), registry
}

func logLines(t *testing.T, output *bytes.Buffer) []map[string]any {
	t.Helper()
	var found []map[string]any
	for _, text := range strings.Split(strings.TrimSpace(output.String()), "\n") {
		var line map[string]any
		assert.NilError(t, json.Unmarshal([]byte(text), &line))
		found = append(found, line)
	}
	return found
}

func testCompletion() *relay.Completion {
	return &relay.Completion{
		Route: "r", Service: "s", ConfigurationVersion: 7, ConfirmationAge: 90 * time.Millisecond, Tenant: "t",
		Attempt: relay.Attempt{Number: 2, Backend: "b", Version: 3, Reason: "sent", Elapsed: time.Second},
		Elapsed: 2 * time.Second, Resumed: 1, Fingerprint: 0xbeef,
	}
}

// TestRefusalLogFields checks the log fields of a refusal.
func TestRefusalLogFields(t *testing.T) {
	var output bytes.Buffer
	recorder, _ := newTestRecorder(&output)
	request := &relay.Request{ID: "q", Prompt: &relay.Prompt{Parts: []relay.Part{{ID: "a", Tokens: 60}, {ID: "b", Tokens: 40}}}}
	recorder.Refused(request, testCompletion(), relay.Refusal{Kind: relay.RefusalUnknown, Reason: "sent"})
	line := logLines(t, &output)[0]
	want := map[string]any{
		"request": "q", "outcome": "unknown", "reason": "sent", "route": "r", "service": "s", "tenant": "t",
		"configuration": 7.0, "configuration_age_ms": 90.0, "attempt": 2.0, "backend": "b", "weights": 3.0,
		"attempt_reason": "sent", "attempt_ms": 1000.0, "elapsed_ms": 2000.0, "resumed": 1.0,
		"prompt_tokens": 100.0, "shared_part": "a", "fingerprint": "beef",
	}
	for name, value := range want {
		assert.Equal(t, line[name], value, name)
	}
}

// TestServedRequestsAreSampled checks that only some of many served requests are logged but all
// are counted, and that failures are still logged beyond the rate of served requests.
func TestServedRequestsAreSampled(t *testing.T) {
	var output bytes.Buffer
	recorder, registry := newTestRecorder(&output)
	const requests = 500
	for range requests {
		recorder.Served(&relay.Request{ID: "q"}, &relay.Completion{})
	}
	recorder.Refused(&relay.Request{ID: "failed"}, nil, relay.Refusal{Kind: relay.RefusalNotRun, Reason: "no_backend"})
	recorder.Ejected(identity.BackendID("b"), backendpool.ResultFailed)
	found := logLines(t, &output)
	assert.Assert(t, len(found) <= 3*servedRate+2, "%d lines", len(found))
	assert.Equal(t, found[len(found)-2]["request"], "failed")
	families, err := registry.Gather()
	assert.NilError(t, err)
	counted, unlogged := 0.0, 0.0
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			switch family.GetName() {
			case "lotusward_requests_total":
				counted += metric.GetCounter().GetValue()
			case "lotusward_decisions_unlogged_total":
				unlogged += metric.GetCounter().GetValue()
			}
		}
	}
	assert.Equal(t, counted, float64(requests+1))
	assert.Equal(t, unlogged, float64(requests+2-len(found)))
}

// TestLimitsAreLoggedAndCounted checks that the decision on a tenant's limit is logged and that
// the decider is counted.
func TestLimitsAreLoggedAndCounted(t *testing.T) {
	var output bytes.Buffer
	recorder, registry := newTestRecorder(&output)
	completion := testCompletion()
	completion.Grant = &sharedlimit.Grant{
		Decision: quota.Decision{Wait: 40 * time.Millisecond}, Grantor: "10.0.0.1:1", LocalShare: true, Cost: 900,
		Limit: quota.Limit{Version: 6, RatePerSecond: 500},
	}
	recorder.Refused(&relay.Request{ID: "q"}, completion, relay.Refusal{Kind: relay.RefusalOverLimit, Reason: "over_limit"})
	line := logLines(t, &output)[0]
	for name, value := range map[string]any{
		"outcome": "over_limit", "limit_cost": 900.0, "limit_by": "10.0.0.1:1", "limit_own_part": true,
		"limit_wait_ms": 40.0, "limit_per_second": 500.0, "limit_configuration": 6.0,
	} {
		assert.Equal(t, line[name], value, name)
	}
	assert.Equal(t, onlyCounter(t, registry, "lotusward_limit_decisions_total"), 1.0)
}

// onlyCounter returns the value of a metric family that has a single counter.
func onlyCounter(t *testing.T, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() == name {
			assert.Equal(t, len(family.GetMetric()), 1)
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	t.Fatalf("nothing was counted as %s", name)
	return 0
}

// TestLateStartsOnReplacedWeightsAreLogged checks that each request that started too late on
// replaced weights is logged with the bound and its basis, beyond the rate of served requests, and
// that all are counted.
func TestLateStartsOnReplacedWeightsAreLogged(t *testing.T) {
	var output bytes.Buffer
	recorder, registry := newTestRecorder(&output)
	const requests = 3 * servedRate
	for range requests {
		completion := testCompletion()
		completion.Attempt.Replaced = &relay.ReplacedWeights{
			Bound: relay.BeginBound{At: time.Now(), Basis: relay.BasisGuessed, Newer: 9}, Left: -time.Second, Begun: true,
		}
		recorder.Served(&relay.Request{ID: "q"}, completion)
	}
	found := logLines(t, &output)
	assert.Equal(t, len(found), requests)
	want := map[string]any{"weights": 3.0, "weights_named": 9.0, "begin_bound": "guessed", "begin_left_ms": -1000.0, "begun": true}
	for name, value := range want {
		assert.Equal(t, found[0][name], value, name)
	}
	assert.Equal(t, onlyCounter(t, registry, "lotusward_replaced_weights_total"), float64(requests))
}
