package rollout

import "math"

// A back end may be faulty by itself, whichever version it runs: its answers are bad at any rate.
// The likelihoods here are of a mixture: a back end is faulty with some probability, and else has
// the rate of its version. So one back end can't say more against the version than that
// probability allows, however many bad answers it gives, and what most of them do decides.

const (
	// faultyBackends is the highest share of back ends that are taken to be faulty by themselves:
	// 14 in 100 were seen.
	faultyBackends = 0.14
	// soundMargin is how much further the back ends' evidence may go than a test's limit, as a
	// logarithm, if all say the same.
	soundMargin = 1.0
)

// excessRates are the rates of bad answers, beyond the expected one, that a bad version is tested
// for. The low ones are those of a version that has turned bad after many good answers.
var excessRates = []float64{0.015, 0.04, 0.12, 0.35, 0.7}

// tally is how many of a number of answers are bad.
type tally struct{ answers, bad int }

func tallyOf(counts Counts, kind kind) tally {
	return tally{answers: counts.Total(), bad: kind.of(counts)}
}

func talliesOf(backends []BackendCounts, kind kind) []tally {
	tallies := make([]tally, len(backends))
	for index, each := range backends {
		tallies[index] = tallyOf(each.Counts, kind)
	}
	return tallies
}

func totalOf(tallies []tally) int {
	total := 0
	for _, each := range tallies {
		total += each.answers
	}
	return total
}

// faultyShare is the share of back ends that may be faulty by themselves in a test with a limit
// on the logarithm of its ratio. Where there are few back ends it is lower: if all of them are
// bad, the limit has to be reached.
func faultyShare(backends int, limit float64) float64 {
	counted := max(backends, minimumTrialBackends)
	return min(faultyBackends, math.Exp(-(limit+soundMargin)/float64(counted)))
}

// logLikelihoodRatio is the logarithm of the likelihood of the back ends' answers if the version
// is bad, over that if it isn't and has the expected rate at most. It is a sequential test (a
// mixture of Wald's): of versions that aren't bad no more than one in r ever reaches a ratio of r,
// however often it is looked at.
func logLikelihoodRatio(backends []tally, expected, faulty float64) float64 {
	logs := make([]float64, len(excessRates))
	for index, excess := range excessRates {
		rate := expected + excess*(1-expected)
		for _, each := range backends {
			bad := logSum(each.logAt(rate), each.logAtAny(), faulty)
			good := logSum(each.logAt(expected), each.logAtBest(expected), faulty)
			logs[index] += bad - good
		}
	}
	return logMean(logs)
}

// logAt is the logarithm of the likelihood at a rate.
func (t tally) logAt(rate float64) float64 {
	return float64(t.bad)*math.Log(rate) + float64(t.answers-t.bad)*math.Log1p(-rate)
}

// logAtBest is that at the rate, not below the lowest one, that fits best.
func (t tally) logAtBest(lowest float64) float64 {
	observed := float64(t.bad) / float64(max(t.answers, 1))
	if observed <= lowest {
		return t.logAt(lowest)
	}
	if t.bad == t.answers {
		return 0
	}
	return t.logAt(observed)
}

// logAtAny is that of a rate of which nothing is known: the mean over all rates.
func (t tally) logAtAny() float64 {
	bad, _ := math.Lgamma(float64(t.bad + 1))
	good, _ := math.Lgamma(float64(t.answers - t.bad + 1))
	all, _ := math.Lgamma(float64(t.answers + 2))
	return bad + good - all
}

// logSum is the logarithm of a mixture of two likelihoods, the second with a weight.
func logSum(first, second, weight float64) float64 {
	first += math.Log1p(-weight)
	second += math.Log(weight)
	larger := max(first, second)
	return larger + math.Log1p(math.Exp(min(first, second)-larger))
}

// logMean is the logarithm of the mean of numbers that are given by their logarithms.
func logMean(logs []float64) float64 {
	largest := math.Inf(-1)
	for _, each := range logs {
		largest = max(largest, each)
	}
	total := 0.0
	for _, each := range logs {
		total += math.Exp(each - largest)
	}
	return largest + math.Log(total/float64(len(logs)))
}

// soundParts are the values that soundPart chooses from.
var soundParts = []float64{1, 0.7, 0.5, 0.35, 0.25, 0.17, 0.12, 0.08, 0.05, 0.02}

// soundPart estimates the rate of bad answers of the stable version's sound back ends, as a part
// of the rate of all of them, from a sample. Without it, faulty back ends of the stable version
// would hide that the target's sound ones are worse.
func soundPart(sample []tally) float64 {
	all := tally{}
	for _, each := range sample {
		all.answers += each.answers
		all.bad += each.bad
	}
	if all.bad == 0 {
		return 1
	}
	best, highest := 1.0, math.Inf(-1)
	for _, part := range soundParts {
		rate := min(part*float64(all.bad)/float64(all.answers), 0.99)
		likelihood := 0.0
		for _, each := range sample {
			likelihood += logSum(each.logAt(rate), each.logAtAny(), faultyBackends)
		}
		if likelihood > highest {
			best, highest = part, likelihood
		}
	}
	return best
}
