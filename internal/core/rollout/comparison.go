package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	// maxFalsePositiveRate is the share of good versions that all tests together may find bad, however
	// often they are made, if the expected rates are exact. The expected rates are rather high, so
	// that the measured share is lower: at most 2 of 300 good versions in each kind of trial that
	// the tests of this package draw. A higher bound gains little: with 0.05 a version that fails
	// 5 in 100 answers is found after 17 bad answers in the median instead of 18.
	maxFalsePositiveRate = 0.03
	// maxExcessBad is the number of bad answers beyond the expected ones at which the target is bad
	// in any case, since a version may give 50 bad answers at most. The worst half of the back ends
	// count for less than they gave, so that the limit is reached at some 35 bad answers.
	maxExcessBad = 25
	// minSampleAnswers is the number of the target's answers after which it has no more back ends than
	// those that have answered: of three, one is without any after 20 answers in 1 of 1,000 trials.
	minSampleAnswers = 20
	// maxPromotionRatio is the likelihood ratio from which a target is not promoted, though it isn't found bad.
	maxPromotionRatio = 8
	// windowAnswers is the number of the target's last answers that are also compared by
	// themselves: at least so many, and at most twice as many. A version that fails 30 in 100
	// answers shows 12 bad ones of 40.
	windowAnswers = 40
	// maxRequiredAnswers is the number of the target's answers after which more say little: a version
	// that fails 5 in 100 has given 7 bad ones by then.
	maxRequiredAnswers = 150
	// requiredShare is the number of the target's answers for each of the stable version's that is
	// enough where a service has few requests: a quarter of what it may get at a usual exposure of
	// a tenth. More can't be waited for: after the promotion such a service sends fewer requests
	// until the deadline than the bound on exposure leaves as slack.
	requiredShare = 0.02
	// minStableAnswers (over all routes) and minStableRouteAnswers (on one route) are the numbers of the stable
	// version's answers below which none of the target are required. At these numbers the target
	// has 4 and 9 answers on average; by chance it has fewer than required in 1 of 100 and 1 of 500
	// orders.
	minStableAnswers, minStableRouteAnswers = 50, 100
	// Of fewer than smallSampleLimit of the target at most smallSampleBadShare may be bad for a promotion, the
	// worst back end's left out, which may be faulty by itself. So few can't tell a bad version
	// from faulty back ends by the tests, and the whole traffic of a service is at stake: where 2
	// of 3 answers failed, 3 and 6 of them passed in 2 of 50 runs among other faults.
	smallSampleLimit, smallSampleBadShare = 50, 0.2
	// maxExpectedRate bounds the share of bad answers that is expected, and maxUnknownRate does where the stable
	// version has given fewer than loneAnswers.
	maxExpectedRate, maxUnknownRate = 0.95, 0.25
	// The worst back end is left out where the others have given at least minOtherAnswers, or where no more than
	// maxOutlierShare of all answers are bad.
	minOtherAnswers, maxOutlierShare = 5, 0.25
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

// criterion is what answers are counted as bad for. Each has its own tests, since the rates of one criterion
// would hide the other.
type criterion struct {
	name     string
	countBad func(Counts) int
	// tolerated is the share of bad answers that the target may have beyond the stable version's.
	tolerated float64
	// excessRates are the shares of bad answers, beyond the expected one, that a bad version is
	// tested for.
	excessRates []float64
	// excessShare is the share of all answers that an excess of bad ones has to be to show anything.
	excessShare float64
}

// criteria are failed and slow answers. Bad versions fail in 5 of 100 answers or more; the lower rates
// are those of one that has turned bad after many good answers. A version that is slower is so in
// most of its answers, while of a good one's first answers some more are slow: its prompt caches
// are empty, and what is measured is coarse. And once the target gets all requests, a busy moment
// makes more of its answers slow than the stable version's had been before.
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

// smallSample tells whether there are so smallSample answers that it matters for how long they were collected.
func (v Verdict) smallSample() bool { return v.Answers < minSampleAnswers }

// withinSmallSampleLimit tells whether few answers of the target hold few bad ones beside those of its worst
// back end. Of many the tests tell.
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

// comparison is one test: the target's answers by back end against a rate that is expected.
type comparison struct {
	scope     string
	criterion criterion
	expected  float64
	// backends are all those of the target, also those without answers in this scope.
	backends []tally
}

