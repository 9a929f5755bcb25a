package rollout

import (
	"cmp"
	"math"
	"slices"
)

// A back end may be faulty by itself, whichever version it runs. So the version is tested in two
// ways that allow for it:
//   - by a mixture: each back end is faulty with some probability, and else has the rate of its
//     version. However many bad answers one back end gives, they weigh no more than that
//     probability allows.
//   - without the worst back ends: as many are left out as are hardly ever faulty at once. Where
//     there are few back ends and all fail often, that takes fewer answers.

const (
	// faultyShare is the share of back ends that are taken to be faulty by themselves: 14 in 100
	// were seen, of whose answers 40 in 100 failed or nearly all were slow.
	faultyShare = 0.14
	// faultyRate is the share of bad answers of such a back end at least.
	faultyRate = 0.2
	// disturbedShare is the share of back ends that have any other rate of bad answers, as after a
	// crash that ended some requests.
	disturbedShare = 0.01
	// maxUndercountProbability is the probability that more back ends are faulty than are left out.
	maxUndercountProbability = 0.003
)

// tally is how many of a number of answers are bad.
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

// paddedTallies adds those that have no answers to a number of back ends.
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

// logLikelihoodRatio is the logarithm of the likelihood of the back ends' answers if the version
// is bad, over that if it isn't and has the expected rate at most. It is a sequential test (a
// mixture of Wald's): of versions that aren't bad no more than one in r ever reaches a ratio of r,
// however often it is looked at.
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

// logLikelihoodIfGood is the logarithm of the likelihood of a back end's answers if its version has a rate
// up to the highest one, for the rates that fit best.
func (t tally) logLikelihoodIfGood(highest float64) float64 {
	sound := math.Log(1-faultyShare-disturbedShare) + t.logLikelihoodAtMost(highest)
	faulty := math.Log(faultyShare) + t.logLikelihoodAtLeast(faultyRate)
	disturbed := math.Log(disturbedShare) + t.maxLogLikelihood()
	return logSumExp(sound, faulty, disturbed)
}

// logLikelihoodIfBad is the logarithm of the likelihood of a back end's answers if its version has a rate.
// The rate of faulty back ends is not known.
func (t tally) logLikelihoodIfBad(rate float64) float64 {
	return logSumExp(math.Log(1-faultyShare)+t.logLikelihoodAt(rate), math.Log(faultyShare)+t.marginalLogLikelihood())
}

// totalWithoutWorst adds up the back ends without the worst ones: so many that more are faulty at once
// with the probability of allFaulty at most. It is empty where no back end remains.
func totalWithoutWorst(backends []tally, expected float64) tally {
	ordered := slices.SortedFunc(slices.Values(backends), func(left, right tally) int {
		return cmp.Compare(left.excess(expected), right.excess(expected))
	})
	return total(ordered[:len(ordered)-maxFaultyBackends(len(ordered))])
}

// maxFaultyBackends is how many of a number of back ends are faulty at once at most, but for a
// probability of allFaulty.
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

// sequentialLogRatio is the logarithm of the likelihood ratio of a sequential test of answers of which
// none are of faulty back ends.
func sequentialLogRatio(answers tally, expected float64, excessRates []float64) float64 {
	logs := make([]float64, len(excessRates))
	good := answers.logLikelihoodAtMost(expected)
	for index, excess := range excessRates {
		logs[index] = answers.logLikelihoodAt(expected+excess*(1-expected)) - good
	}
	return logMeanExp(logs)
}

// excess is the number of bad answers beyond the expected ones.
func (t tally) excess(expected float64) float64 { return float64(t.bad) - expected*float64(t.answers) }

// logLikelihoodAt is the logarithm of the likelihood at a rate.
func (t tally) logLikelihoodAt(rate float64) float64 {
	return float64(t.bad)*math.Log(rate) + float64(t.answers-t.bad)*math.Log1p(-rate)
}

// logLikelihoodAtMost is the logarithm of the likelihood at the best fitting rate up to the highest.
func (t tally) logLikelihoodAtMost(highest float64) float64 {
	if float64(t.bad) < highest*float64(t.answers) {
		return t.maxLogLikelihood()
	}
	return t.logLikelihoodAt(highest)
}

// maxLogLikelihood is the logarithm of the likelihood at the best fitting rate.
func (t tally) maxLogLikelihood() float64 {
	if t.bad == 0 || t.bad == t.answers {
		return 0
	}
	return t.logLikelihoodAt(float64(t.bad) / float64(t.answers))
}

// marginalLogLikelihood is the logarithm of the mean likelihood over all rates, for a rate that is not known.
func (t tally) marginalLogLikelihood() float64 {
	bad, _ := math.Lgamma(float64(t.bad + 1))
	good, _ := math.Lgamma(float64(t.answers - t.bad + 1))
	all, _ := math.Lgamma(float64(t.answers + 2))
	return bad + good - all
}

// logLikelihoodAtLeast is the logarithm of the likelihood at the best fitting rate from the lowest up.
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

// soundRate estimates the rate of bad answers of the stable version's sound back ends from a sample
// of its back ends, as that of all but the worst quarter, one standard error higher. Without it,
// faulty back ends of the stable version would hide that the target's sound ones are worse.
func soundRate(sample []tally) float64 {
	ordered := slices.SortedFunc(slices.Values(sample), func(left, right tally) int {
		return cmp.Compare(rateOf(left), rateOf(right))
	})
	sound := total(ordered[:len(ordered)-len(ordered)/4])
	return rateOf(sound) + standardError(rateOf(sound), sound.answers)
}

// rateOf estimates the share of bad answers; it is a half where there are no answers.
func rateOf(counted tally) float64 {
	return (float64(counted.bad) + 0.5) / (float64(counted.answers) + 1)
}

// standardError of a rate that was found among a number of answers.
func standardError(rate float64, answers int) float64 {
	return math.Sqrt(rate * (1 - rate) / float64(answers+1))
}
