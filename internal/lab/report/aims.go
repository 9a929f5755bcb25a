package report

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// The aims of a policy against others in the same scenario.
const (
	// aimHitRate is the least hit rate as a share of the clairvoyant policy's.
	aimHitRate = 0.95
	// aimRecomputed is the most recomputed tokens as a multiple of its.
	aimRecomputed = 1.2
	// aimFirstToken is the highest first-token p99 as a multiple of its.
	aimFirstToken = 1.25
	// aimBaseline is the highest first-token p99 as a multiple of least
	// outstanding's and of rendezvous hashing's.
	aimBaseline = 0.5
	// aimPages is the highest page p99 as a multiple of that before the event.
	aimPages = 1.5
	// aimFairness is the least Jain index while one tenant floods.
	aimFairness = 0.95
)

// Aim is one aim in one scenario: a figure, its bound and whether it is met.
type Aim struct {
	Deployment string
	Scenario   string
	Name       string
	Figure     float64
	// AtMost tells whether the bound is the highest or the least figure allowed.
	AtMost bool
	Bound  float64
}

// Met tells whether the figure keeps the bound.
func (a Aim) Met() bool {
	if a.AtMost {
		return a.Figure <= a.Bound
	}
	return a.Figure >= a.Bound
}

// Reference names the policies against which aims are taken.
type Reference struct {
	Judged           string
	Clairvoyant      string
	LeastOutstanding string
	Rendezvous       string
}

// Aims judges a policy in every scenario in which it and all that it is compared
// with have run.
func Aims(summaries []Summary, reference Reference) []Aim {
	var aims []Aim
	for _, judged := range summaries {
		if judged.Policy != reference.Judged {
			continue
		}
		best, foundBest := find(summaries, judged, reference.Clairvoyant)
		least, foundLeast := find(summaries, judged, reference.LeastOutstanding)
		hashed, foundHashed := find(summaries, judged, reference.Rendezvous)
		if foundBest && foundLeast && foundHashed {
			aims = append(aims, aimsOf(judged, best, least, hashed)...)
		}
	}
	return aims
}

func find(summaries []Summary, beside Summary, policy string) (Summary, bool) {
	for _, summary := range summaries {
		if summary.Policy == policy && summary.Scenario == beside.Scenario && summary.Deployment == beside.Deployment {
			return summary, true
		}
	}
	return Summary{}, false
}

func aimsOf(judged, best, least, hashed Summary) []Aim {
	aims := []Aim{
		{Name: "hit rate / clairvoyant", Figure: ratio(judged.HitRate, best.HitRate), Bound: aimHitRate},
		{Name: "recomputed / clairvoyant", Figure: ratio(judged.RecomputedTokens, best.RecomputedTokens), AtMost: true, Bound: aimRecomputed},
		{Name: "first p99 / clairvoyant", Figure: ratio(judged.FirstTokenP99, best.FirstTokenP99), AtMost: true, Bound: aimFirstToken},
		{Name: "first p99 / least outstanding", Figure: ratio(judged.FirstTokenP99, least.FirstTokenP99), AtMost: true, Bound: aimBaseline},
		{Name: "first p99 / rendezvous", Figure: ratio(judged.FirstTokenP99, hashed.FirstTokenP99), AtMost: true, Bound: aimBaseline},
		{Name: "page p99 / idle", Figure: ratio(judged.PageP99, judged.IdlePageP99), AtMost: true, Bound: aimPages},
		{Name: "fairness of small tenants", Figure: judged.Fairness, Bound: aimFairness},
	}
	for index := range aims {
		aims[index].Deployment, aims[index].Scenario = judged.Deployment, judged.Scenario
	}
	return aims
}

// ratio divides; two zeros are equal.
func ratio(figure, by float64) float64 {
	if figure == by {
		return 1
	}
	return figure / by
}

// WriteAims writes a table of aims, each with its figure, bound and verdict.
func WriteAims(output io.Writer, aims []Aim) {
	writer := table.NewWriter()
	writer.SetOutputMirror(output)
	writer.SetStyle(table.StyleLight)
	writer.AppendHeader(table.Row{"deployment", "scenario", "aim", "figure", "bound", "met"})
	for index, aim := range aims {
		if index > 0 && (aim.Scenario != aims[index-1].Scenario || aim.Deployment != aims[index-1].Deployment) {
			writer.AppendSeparator()
		}
		sign, met := "≥", "yes"
		if aim.AtMost {
			sign = "≤"
		}
		if !aim.Met() {
			met = "NO"
		}
		bound := fmt.Sprintf("%s %.2f", sign, aim.Bound)
		writer.AppendRow(table.Row{aim.Deployment, aim.Scenario, aim.Name, fmt.Sprintf("%.3f", aim.Figure), bound, met})
	}
	writer.Render()
}
