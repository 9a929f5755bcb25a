package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	// maxFalsePositiveRate bounds the share of good versions that all tests together reject, however often they
	// are repeated, provided that the expected rates are exact. The expected rates are conservative, so that the
	// measured share is lower: at most 2 of 300 good versions in each kind of trial that the tests of this
	// package simulate. A higher bound gains little: with 0.05 a version that fails 5 % of its answers is
	// detected after a median of 17 bad answers instead of 18.
	maxFalsePositiveRate = 0.03
	// maxExcessBad is the number of bad answers beyond the expected ones at which the target is rejected
	// regardless of the likelihood ratios, since a version may give at most 50 bad answers. Bad answers of the
	// worst half of the back ends are capped, so that the limit is reached at some 35 bad answers.
	maxExcessBad = 25
	// minSampleAnswers is the number of the target's answers from which on all its back ends are assumed to have
	// answered: of three, one has no answer after 20 in 1 of 1,000 trials.
	minSampleAnswers = 20
	// maxPromotionRatio is the likelihood ratio from which on a target isn't promoted, though it isn't rejected
	// either.
	maxPromotionRatio = 8
	// windowAnswers is the smallest number of the target's most recent answers that are also tested separately;
	// the window holds at most twice as many. A version that fails 30 % of its answers shows 12 bad ones of 40.
	windowAnswers = 40
	// maxRequiredAnswers is the number of the target's answers after which more add little evidence: a version
	// that fails 5 % of its answers has given 7 bad ones by then.
	maxRequiredAnswers = 150
	// requiredShare is the number of the target's answers that are required for each answer of the stable version
	// where a service has few requests. It is a quarter of what the target may get at the usual exposure of a
	// tenth. More isn't required, since after the promotion such a service sends fewer requests until the
	// deadline than the slack of the exposure bound.
	requiredShare = 0.02
	// minStableAnswers (over all routes) and minStableRouteAnswers (on one route) are the numbers of the stable
	// version's answers below which no answers of the target are required. At these numbers the target has 4 and
	// 9 answers on average; by chance it has fewer than required in 1 of 100 and 1 of 500 orders.
	minStableAnswers, minStableRouteAnswers = 50, 100
	// With fewer than smallSampleLimit answers, the target is only promoted if at most smallSampleBadShare of
	// them are bad. The worst back end is excluded, since it may be faulty itself. The tests can't tell a bad
	// version from faulty back ends by so few answers, and a promotion exposes the whole traffic of the service:
	// versions that failed 2 of 3 answers passed with 3 and 6 answers in 2 of 50 runs with other faults.
	smallSampleLimit, smallSampleBadShare = 50, 0.2
	// maxExpectedRate bounds the expected share of bad answers, and maxUnknownRate bounds it if the stable
	// version has given fewer than minSampleAnswers.
	maxExpectedRate, maxUnknownRate = 0.95, 0.25
	// The worst back end is excluded if the others have given at least minOtherAnswers, or if at most
	// maxOutlierShare of all answers are bad.
	minOtherAnswers, maxOutlierShare = 5, 0.25
)

// Verdict is the result of comparing the target with the stable version.
type Verdict struct {
	// Bad is set if the target is significantly worse than the stable version.
	Bad bool
	// Enough is set if the evidence suffices to promote the target.
	Enough bool
	// Reason explains to operators why the target is bad.
	Reason string
	// Answers and BadAnswers count the target's answers; slow ones count as bad.
	Answers, BadAnswers int
}

// criterion is a property by which answers count as bad. Each criterion is tested separately, since the rates of
// one would mask the other.
type criterion struct {
	name     string
	countBad func(Counts) int
	// tolerated is how much the target's share of bad answers may exceed the stable version's.
	tolerated float64
	// excessRates are the shares of bad answers in excess of the expected one that form the alternative
	// hypotheses.
	excessRates []float64
	// excessShare is the smallest share of all answers at which an excess of bad ones is significant.
	excessShare float64
}

// criteria are failed and slow answers. Bad versions fail 5 % of their answers or more; the lower rates detect a
// version that turned bad after many good answers. A slower version is slow in most of its answers, whereas a
// good version has somewhat more slow answers at first, because its prompt caches are empty and the measurement
// is coarse. Also, once the target gets all requests, a load peak makes more of its answers slow than the stable
// version had before.
var criteria = []criterion{
	{
		name: "failed", countBad: func(counts Counts) int { return int(counts.Bad) },
		tolerated: 0.005, excessRates: []float64{0.015, 0.04, 0.12, 0.35, 0.7}, excessShare: 0.01,
	},
	{
		name: "slow", countBad: func(counts Counts) int { return int(counts.Slow) },
		tolerated: 0.01, excessRates: []float64{0.12, 0.35, 0.7}, excessShare: 0.03,
	},
}

