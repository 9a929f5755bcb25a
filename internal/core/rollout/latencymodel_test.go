package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// firstBytes draws the times to the first byte on a route.
type firstBytes struct {
	random         *rand.Rand
	base, perToken float64 // milliseconds
	queued, faulty float64 // shares
}

// draw draws the time to the first byte, and the tokens, of an answer. Back ends differ by a factor of 1.3 either
// way; some answers wait in a queue, and faulty back ends take eight times as long.
func (f firstBytes) draw(slower float64) (time.Duration, int) {
	tokens := int(50 * math.Exp(f.random.Float64()*4))
	took := (f.base + f.perToken*float64(tokens)) * math.Pow(1.3, 2*f.random.Float64()-1) * slower
	if f.random.Float64() < f.faulty {
		took *= 8
	}
	if f.random.Float64() < f.queued {
		took += f.random.ExpFloat64() * f.base
	}
	return time.Duration(took * float64(time.Millisecond)), tokens
}

// TestSlowFirstBytesAreTold draws routes of any speed, of which eight daemons each have their own samples: few
// answers like the stable version's must count as slow, and most of those that take three times as long.
func TestSlowFirstBytesAreTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := firstBytes{
			random:   rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)),
			base:     rapid.Float64Range(10, 300).Draw(t, "base"),
			perToken: rapid.Float64Range(0, 0.5).Draw(t, "per token"),
			queued:   rapid.Float64Range(0, 0.3).Draw(t, "queued"),
			faulty:   rapid.SampledFrom([]float64{0, 0.14}).Draw(t, "faulty"),
		}
		const daemons, judged = 8, 100
		good, bad := 0.0, 0.0
		for range daemons {
			pace := NewLatencyModel()
			for range rapid.IntRange(32, 200).Draw(t, "answers") {
				took, tokens := drawn.draw(1)
				pace.Note("chat", took, tokens)
			}
			good += drawn.slow(pace, 1, judged) / daemons
			bad += drawn.slow(pace, 3, judged) / daemons
		}
		assert.Assert(t, good <= drawn.faulty+0.12, "%.3f of good ones", good)
		assert.Assert(t, bad >= 0.6, "%.3f of slower ones", bad)
	})
}

// slow returns the share of answers that a daemon's model reports as slow.
func (f firstBytes) slow(pace *LatencyModel, slower float64, judged int) float64 {
	count := 0
	for range judged {
		if took, tokens := f.draw(slower); pace.Slow("chat", took, tokens) {
			count++
		}
	}
	return float64(count) / float64(judged)
}

// TestFewSamplesCallNothingSlow checks that nothing is slow below the minimum number of samples, and that
// detection works from there on.
func TestFewSamplesCallNothingSlow(t *testing.T) {
	pace := NewLatencyModel()
	for range minimumSamples - 1 {
		pace.Note("chat", 10*time.Millisecond, 100)
		assert.Assert(t, !pace.Slow("chat", time.Hour, 100))
	}
	pace.Note("chat", 10*time.Millisecond, 100)
	assert.Assert(t, pace.Slow("chat", 40*time.Millisecond, 100))
	assert.Assert(t, !pace.Slow("chat", 25*time.Millisecond, 100))
	assert.Assert(t, !pace.Slow("other", time.Hour, 100))
}

// TestPaceFollows checks that a few milliseconds never count as slow, and that the model adapts when all back
// ends become slower.
func TestPaceFollows(t *testing.T) {
	pace := NewLatencyModel()
	for range 100 {
		pace.Note("chat", time.Millisecond, 0)
	}
	assert.Assert(t, !pace.Slow("chat", 5*time.Millisecond, 0))
	assert.Assert(t, pace.Slow("chat", 50*time.Millisecond, 0))
	for range 100 {
		pace.Note("chat", 40*time.Millisecond, 0)
	}
	assert.Assert(t, !pace.Slow("chat", 50*time.Millisecond, 0))
}
