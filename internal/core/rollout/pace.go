package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxSamples is the number of a route's last answers that are remembered, 16 bytes each.
	maxSamples = 64
	// minimumSamples is the number without which no answer is called slow.
	minimumSamples = 8
	// refitInterval is the number of answers from which on a fit is outdated. Before, it is when
	// their number has doubled.
	refitInterval = 32
	// slowFactor is how many times the expected time makes an answer slow. Back ends differ by a
	// factor of 1.3 either way, so that a version that is three times slower takes 2.3 times as
	// long on its fastest ones.
	slowFactor = 2.0
	// smallSampleFactor is what is added to slowFactor, divided by the number of samples.
	smallSampleFactor = 6.0
	// usualQuantile of the stable version's answers are not slow in any case, with usualMargin as
	// a factor: a queue at all back ends is no version's fault. Back ends that are faulty by
	// themselves, 14 in 100, are beyond it, also where chance gives them twice their part.
	usualQuantile, usualMargin = 0.7, 1.4
	// maximumSlowFactor is the highest factor that follows from these. Where more of the stable
	// version's answers take longer, some of them are called slow, as are the target's.
	maximumSlowFactor = 2.4
	// quickestQuantile of the stable version's answers is the least that is ever expected.
	quickestQuantile = 0.1
	// minimumDelay is the time by which an answer is late at least, beyond what is expected:
	// scheduling on a busy machine takes some milliseconds.
	minimumDelay = 5 * time.Millisecond
)

// LatencyModel tells slow first bytes by comparison with those of the stable version on the same route:
// the time is expected to be linear in the tokens that the back end has to read. Make it with
// NewPace; it isn't safe for use by several goroutines. It is to be told of the stable version's
// answers also where there is no order: with few requests it takes long to know enough. What
// is expected is only worked out when Slow asks for it.
type LatencyModel struct{ routes map[string]*routeModel }

// NewLatencyModel makes a Pace that has seen no answers, and calls none slow.
func NewLatencyModel() *LatencyModel { return &LatencyModel{routes: map[string]*routeModel{}} }

// Note takes in when the first byte of an answer of the stable version came, counted from the
// sending, and the number of tokens that the back end had to read.
func (p *LatencyModel) Note(route string, took time.Duration, tokens int) {
	found := p.routes[route]
	if found == nil {
		found = &routeModel{}
		p.routes[route] = found
	}
	found.note(sample{took: took.Seconds(), tokens: float64(tokens)})
}

// Slow tells whether a first byte came late.
func (p *LatencyModel) Slow(route string, took time.Duration, tokens int) bool {
	found := p.routes[route]
	if found == nil || !found.refit() {
		return false
	}
	expected := found.line.at(float64(tokens))
	return took.Seconds() > max(expected*found.factor, expected+minimumDelay.Seconds())
}

// sample is one answer: seconds until the first byte, and tokens.
type sample struct{ took, tokens float64 }

// routeModel is what is known of a route.
type routeModel struct {
	samples []sample
	noted   int
	// fitted is the number of samples noted at the last fit, zero before the first.
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

// refit fits anew where the last fit is outdated. It returns false while too little is known.
func (r *routeModel) refit() bool {
	if r.noted-r.fitted >= min(max(r.fitted, minimumSamples), refitInterval) {
		r.fit()
	}
	return r.fitted > 0
}

// fit estimates the line, and from which multiple of it an answer is slow.
func (r *routeModel) fit() {
	r.fitted = r.noted
	r.line = fitLine(r.samples)
	count := float64(len(r.samples))
	usual := quantile(r.samples, usualQuantile, r.line.ratio)
	r.factor = max(slowFactor+smallSampleFactor/count, min(usual*usualMargin, maximumSlowFactor))
}

// line is an expected time in seconds, linear in tokens, and never below the least one.
type line struct{ base, perToken, minimum float64 }

func (l line) at(tokens float64) float64 { return max(l.base+l.perToken*tokens, l.minimum) }

func (l line) ratio(of sample) float64 { return of.took / l.at(of.tokens) }

// fitLine chooses the line that is nearest to the samples by the mean of their ratios' logarithms:
// among a level one, a proportional one, and those through the medians of the thirds with the
// fewest, the middle and the most tokens. Less than a third of outliers do little to it.
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

// medianOf is a sample of the median of tokens and of times.
func medianOf(samples []sample) sample {
	return sample{took: quantile(samples, 0.5, tookOf), tokens: quantile(samples, 0.5, tokensOf)}
}

// through is the line through two samples, or a level one if it were to fall.
func through(left, right sample) line {
	if right.tokens <= left.tokens || right.took <= left.took {
		return line{base: left.took}
	}
	perToken := (right.took - left.took) / (right.tokens - left.tokens)
	return line{base: left.took - perToken*left.tokens, perToken: perToken}
}

// scaled is the line with half of the samples above it.
func (l line) scaled(samples []sample) line {
	unbounded := line{base: l.base, perToken: l.perToken, minimum: time.Nanosecond.Seconds()}
	factor := quantile(samples, 0.5, unbounded.ratio)
	return line{base: l.base * factor, perToken: l.perToken * factor, minimum: l.minimum}
}

// distance is the mean of the absolute logarithms of the samples' ratios.
func (l line) distance(samples []sample) float64 {
	total := 0.0
	for _, each := range samples {
		total += math.Abs(math.Log(l.ratio(each)))
	}
	return total / float64(len(samples))
}

func tookOf(each sample) float64   { return each.took }
func tokensOf(each sample) float64 { return each.tokens }

// quantile of what a function says of the samples, 0 to 1.
func quantile(samples []sample, part float64, of func(sample) float64) float64 {
	values := make([]float64, len(samples))
	for index, each := range samples {
		values[index] = of(each)
	}
	slices.Sort(values)
	return values[min(int(part*float64(len(values))), len(values)-1)]
}