// smallSample reports whether there are so few answers that the length of their collection matters.
func (v Verdict) smallSample() bool { return v.Answers < minSampleAnswers }

// withinSmallSampleLimit reports whether a small sample of the target's answers holds few bad ones, its worst
// back end excluded. Larger samples always pass, since the statistical tests cover them.
func (v Verdict) withinSmallSampleLimit(pooled *Evidence) bool {
	var worst Counts
	for _, each := range targetBackends(pooled) {
		if each.Counts.BadOrSlow() > worst.BadOrSlow() {
			worst = each.Counts
		}
	}
	if v.Answers >= smallSampleLimit {
		return true
	}
	rest := v.Answers - worst.Total()
	excused := rest >= minOtherAnswers || float64(v.BadAnswers) <= maxOutlierShare*float64(v.Answers)
	return excused && float64(v.BadAnswers-worst.BadOrSlow()) <= smallSampleBadShare*float64(rest)
}

// comparison is one statistical test: the target's answers by back end against an expected rate of bad ones.
type comparison struct {
	scope     string
	criterion criterion
	expected  float64
	// backends are all back ends of the target, including those without answers in this scope.
	backends []tally
}

// Compare tests the target by the pooled evidence of all daemons: failed and slow answers, on each route and over
// all routes. As the counts are cumulative and the tests are sequential, it can be repeated whenever there is new
// evidence.
func Compare(pooled Evidence) Verdict { return evaluate(&pooled, newComparisons(&pooled, &pooled)) }

// Monitor compares as Compare does, and also tests the most recent answers separately, which detects a version
// that turns bad after many good answers sooner. The zero value is ready for use; it isn't safe for concurrent
// use.
type Monitor struct {
	// older and newer are snapshots of the evidence of two earlier calls, at least windowAnswers apart.
	older, newer Evidence
}

// Compare tests the target by the pooled evidence of all daemons so far.
func (m *Monitor) Compare(pooled Evidence) Verdict {
	comparisons := newComparisons(&pooled, &pooled)
	if len(m.older.Routes) > 0 {
		recent := pooled.since(&m.older)
		comparisons = append(comparisons, newComparisons(&pooled, &recent)...)
	}
	m.remember(&pooled)
	return evaluate(&pooled, comparisons)
}

// remember keeps a snapshot of the evidence if at least windowAnswers were added since the last one.
func (m *Monitor) remember(pooled *Evidence) {
	if pooled.targetAnswers()-m.newer.targetAnswers() < windowAnswers {
		return
	}
	m.older, m.newer = m.newer, Evidence{}
	m.newer.Merge(*pooled)
}

// evaluate derives the verdict from the tests.
func evaluate(pooled *Evidence, comparisons []comparison) Verdict {
	verdict := Verdict{Answers: pooled.targetAnswers(), BadAnswers: pooled.badAnswers()}
	limit := math.Log(float64(len(comparisons)) / maxFalsePositiveRate)
	doubted := false
	for _, each := range comparisons {
		if each.fewBackends() && verdict.Answers < minSampleAnswers {
			continue
		}
		ratio := each.logRatio()
		if ratio >= limit || each.exceedsLimit() {
			verdict.Bad, verdict.Reason = true, each.describe()
			return verdict
		}
		doubted = doubted || ratio >= math.Log(maxPromotionRatio)
	}
	verdict.Enough = !doubted && hasRequiredAnswers(pooled) && hasSoundBackend(pooled) && verdict.withinSmallSampleLimit(pooled)
	return verdict
}

// newComparisons creates the tests by all criteria and in all scopes for a part of the pooled evidence.
func newComparisons(pooled, part *Evidence) []comparison {
	var made []comparison
	backends := len(targetBackends(pooled))
	for _, by := range criteria {
		made = append(made, newComparisonsBy(part, by, soundRatio(pooled, by), backends)...)
	}
	return made
}

func newComparisonsBy(part *Evidence, by criterion, sound float64, backends int) []comparison {
	var made []comparison
	expectedBad, answers := 0.0, 0
	for _, route := range part.Routes {
		each := comparison{scope: "route " + route.Route, criterion: by, backends: paddedTallies(route.Target, by, backends)}
		each.expected = expectedRate(tallyOf(route.Stable, by), sound, by.tolerated)
		made = append(made, each)
		answered := total(each.backends).answers
		expectedBad += each.expected * float64(answered)
		answers += answered
	}
	return append(made, comparison{
		scope: "all routes", criterion: by, backends: paddedTallies(targetBackends(part), by, backends),
		expected: expectedBad / float64(max(answers, 1)),
	})
}

