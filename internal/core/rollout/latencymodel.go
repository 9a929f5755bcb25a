package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxSamples is the number of a route's most recent answers that are kept, 16 bytes each.
	maxSamples = 64
	// minimumSamples is the number of samples below which no answer counts as slow.
	minimumSamples = 8
	// refitInterval is the number of new answers after which the model is fitted again. While there are fewer, it
	// is fitted again when their number has doubled.
	refitInterval = 32
	// slowFactor is the multiple of the expected time from which on an answer is slow. Back ends differ by a
	// factor of 1.3 either way, so that a version that is three times slower takes 2.3 times as long on its
	// fastest ones.
	slowFactor = 2.0
	// smallSampleFactor, divided by the number of samples, is added to slowFactor.
	smallSampleFactor = 6.0
	// The quantile usualQuantile of the stable version's answers, multiplied by usualMargin, never counts as
	// slow, since a queue at all back ends isn't the fault of a version. The 14 % of back ends that are faulty
	// regardless of their version lie beyond the quantile, even if chance doubles their share.
	usualQuantile, usualMargin = 0.7, 1.4
	// maximumSlowFactor bounds the factor that results from these. If more of the stable version's answers take
	// longer, some of them count as slow, as do the target's.
	maximumSlowFactor = 2.4
	// quickestQuantile is the quantile of the stable version's answers below which the expected time never falls.
	quickestQuantile = 0.1
	// minimumDelay is the smallest delay beyond the expected time that makes an answer slow: scheduling on a busy
	// machine takes some milliseconds.
	minimumDelay = 5 * time.Millisecond
)

// LatencyModel detects slow first bytes by comparison with those of the stable version on the same route. The
// expected time is linear in the number of tokens that the back end has to read. The model has to be fed with the
// stable version's answers even while there is no order, since a service with few requests takes long to provide
// enough samples. It is only fitted when Slow is called. Make it with NewLatencyModel; it isn't safe for
// concurrent use.
type LatencyModel struct{ routes map[string]*routeModel }

// NewLatencyModel makes a LatencyModel without samples, which reports no answer as slow.
func NewLatencyModel() *LatencyModel { return &LatencyModel{routes: map[string]*routeModel{}} }

// Note adds an answer of the stable version: the time from the sending to its first byte, and the number of
// tokens that the back end had to read.
func (p *LatencyModel) Note(route string, took time.Duration, tokens int) {
	found := p.routes[route]
	if found == nil {
		found = &routeModel{}
		p.routes[route] = found
	}
	found.note(sample{took: took.Seconds(), tokens: float64(tokens)})
}

// Slow reports whether a first byte came late.
func (p *LatencyModel) Slow(route string, took time.Duration, tokens int) bool {
	found := p.routes[route]
	if found == nil || !found.refit() {
		return false
	}
	expected := found.line.at(float64(tokens))
	return took.Seconds() > max(expected*found.factor, expected+minimumDelay.Seconds())
}

// sample is one answer: the seconds until its first byte, and its tokens.
type sample struct{ took, tokens float64 }

// routeModel holds the recent samples of a route, and the model that was fitted to them.
type routeModel struct {
	samples []sample
	noted   int
	// fitted is the value of noted at the last fit, and zero before the first.
	fitted int
	line   line
	factor float64
}

func (r *routeModel) note(noted sample) {
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, noted)
	} else {
		r.samples[r.noted%maxSamples] = noted
	}
	r.noted++
}

// refit fits the model again if it is outdated. It returns false while there are too few samples.
func (r *routeModel) refit() bool {
	if r.noted-r.fitted >= min(max(r.fitted, minimumSamples), refitInterval) {
		r.fit()
	}
	return r.fitted > 0
}

// fit estimates the line, and the multiple of it from which on an answer is slow.
func (r *routeModel) fit() {
	r.fitted = r.noted
	r.line = fitLine(r.samples)
	count := float64(len(r.samples))
	usual := quantile(r.samples, usualQuantile, r.line.ratio)
	r.factor = max(slowFactor+smallSampleFactor/count, min(usual*usualMargin, maximumSlowFactor))
}

// line is an expected time in seconds that is linear in tokens and bounded below by minimum.
type line struct{ base, perToken, minimum float64 }

func (l line) at(tokens float64) float64 { return max(l.base+l.perToken*tokens, l.minimum) }

func (l line) ratio(of sample) float64 { return of.took / l.at(of.tokens) }

// fitLine selects the line with the smallest mean absolute log ratio of the samples to it. Candidates are a
// constant line, a proportional one, and those through the medians of the thirds with the fewest, the middle and
// the most tokens. Less than a third of outliers have little influence.
func fitLine(samples []sample) line {
	ordered := slices.SortedFunc(slices.Values(samples), func(left, right sample) int {
		return cmp.Compare(left.tokens, right.tokens)
	})
	third := (len(ordered) + 2) / 3
	few, middle, many := medianOf(ordered[:third]), medianOf(ordered[third:len(ordered)-third]), medianOf(ordered[len(ordered)-third:])
	best, nearest := line{}, math.Inf(1)
	for _, candidate := range []line{
		{base: 1}, {perToken: 1}, through(few, many), through(few, middle), through(middle, many),
	} {
		candidate.minimum = max(quantile(ordered, quickestQuantile, tookOf), time.Microsecond.Seconds())
		candidate = candidate.scaled(ordered)
		if distance := candidate.distance(ordered); distance < nearest {
			best, nearest = candidate, distance
		}
	}
	return best
}

// medianOf returns a sample with the median of the tokens and the median of the times.
func medianOf(samples []sample) sample {
	return sample{took: quantile(samples, 0.5, tookOf), tokens: quantile(samples, 0.5, tokensOf)}
}

// through returns the line through two samples, or a constant one if it would decrease.
func through(left, right sample) line {
	if right.tokens <= left.tokens || right.took <= left.took {
		return line{base: left.took}
	}
	perToken := (right.took - left.took) / (right.tokens - left.tokens)
	return line{base: left.took - perToken*left.tokens, perToken: perToken}
}

// scaled returns the line, multiplied so that half of the samples lie above it.
func (l line) scaled(samples []sample) line {
	unbounded := line{base: l.base, perToken: l.perToken, minimum: time.Nanosecond.Seconds()}
	factor := quantile(samples, 0.5, unbounded.ratio)
	return line{base: l.base * factor, perToken: l.perToken * factor, minimum: l.minimum}
}

// distance returns the mean of the absolute logarithms of the samples' ratios to the line.
func (l line) distance(samples []sample) float64 {
	total := 0.0
	for _, each := range samples {
		total += math.Abs(math.Log(l.ratio(each)))
	}
	return total / float64(len(samples))
}

func tookOf(each sample) float64   { return each.took }
func tokensOf(each sample) float64 { return each.tokens }

// quantile returns a quantile (part is 0 to 1) of a function of the samples.
func quantile(samples []sample, part float64, of func(sample) float64) float64 {
	values := make([]float64, len(samples))
	for index, each := range samples {
		values[index] = of(each)
	}
	slices.Sort(values)
	return values[min(int(part*float64(len(values))), len(values)-1)]
}
