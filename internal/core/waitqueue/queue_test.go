package waitqueue

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestEstimateIsSeldomExceeded frees slots at random times and checks that few waits exceed the
// estimate, whatever the rate and the position in the queue.
func TestEstimateIsSeldomExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		mean := time.Duration(rapid.IntRange(1, 200).Draw(t, "mean")) * time.Millisecond
		ahead := rapid.IntRange(0, 12).Draw(t, "ahead")
		next := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(mean)) }
		var queue Queue
		now := start
		queue.Begin(now)
		for range 100 {
			now = now.Add(next())
			queue.Granted(now)
		}
		longer, rounds := 0, 400
		for range rounds {
			expected, wait := queue.EstimateWait(now, ahead), time.Duration(0)
			for range ahead + 1 {
				took := next()
				wait += took
				now = now.Add(took)
				queue.Granted(now)
			}
			if wait > expected {
				longer++
			}
		}
		assert.Assert(t, longer < rounds/5, "%d of %d waited longer", longer, rounds)
	})
}

// TestEstimateGrowsWithoutGrants has requests wait while no slot becomes free.
func TestEstimateGrowsWithoutGrants(t *testing.T) {
	var queue Queue
	queue.Begin(start)
	assert.Equal(t, queue.EstimateWait(start, 0), time.Duration(0), "nothing is known yet")
	queue.Granted(start.Add(10 * time.Millisecond))
	soon, later := start.Add(20*time.Millisecond), start.Add(time.Second)
	assert.Assert(t, queue.EstimateWait(soon, 1) < 100*time.Millisecond)
	assert.Assert(t, queue.EstimateWait(later, 1) > time.Second)
	assert.Assert(t, queue.EstimateWait(later, 0) < 100*time.Millisecond, "an empty queue says nothing about the time since the last grant")
}

// TestRetryAfterGrowsWithOverload rejects requests for several seconds.
func TestRetryAfterGrowsWithOverload(t *testing.T) {
	var queue Queue
	assert.Equal(t, queue.RetryAfter(start), minRetryAfter)
	now := start
	for now.Before(start.Add(time.Second)) {
		now = now.Add(100 * time.Millisecond)
		queue.RetryAfter(now)
	}
	assert.Equal(t, queue.RetryAfter(now), time.Second)
	for range 20 {
		now = now.Add(overloadQuietTime)
		queue.RetryAfter(now)
	}
	assert.Equal(t, queue.RetryAfter(now), maxRetryAfter)
	assert.Equal(t, queue.RetryAfter(now.Add(2*overloadQuietTime)), minRetryAfter, "another overload")
}
