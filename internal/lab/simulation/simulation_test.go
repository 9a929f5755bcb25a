package simulation_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/lab/baseline"
	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/lab/simulation"
)

// short is an event start of a few seconds on few engines.
func short() scenario.Scenario {
	made := scenario.Catalog()[0]
	made.Deployment.Engines = 6
	made.Duration = 4 * time.Second
	made.EventAt = time.Second
	made.BaseRate, made.PeakRate = 20, 120
	return made
}

func run(t *testing.T, chosen scenario.Scenario, factory simulation.PolicyFactory) simulation.Result {
	t.Helper()
	result, err := simulation.Run(context.Background(), &chosen, 1, factory)
	assert.NilError(t, err)
	return result
}

func leastOutstanding(info simulation.DaemonInfo) scheduler.Policy {
	return baseline.NewLeastOutstanding(info.Seed)
}

func clairvoyant(info simulation.DaemonInfo) scheduler.Policy {
	return baseline.NewClairvoyant(info.Cluster, info.Seed)
}

func realScheduler(info simulation.DaemonInfo) scheduler.Policy {
	return scheduler.New(scheduler.Options{Zone: info.Zone})
}

// TestEveryRequestIsAnsweredWithoutFaults checks that the simulation itself
// loses nothing, and that the same seed gives the same run.
func TestEveryRequestIsAnsweredWithoutFaults(t *testing.T) {
	for _, factory := range []simulation.PolicyFactory{leastOutstanding, clairvoyant, realScheduler} {
		chosen := short()
		result := run(t, chosen, factory)
		assert.Equal(t, len(result.Outcomes), len(chosen.Arrivals(1)))
		for _, outcome := range result.Outcomes {
			assert.Assert(t, outcome.Answered && outcome.Whole && outcome.Attempts == 1, "%+v", outcome)
		}
		assert.DeepEqual(t, run(t, chosen, factory), result)
	}
}

// TestCrashesAndRestartsLoseNoAnswer crashes engines around a restart of all
// daemons: each request is still answered or refused with a reason.
func TestCrashesAndRestartsLoseNoAnswer(t *testing.T) {
	for _, factory := range []simulation.PolicyFactory{leastOutstanding, clairvoyant, realScheduler} {
		chosen := short()
		chosen.Restarts = []time.Duration{1500 * time.Millisecond}
		for engine := range 3 {
			crash := scenario.Crash{Engine: engine, At: time.Duration(1400+100*engine) * time.Millisecond, DownFor: 500 * time.Millisecond}
			chosen.Crashes = append(chosen.Crashes, crash)
		}
		result := run(t, chosen, factory)
		assert.Equal(t, len(result.Outcomes), len(chosen.Arrivals(1)))
		retried := 0
		for _, outcome := range result.Outcomes {
			assert.Assert(t, outcome.Whole || outcome.Refusal != "", "%+v", outcome)
			if outcome.Attempts > 1 {
				retried++
			}
		}
		assert.Assert(t, retried > 0)
	}
}

func TestClairvoyantPolicyHitsMoreThanLeastOutstanding(t *testing.T) {
	best, plain := run(t, short(), clairvoyant), run(t, short(), leastOutstanding)
	assert.Assert(t, best.HitRate() > plain.HitRate(), "%f against %f", best.HitRate(), plain.HitRate())
	assert.Assert(t, best.RecomputedTokens < plain.RecomputedTokens)
}