// Compare judges the target by the evidence of all daemons. It tests failed and slow answers, on
// each route and over all of them. As counts are cumulative and the tests are sequential, it can be
// called as often as there is news.
func Compare(pooled Evidence) Verdict { return evaluate(&pooled, newComparisons(&pooled, &pooled)) }

// Monitor compares as Compare does, and also looks at the last answers alone: a version that turns
// bad after many good answers shows it sooner in these. The zero value has seen nothing; it isn't
// safe for use by several goroutines.
type Monitor struct {
	// older and newer are the evidence of two earlier looks, windowAnswers or more apart.
	older, newer Evidence
}

// Compare judges the target by the evidence of all daemons, each call by what is known by then.
func (m *Monitor) Compare(pooled Evidence) Verdict {
	comparisons := newComparisons(&pooled, &pooled)
	if len(m.older.Routes) > 0 {
		recent := pooled.since(&m.older)
		comparisons = append(comparisons, newComparisons(&pooled, &recent)...)
	}
	m.remember(&pooled)
	return evaluate(&pooled, comparisons)
}

// remember keeps a copy of the evidence where enough has come since the last one.
func (m *Monitor) remember(pooled *Evidence) {
	if pooled.targetAnswers()-m.newer.targetAnswers() < windowAnswers {
		return
	}
	m.older, m.newer = m.newer, Evidence{}
	m.newer.Merge(*pooled)
}

// evaluate makes the verdict of the tests.
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

// newComparisons makes the tests of all kinds and scopes for a part of the pooled evidence.
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

// targetBackends adds up the target's answers on all routes.
func targetBackends(part *Evidence) []BackendCounts {
	var sum []BackendCounts
	for _, route := range part.Routes {
		mergeBackends(&sum, route.Target)
	}
	return sum
}

// soundRatio is the rate of bad answers of the stable version's sound back ends, as a part of the
// rate of all of them.
func soundRatio(pooled *Evidence, by criterion) float64 {
	stable := Counts{}
	for _, route := range pooled.Routes {
		stable.merge(route.Stable)
	}
	return min(soundRate(talliesOf(pooled.StableSample, by))/rateOf(tallyOf(stable, by)), 1)
}

// expectedRate is the highest share of bad answers that the stable version's make likely for a
// sound back end of the target: a quarter more than that of its own sound ones, one standard
// error, and what is tolerated. Of a version that has hardly answered nothing is known: it is taken for
// one that works.
func expectedRate(stable tally, sound, tolerated float64) float64 {
	rate := rateOf(stable)
	highest := maxExpectedRate
	if stable.answers < minSampleAnswers {
		highest = maxUnknownRate
	}
	return min((1.25*rate+standardError(rate, stable.answers))*sound+tolerated, highest)
}

// logRatio is the logarithm of the higher likelihood ratio of both tests.
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

// fewBackends tells whether so few back ends have answered that what one of them does is what the version
// does: with one or two, nothing is left without the faulty ones.
func (c comparison) fewBackends() bool { return len(c.backends) < minimumTrialBackends }

// aboveExpected tells whether there are more bad answers than expected at all.
func (c comparison) aboveExpected() bool { return total(c.backends).excess(c.expected) > 0 }

// exceedsLimit tells whether there are so many bad answers beyond the expected ones that the target
// is bad whatever the likelihoods are. Of the worst half of the back ends each counts as much as
// the worst one of the others, since faulty ones have any number.
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

// hasRequiredAnswers tells whether the target has answered enough on each route, and over all.
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

// hasSoundBackend tells whether any of the target's back ends gives more good answers than bad ones. Of
// a few answers that are all bad, the tests can't tell faulty back ends from a faulty version.
func hasSoundBackend(pooled *Evidence) bool {
	backends := targetBackends(pooled)
	return len(backends) == 0 || slices.ContainsFunc(backends, func(each BackendCounts) bool {
		return int(each.Counts.Good) > each.Counts.BadOrSlow()
	})
}

// requiredAnswers is the number of the target's answers that are enough beside a number of the
// stable version's: none where that number is below few.
func requiredAnswers(stable, few int) int {
	if stable < few {
		return 0
	}
	return min(int(math.Ceil(requiredShare*float64(stable))), maxRequiredAnswers)
}
