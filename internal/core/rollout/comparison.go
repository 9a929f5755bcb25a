package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	// falseAlarms is the share of good versions that may be found bad, in all tests of an order
	// together and however often they are made. A good version that is rolled back costs as much
	// as a bad one that stays; a lower share costs a bad version's callers more bad answers, about
	// one for each factor of ten.
	falseAlarms = 0.005
	// excessLimit is the number of bad answers beyond what is expected after which the target is
	// bad in any case. The rule bounds them by 50; ten more come while all are told.
	excessLimit = 40
	// loneExcessLimit is the same where fewer than three back ends have answered.
	loneExcessLimit = 25
	// doubt is the likelihood ratio from which a target is not promoted, though it isn't found bad.
	doubt = 20
	// enoughAnswers is the number of the target's answers after which more say little: of those of
	// a version of which 5 in 100 fail, 7 are bad.
	enoughAnswers = 150
	// enoughShare is the number of the target's answers for each of the stable version's that is
	// enough where a service has few requests: a quarter of what it may get at a usual exposure of
	// a tenth. More can't be waited for: after the promotion such a service sends fewer requests
	// until the deadline than the bound on exposure leaves as slack.
	enoughShare = 0.02
	// fewAnswers is the number of the stable version's answers below which the target owes none.
	fewAnswers = 25
)

// Verdict is what the evidence says of the target.
type Verdict struct {
	// Bad: the target is worse than the stable version.
	Bad bool
	// Enough: the target has shown enough to be promoted.
	Enough bool
	// Reason says why, for operators.
	Reason string
	// Answers and BadAnswers are the target's; those that were slow are among the bad ones.
	Answers, BadAnswers int
}

// kind is what answers are counted as bad for. Each has its own test, since the rates of one kind
// would hide the other.
type kind struct {
	name string
	of   func(Counts) int
	// tolerated is the share of bad answers that the target may have beyond the stable version's.
	tolerated float64
}

// kinds are failed and slow answers. Of a new version's first answers some more are slow: its
// prompt caches are empty, and what is measured is coarse.
var kinds = []kind{
	{name: "failed", of: func(counts Counts) int { return int(counts.Bad) }, tolerated: 0.005},
	{name: "slow", of: func(counts Counts) int { return int(counts.Slow) }, tolerated: 0.01},
}

// comparison is one test: the target's answers by back end against a rate that is expected.
type comparison struct {
	scope    string
	kind     kind
	expected float64
	backends []tally
}

// Compare judges the target by the evidence of all daemons. It tests failed and slow answers, on
// each route and over all of them. It keeps no state: as counts are cumulative and the tests are
// sequential, it can be called as often as there is news. One call takes some 10 us for 4 routes
// and 11 back ends.
func Compare(pooled Evidence) Verdict {
	verdict := Verdict{}
	for _, each := range pooled.Routes {
		for _, backend := range each.Target {
			verdict.Answers += backend.Counts.Total()
			verdict.BadAnswers += int(backend.Counts.Bad) + int(backend.Counts.Slow)
		}
	}
	comparisons := comparisonsOf(pooled)
	limit := float64(len(comparisons)) / falseAlarms
	doubted := false
	for _, each := range comparisons {
		ratio := each.logRatio(math.Log(limit))
		if ratio >= math.Log(limit) || each.excessive() {
			verdict.Bad, verdict.Reason = true, each.describe()
			return verdict
		}
		doubted = doubted || ratio >= math.Log(doubt)
	}
	verdict.Enough = !doubted && shownEnough(pooled)
	return verdict
}

// comparisonsOf makes the tests of all kinds and scopes.
func comparisonsOf(pooled Evidence) []comparison {
	var made []comparison
	for _, kind := range kinds {
		sound := soundPart(talliesOf(pooled.StableSample, kind))
		overall := comparison{scope: "all routes", kind: kind}
		expectedBad, answers := 0.0, 0
		for _, route := range pooled.Routes {
			each := comparison{scope: "route " + route.Route, kind: kind, backends: talliesOf(route.Target, kind)}
			each.expected = expectedRate(tallyOf(route.Stable, kind), sound, kind.tolerated)
			made = append(made, each)
			expectedBad += each.expected * float64(totalOf(each.backends))
			answers += totalOf(each.backends)
		}
		overall.expected = expectedBad / float64(max(answers, 1))
		overall.backends = talliesOf(overRoutes(pooled), kind)
		made = append(made, overall)
	}
	return made
}

// overRoutes adds up the target's answers on all routes.
func overRoutes(pooled Evidence) []BackendCounts {
	var sum []BackendCounts
	for _, route := range pooled.Routes {
		mergeBackends(&sum, route.Target)
	}
	return sum
}

// expectedRate is the highest share of bad answers that the stable version's make likely for a
// back end of the target that is sound: a quarter more than theirs, one standard error, and what
// is tolerated. A rate of which little is known counts as higher.
func expectedRate(stable tally, sound, tolerated float64) float64 {
	rate := (float64(stable.bad) + 0.5) / (float64(stable.answers) + 1)
	deviation := math.Sqrt(rate * (1 - rate) / float64(stable.answers+1))
	return min(1.25*rate*sound+deviation+tolerated, 0.95)
}

// logRatio is the logarithm of the test's likelihood ratio.
func (c comparison) logRatio(limit float64) float64 {
	if !c.suspicious() {
		return 0
	}
	return logLikelihoodRatio(c.backends, c.expected, faultyShare(len(c.backends), limit))
}

// suspicious tells whether there are more bad answers than expected at all.
func (c comparison) suspicious() bool {
	bad := 0
	for _, each := range c.backends {
		bad += each.bad
	}
	return float64(bad) > c.expected*float64(totalOf(c.backends))
}

// excessive tells whether there are so many bad answers beyond the expected ones that the target
// is bad whatever the likelihoods are. Of the worst half of the back ends each counts as much as
// the worst one of the others, since faulty ones have any number.
func (c comparison) excessive() bool {
	if len(c.backends) == 0 {
		return false
	}
	excesses := make([]float64, len(c.backends))
	for index, each := range c.backends {
		excesses[index] = float64(each.bad) - c.expected*float64(each.answers)
	}
	if len(excesses) < minimumTrialBackends {
		return sum(excesses) >= loneExcessLimit
	}
	slices.Sort(excesses)
	ordinary := len(excesses) / 2
	most := excesses[ordinary-1]
	for index := ordinary; index < len(excesses); index++ {
		excesses[index] = most
	}
	return sum(excesses) >= excessLimit
}

func sum(numbers []float64) float64 {
	total := 0.0
	for _, each := range numbers {
		total += each
	}
	return total
}

func (c comparison) describe() string {
	bad := 0
	for _, each := range c.backends {
		bad += each.bad
	}
	return fmt.Sprintf("%d of %d answers of the target %s on %s, %.1f%% are expected",
		bad, totalOf(c.backends), c.kind.name, c.scope, 100*c.expected)
}

// shownEnough tells whether the target has answered enough on each route, and over all.
func shownEnough(pooled Evidence) bool {
	stable, target := 0, 0
	for _, route := range pooled.Routes {
		answers := 0
		for _, backend := range route.Target {
			answers += backend.Counts.Total()
		}
		if answers < owed(route.Stable.Total()) {
			return false
		}
		stable += route.Stable.Total()
		target += answers
	}
	return target >= owed(stable)
}

// owed is the number of answers of the target that are enough beside so many of the stable
// version's.
func owed(stable int) int {
	if stable < fewAnswers {
		return 0
	}
	return min(int(math.Ceil(enoughShare*float64(stable))), enoughAnswers)
}
