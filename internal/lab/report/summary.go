// Package report turns the runs of experiments into tables, files and plots.
package report

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/lab/simulation"
)

// Summary is one policy in one scenario: medians over the seeds.
type Summary struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seeds      int    `json:"seeds"`
	Requests   int    `json:"requests"`
	// HitRate is the share of prompt tokens that came from a cache.
	HitRate float64 `json:"hit_rate"`
	// RecomputedTokens were computed before for the same salt; HeldTokens among
	// them were in another live engine's cache.
	RecomputedTokens float64 `json:"recomputed_tokens"`
	HeldTokens       float64 `json:"held_tokens"`
	// The first-token times are of long prompts from the event on, in
	// milliseconds. A request without an answer counts with the time that its
	// caller waited, or with its deadline if that is more.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
	TagP99        float64 `json:"tag_p99_ms"`
	PageP99       float64 `json:"page_p99_ms"`
	// IdlePageP99 is the page tail before the event.
	IdlePageP99 float64 `json:"idle_page_p99_ms"`
	// RefusedShare are requests without an answer, LateShare those without one
	// in time, the refused included.
	RefusedShare float64 `json:"refused_share"`
	LateShare    float64 `json:"late_share"`
	// Fairness is Jain's index over the equal small tenants' shares of long
	// requests answered in time.
	Fairness float64 `json:"fairness"`
}

// Run is one run with its place in the experiment.
type Run struct {
	Scenario *scenario.Scenario
	Policy   string
	Seed     uint64
	Result   simulation.Result
}

// Summarize makes the summary of the runs of one policy in one scenario.
func Summarize(runs []Run) Summary {
	first := runs[0].Scenario
	summaries := make([]Summary, len(runs))
	for index, run := range runs {
		summaries[index] = summarizeOne(run)
	}
	over := func(field func(Summary) float64) float64 {
		values := make([]float64, len(summaries))
		for index, summary := range summaries {
			values[index] = field(summary)
		}
		return quantile(values, 0.5)
	}
	return Summary{
		Deployment: first.Deployment.Name, Scenario: first.Name, Policy: runs[0].Policy, Seeds: len(runs),
		Requests:         int(over(func(s Summary) float64 { return float64(s.Requests) })),
		HitRate:          over(func(s Summary) float64 { return s.HitRate }),
		RecomputedTokens: over(func(s Summary) float64 { return s.RecomputedTokens }),
		HeldTokens:       over(func(s Summary) float64 { return s.HeldTokens }),
		FirstTokenP50:    over(func(s Summary) float64 { return s.FirstTokenP50 }),
		FirstTokenP95:    over(func(s Summary) float64 { return s.FirstTokenP95 }),
		FirstTokenP99:    over(func(s Summary) float64 { return s.FirstTokenP99 }),
		TagP99:           over(func(s Summary) float64 { return s.TagP99 }),
		PageP99:          over(func(s Summary) float64 { return s.PageP99 }),
		IdlePageP99:      over(func(s Summary) float64 { return s.IdlePageP99 }),
		RefusedShare:     over(func(s Summary) float64 { return s.RefusedShare }),
		LateShare:        over(func(s Summary) float64 { return s.LateShare }),
		Fairness:         over(func(s Summary) float64 { return s.Fairness }),
	}
}

func summarizeOne(run Run) Summary {
	result := run.Result
	event := run.Scenario.EventAt
	long := waits(result.Outcomes, scenario.LabelLong, event, run.Scenario.Duration)
	refused, late := 0, 0
	for _, outcome := range result.Outcomes {
		if !outcome.Answered {
			refused++
		}
		if !outcome.OnTime() {
			late++
		}
	}
	count := float64(max(1, len(result.Outcomes)))
	return Summary{
		Requests:         len(result.Outcomes),
		HitRate:          result.HitRate(),
		RecomputedTokens: float64(result.RecomputedTokens),
		HeldTokens:       float64(result.HeldTokens),
		FirstTokenP50:    quantile(long, 0.5),
		FirstTokenP95:    quantile(long, 0.95),
		FirstTokenP99:    quantile(long, 0.99),
		TagP99:           quantile(waits(result.Outcomes, scenario.LabelTag, event, run.Scenario.Duration), 0.99),
		PageP99:          quantile(waits(result.Outcomes, scenario.LabelPage, event, run.Scenario.Duration), 0.99),
		IdlePageP99:      quantile(waits(result.Outcomes, scenario.LabelPage, 0, event), 0.99),
		RefusedShare:     float64(refused) / count,
		LateShare:        float64(late) / count,
		Fairness:         fairness(run),
	}
}

// waits lists the waits for the first token, in milliseconds, of the requests of
// a label that arrived in a span.
func waits(outcomes []simulation.Outcome, label scenario.Label, from, to time.Duration) []float64 {
	var found []float64
	for _, outcome := range outcomes {
		if outcome.Label == label && outcome.ArrivedAt >= from && outcome.ArrivedAt < to {
			found = append(found, milliseconds(censored(outcome)))
		}
	}
	return found
}

// censored is the wait of a request; one without an answer counts with its
// deadline at least, so that refusing requests never shortens the tail.
func censored(outcome simulation.Outcome) time.Duration {
	if outcome.Answered {
		return outcome.FirstTokenAfter
	}
	return max(outcome.Deadline, outcome.FirstTokenAfter)
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// quantile returns a quantile of unsorted values, and zero without values.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return stat.Quantile(share, stat.Empirical, sorted, nil)
}

// fairness is Jain's index over the smallest tenants: the square of the sum over
// the count times the sum of squares of their shares answered in time.
func fairness(run Run) float64 {
	asked := make(map[identity.TenantName]float64)
	served := make(map[identity.TenantName]float64)
	for _, outcome := range run.Result.Outcomes {
		if outcome.Label != scenario.LabelLong || outcome.ArrivedAt < run.Scenario.EventAt {
			continue
		}
		asked[outcome.Tenant]++
		if outcome.OnTime() {
			served[outcome.Tenant]++
		}
	}
	var sum, squares, count float64
	for _, tenant := range smallest(run.Scenario.Deployment.Tenants) {
		if asked[tenant] == 0 {
			continue
		}
		share := served[tenant] / asked[tenant]
		sum += share
		squares += share * share
		count++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (count * squares)
}

func smallest(tenants []scenario.Tenant) []identity.TenantName {
	least := tenants[0].Share
	for _, tenant := range tenants {
		least = min(least, tenant.Share)
	}
	var names []identity.TenantName
	for _, tenant := range tenants {
		if tenant.Share == least {
			names = append(names, tenant.Name)
		}
	}
	return names
}
