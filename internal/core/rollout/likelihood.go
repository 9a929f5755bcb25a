package rollout

import (
	"cmp"
	"math"
	"slices"
)

// A back end may be faulty regardless of the version that it runs. Two tests of the version allow for this:
//   - A mixture model: each back end is faulty with some probability, and otherwise has the rate of its version.
//     However many bad answers one back end gives, they weigh no more than that probability allows.
//   - A test without the worst back ends: as many are excluded as are hardly ever faulty at once. With few back
//     ends that all fail often, it needs fewer answers than the mixture.

const (
	// faultyShare is the assumed share of back ends that are faulty regardless of their version: 14 % were
	// observed, which failed 40 % of their answers or were slow in nearly all.
	faultyShare = 0.14
	// faultyRate is the lowest share of bad answers of a faulty back end.
	faultyRate = 0.2
	// disturbedShare is the share of back ends with any other rate of bad answers, as after a crash that ended
	// some requests.
	disturbedShare = 0.01
	// maxUndercountProbability bounds the probability that more back ends are faulty than are excluded.
	maxUndercountProbability = 0.003
)

// tally counts answers and the bad ones among them.
type tally struct{ answers, bad int }

func tallyOf(counts Counts, by criterion) tally {
	return tally{answers: counts.Total(), bad: by.countBad(counts)}
}

func talliesOf(backends []BackendCounts, by criterion) []tally {
	tallies := make([]tally, len(backends))
	for index, each := range backends {
		tallies[index] = tallyOf(each.Counts, by)
	}
	return tallies
}

// paddedTallies pads the tallies to count with back ends that have no answers.
func paddedTallies(backends []BackendCounts, by criterion, count int) []tally {
	return append(talliesOf(backends, by), make([]tally, count-len(backends))...)
}

func total(tallies []tally) tally {
	sum := tally{}
	for _, each := range tallies {
		sum.answers += each.answers
		sum.bad += each.bad
	}
	return sum
}

// logLikelihoodRatio is the logarithm of the ratio of two likelihoods of the back ends' answers: that of a bad
// version, and that of a version with at most the expected rate. It is a sequential test (a mixture of Wald's):
// of the versions that aren't bad, at most one in r ever reaches a ratio of r, however often the test is
// repeated.
func logLikelihoodRatio(backends []tally, expected float64, excessRates []float64) float64 {
	logs := make([]float64, len(excessRates))
	for _, each := range backends {
		good := each.logLikelihoodIfGood(expected)
		for index, excess := range excessRates {
			logs[index] += each.logLikelihoodIfBad(expected+excess*(1-expected)) - good
		}
	}
	return logMeanExp(logs)
}

// logLikelihoodIfGood is the logarithm of the maximum likelihood of a back end's answers if its version has a
// rate of at most highest.
func (t tally) logLikelihoodIfGood(highest float64) float64 {
	sound := math.Log(1-faultyShare-disturbedShare) + t.logLikelihoodAtMost(highest)
	faulty := math.Log(faultyShare) + t.logLikelihoodAtLeast(faultyRate)
	disturbed := math.Log(disturbedShare) + t.maxLogLikelihood()
	return logSumExp(sound, faulty, disturbed)
}

// logLikelihoodIfBad is the logarithm of the likelihood of a back end's answers if its version has a given rate.
// The rate of faulty back ends is unknown, and is integrated out.
func (t tally) logLikelihoodIfBad(rate float64) float64 {
	return logSumExp(math.Log(1-faultyShare)+t.logLikelihoodAt(rate), math.Log(faultyShare)+t.marginalLogLikelihood())
}

// totalWithoutWorst sums the tallies without the worst back ends. So many are excluded that more are faulty at
// once with a probability of at most maxUndercountProbability. The result is empty if no back end remains.
func totalWithoutWorst(backends []tally, expected float64) tally {
	ordered := slices.SortedFunc(slices.Values(backends), func(left, right tally) int {
		return cmp.Compare(left.excess(expected), right.excess(expected))
	})
	return total(ordered[:len(ordered)-maxFaultyBackends(len(ordered))])
}

