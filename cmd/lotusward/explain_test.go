package main

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/platform/standin"
)

func containsText(text, part string) bool { return strings.Contains(text, part) }

// outcomeOf waits for the log line with which a request ended.
func outcomeOf(t *testing.T, daemon *process, request string) map[string]any {
	t.Helper()
	var found map[string]any
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, line := range daemon.lines(request) {
			if line["outcome"] != "sent_again" {
				found = line
				return poll.Success()
			}
		}
		return poll.Continue("no line tells of the end of %s", request)
	})
	return found
}

// TestLogsExplainARefusalDuringAWeightUpdate finds, from the id alone, that no back end
// held the version that had to be in use.
func TestLogsExplainARefusalDuringAWeightUpdate(t *testing.T) {
	deployed := newDeployment(t)
	engine := deployed.engine("e1", 3, time.Millisecond)
	deployed.configure(testKey)
	deployed.name(1)
	daemon := deployed.daemon("d1", true)
	engine.Script(standin.BehaveReject)
	refused := daemon.ask(call{path: "/once/x", id: "rollout", header: prompt("aa:80,bb:20")})
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	line := outcomeOf(t, daemon, "rollout")
	assert.Equal(t, line["outcome"], "not_run")
	assert.Equal(t, line["backend"], "e1")
	assert.Equal(t, line["attempt_reason"], "rejected")
	assert.Equal(t, line["weights"], 1.0)
	assert.Equal(t, line["configuration"], 3.0)
	assert.Assert(t, line["configuration_age_ms"] != nil)
}

// TestLogsExplainAResumedStream finds which back end cut the stream and where it
// went on.
func TestLogsExplainAResumedStream(t *testing.T) {
	deployed := newDeployment(t)
	first := deployed.engine("e1", 8, time.Millisecond)
	deployed.configure(testKey)
	deployed.name(1)
	daemon := deployed.daemon("d1", true)
	first.Script(standin.BehaveCut)
	deployed.engine("e2", 8, time.Millisecond)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if containsText(daemon.log(), `"e2@`) {
			return poll.Success()
		}
		return poll.Continue("the second engine is not known")
	})
	var id string
	for _, id = range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
		// Prompts differ until one has its home at the engine that cuts.
		got := daemon.ask(call{path: "/stream/x", id: id, header: prompt(id + ":80,bb:20")})
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 8))
		if lines := daemon.lines(id); len(lines) > 0 && lines[0]["outcome"] == "sent_again" {
			break
		}
	}
	lines := daemon.lines(id)
	assert.Equal(t, lines[0]["reason"], "cut_stream")
	assert.Equal(t, lines[0]["backend"], "e1")
	end := outcomeOf(t, daemon, id)
	assert.Equal(t, end["outcome"], "served")
	assert.Equal(t, end["backend"], "e2")
	assert.Equal(t, end["resumed"], 1.0)
}

// TestLogsExplainAnUnknownOutcome finds why a request that must not run twice
// ended without saying whether it ran.
func TestLogsExplainAnUnknownOutcome(t *testing.T) {
	deployed := newDeployment(t)
	runner := deployed.page("p1")
	deployed.configure(testKey)
	daemon := deployed.daemon("d1", true)
	runner.Script(standin.BehaveLoseAnswer)
	assert.Equal(t, daemon.ask(call{path: "/unsafe/x", id: "upload"}).status, http.StatusBadGateway)
	line := outcomeOf(t, daemon, "upload")
	assert.Equal(t, line["outcome"], "unknown")
	assert.Equal(t, line["attempt_reason"], "sent")
	assert.Equal(t, line["backend"], "p1")
}

// TestMetricsCount serves counters that agree with what was asked.
func TestMetricsCount(t *testing.T) {
	deployed := newDeployment(t)
	deployed.page("p1")
	deployed.configure(testKey)
	daemon := deployed.daemon("d1", true)
	for range 3 {
		assert.Equal(t, daemon.ask(call{path: "/safe/x", id: "q"}).status, http.StatusOK)
	}
	assert.Equal(t, daemon.ask(call{path: "/safe/x", id: "q", key: "wrong"}).status, http.StatusUnauthorized)
	response, err := http.Get("http://" + daemon.metrics + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	for _, want := range []string{
		`lotusward_requests_total{outcome="served",reason=""} 3`,
		`lotusward_requests_total{outcome="unknown_key",reason="unknown_key"} 1`,
		`lotusward_request_seconds_count 3`,
		`lotusward_store_calls_total{call="/-/rows-get",result="200"}`,
	} {
		assert.Assert(t, containsText(string(text), want), "missing %s", want)
	}
}
