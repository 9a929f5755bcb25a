package report

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/lab/simulation"
)

// TestRefusingNeverShortensTheTail compares a run that answers late with one
// that refuses the same request at once.
func TestRefusingNeverShortensTheTail(t *testing.T) {
	chosen := scenario.Catalog()[0]
	outcome := func(answered bool, after time.Duration) simulation.Outcome {
		return simulation.Outcome{
			Tenant: chosen.Deployment.Tenants[7].Name, Label: scenario.LabelLong, ArrivedAt: chosen.EventAt,
			Deadline: time.Second, Answered: answered, FirstTokenAfter: after,
		}
	}
	summary := func(outcomes ...simulation.Outcome) Summary {
		return Summarize([]Run{{Scenario: &chosen, Policy: "p", Result: simulation.Result{Outcomes: outcomes}}})
	}
	answered := summary(outcome(true, 900*time.Millisecond))
	refused := summary(outcome(false, time.Millisecond))
	assert.Equal(t, answered.FirstTokenP99, 900.0)
	assert.Equal(t, refused.FirstTokenP99, 1000.0)
	assert.Equal(t, refused.RefusedShare, 1.0)
	assert.Equal(t, refused.LateShare, 1.0)
}

// TestFairnessIsJainsIndexOverSmallTenants: one of two small tenants served in
// full and the other not at all gives one half.
func TestFairnessIsJainsIndexOverSmallTenants(t *testing.T) {
	chosen := scenario.Catalog()[0]
	var outcomes []simulation.Outcome
	for index, answered := range []bool{true, false} {
		outcomes = append(outcomes, simulation.Outcome{
			Tenant: chosen.Deployment.Tenants[6+index].Name, Label: scenario.LabelLong,
			ArrivedAt: chosen.EventAt, Deadline: time.Second, Answered: answered,
		})
	}
	run := Run{Scenario: &chosen, Result: simulation.Result{Outcomes: outcomes}}
	assert.Equal(t, Summarize([]Run{run}).Fairness, 0.5)
}