// maxFaultyBackends is the number of faulty back ends that is exceeded with a probability of at most
// maxUndercountProbability.
func maxFaultyBackends(backends int) int {
	probability := math.Pow(1-faultyShare, float64(backends))
	more := 1 - probability
	count := 0
	for more > maxUndercountProbability && count < backends {
		probability *= float64(backends-count) / float64(count+1) * faultyShare / (1 - faultyShare)
		more -= probability
		count++
	}
	return count
}

// sequentialLogRatio is the logarithm of the likelihood ratio of a sequential test that assumes no faulty back
// ends.
func sequentialLogRatio(answers tally, expected float64, excessRates []float64) float64 {
	logs := make([]float64, len(excessRates))
	good := answers.logLikelihoodAtMost(expected)
	for index, excess := range excessRates {
		logs[index] = answers.logLikelihoodAt(expected+excess*(1-expected)) - good
	}
	return logMeanExp(logs)
}

// excess is the number of bad answers beyond the expected ones. It is negative if there are fewer.
func (t tally) excess(expected float64) float64 { return float64(t.bad) - expected*float64(t.answers) }

// logLikelihoodAt is the logarithm of the likelihood at a rate.
func (t tally) logLikelihoodAt(rate float64) float64 {
	return float64(t.bad)*math.Log(rate) + float64(t.answers-t.bad)*math.Log1p(-rate)
}

// logLikelihoodAtMost is the logarithm of the maximum likelihood over the rates up to highest.
func (t tally) logLikelihoodAtMost(highest float64) float64 {
	if float64(t.bad) < highest*float64(t.answers) {
		return t.maxLogLikelihood()
	}
	return t.logLikelihoodAt(highest)
}

// maxLogLikelihood is the logarithm of the maximum likelihood over all rates.
func (t tally) maxLogLikelihood() float64 {
	if t.bad == 0 || t.bad == t.answers {
		return 0
	}
	return t.logLikelihoodAt(float64(t.bad) / float64(t.answers))
}

// marginalLogLikelihood is the logarithm of the likelihood under a uniform prior of the rate.
func (t tally) marginalLogLikelihood() float64 {
	bad, _ := math.Lgamma(float64(t.bad + 1))
	good, _ := math.Lgamma(float64(t.answers - t.bad + 1))
	all, _ := math.Lgamma(float64(t.answers + 2))
	return bad + good - all
}

// logLikelihoodAtLeast is the logarithm of the maximum likelihood over the rates from lowest up.
func (t tally) logLikelihoodAtLeast(lowest float64) float64 {
	if float64(t.bad) > lowest*float64(t.answers) {
		return t.maxLogLikelihood()
	}
	return t.logLikelihoodAt(lowest)
}

// logSumExp is the logarithm of the sum of numbers that are given by their logarithms.
func logSumExp(logs ...float64) float64 {
	largest := slices.Max(logs)
	total := 0.0
	for _, each := range logs {
		total += math.Exp(each - largest)
	}
	return largest + math.Log(total)
}

// logMeanExp is the logarithm of the mean of numbers that are given by their logarithms.
func logMeanExp(logs []float64) float64 { return logSumExp(logs...) - math.Log(float64(len(logs))) }

// soundRate estimates the rate of bad answers of the stable version's sound back ends from a sample: the rate of
// all but the worst quarter, plus one standard error. Without it, faulty back ends of the stable version would
// mask that the target's sound ones are worse.
func soundRate(sample []tally) float64 {
	ordered := slices.SortedFunc(slices.Values(sample), func(left, right tally) int {
		return cmp.Compare(rateOf(left), rateOf(right))
	})
	sound := total(ordered[:len(ordered)-len(ordered)/4])
	return rateOf(sound) + standardError(rateOf(sound), sound.answers)
}

// rateOf estimates the share of bad answers, with half a pseudo-observation of either kind: it is 0.5 without
// answers.
func rateOf(counted tally) float64 {
	return (float64(counted.bad) + 0.5) / (float64(counted.answers) + 1)
}

// standardError is the standard error of a rate that was estimated from a number of answers.
func standardError(rate float64, answers int) float64 {
	return math.Sqrt(rate * (1 - rate) / float64(answers+1))
}