// targetBackends sums the answers of each of the target's back ends over all routes.
func targetBackends(part *Evidence) []BackendCounts {
	var sum []BackendCounts
	for _, route := range part.Routes {
		mergeBackends(&sum, route.Target)
	}
	return sum
}

// soundRatio is the rate of bad answers of the stable version's sound back ends, divided by the rate of all its
// back ends.
func soundRatio(pooled *Evidence, by criterion) float64 {
	stable := Counts{}
	for _, route := range pooled.Routes {
		stable.merge(route.Stable)
	}
	return min(soundRate(talliesOf(pooled.StableSample, by))/rateOf(tallyOf(stable, by)), 1)
}

// expectedRate is the highest share of bad answers that is likely for a sound back end of the target, given the
// stable version's answers: a quarter more than that of the stable version's sound back ends, plus one standard
// error and the tolerance. A stable version with hardly any answers is assumed to work.
func expectedRate(stable tally, sound, tolerated float64) float64 {
	rate := rateOf(stable)
	highest := maxExpectedRate
	if stable.answers < minSampleAnswers {
		highest = maxUnknownRate
	}
	return min((1.25*rate+standardError(rate, stable.answers))*sound+tolerated, highest)
}

// logRatio is the logarithm of the higher likelihood ratio of the two tests: with all back ends, and without the
// worst ones.
func (c comparison) logRatio() float64 {
	if !c.aboveExpected() {
		return 0
	}
	remaining := totalWithoutWorst(c.backends, c.expected)
	if c.fewBackends() {
		remaining = total(c.backends)
	}
	return max(
		logLikelihoodRatio(c.backends, c.expected, c.criterion.excessRates),
		sequentialLogRatio(remaining, c.expected, c.criterion.excessRates),
	)
}

// fewBackends reports whether the target has so few back ends that a fault of one can't be told from a fault of
// the version: of one or two, none would be left without the faulty ones.
func (c comparison) fewBackends() bool { return len(c.backends) < minimumTrialBackends }

// aboveExpected reports whether there are more bad answers than expected.
func (c comparison) aboveExpected() bool { return total(c.backends).excess(c.expected) > 0 }

// exceedsLimit reports whether there are so many bad answers beyond the expected ones that the target is bad
// regardless of the likelihood ratios. Each of the worst half of the back ends counts only as much as the worst
// one of the others, since a faulty back end may have any number of bad answers.
func (c comparison) exceedsLimit() bool {
	if len(c.backends) == 0 {
		return false
	}
	excesses := make([]float64, len(c.backends))
	for index, each := range c.backends {
		excesses[index] = each.excess(c.expected)
	}
	enough := max(maxExcessBad, c.criterion.excessShare*float64(total(c.backends).answers))
	if c.fewBackends() {
		return sum(excesses) >= enough
	}
	slices.Sort(excesses)
	ordinary := len(excesses) / 2
	most := excesses[ordinary-1]
	for index := ordinary; index < len(excesses); index++ {
		excesses[index] = most
	}
	return sum(excesses) >= enough
}

func sum(numbers []float64) float64 {
	total := 0.0
	for _, each := range numbers {
		total += each
	}
	return total
}

func (c comparison) describe() string {
	all := total(c.backends)
	return fmt.Sprintf("%d of %d answers of the target %s on %s, %.1f%% are expected",
		all.bad, all.answers, c.criterion.name, c.scope, 100*c.expected)
}

// hasRequiredAnswers reports whether the target has given the required number of answers on each route and in
// total.
func hasRequiredAnswers(pooled *Evidence) bool {
	stable, target := 0, 0
	for _, route := range pooled.Routes {
		answers := route.TargetCounts().Total()
		if answers < requiredAnswers(route.Stable.Total(), minStableRouteAnswers) {
			return false
		}
		stable += route.Stable.Total()
		target += answers
	}
	return target >= requiredAnswers(stable, minStableAnswers)
}

// hasSoundBackend reports whether any of the target's back ends gives more good answers than bad ones. If a few
// answers are all bad, the tests can't tell faulty back ends from a faulty version.
func hasSoundBackend(pooled *Evidence) bool {
	backends := targetBackends(pooled)
	return len(backends) == 0 || slices.ContainsFunc(backends, func(each BackendCounts) bool {
		return int(each.Counts.Good) > each.Counts.BadOrSlow()
	})
}

// requiredAnswers is the number of the target's answers that are required for a number of the stable version's
// answers: none if the stable version has fewer than few.
func requiredAnswers(stable, few int) int {
	if stable < few {
		return 0
	}
	return min(int(math.Ceil(requiredShare*float64(stable))), maxRequiredAnswers)
}
