package waitqueue

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestWaitIsSeldomLonger lets places become free at random times: what a request is told of
// its wait is exceeded in few cases, whatever the rate and the number of others before it.
func TestWaitIsSeldomLonger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		luck := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		mean := time.Duration(rapid.IntRange(1, 200).Draw(t, "mean")) * time.Millisecond
		ahead := rapid.IntRange(0, 12).Draw(t, "ahead")
		next := func() time.Duration { return time.Duration(luck.ExpFloat64() * float64(mean)) }
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

// TestNoGrantsMakeWaitsLonger lets requests wait while no place becomes free.
func TestNoGrantsMakeWaitsLonger(t *testing.T) {
	var queue Queue
	queue.Begin(start)
	assert.Equal(t, queue.EstimateWait(start, 0), time.Duration(0), "nothing is known yet")
	queue.Granted(start.Add(10 * time.Millisecond))
	soon, later := start.Add(20*time.Millisecond), start.Add(time.Second)
	assert.Assert(t, queue.EstimateWait(soon, 1) < 100*time.Millisecond)
	assert.Assert(t, queue.EstimateWait(later, 1) > time.Second)
	assert.Assert(t, queue.EstimateWait(later, 0) < 100*time.Millisecond, "nobody waits who shows that none is free")
}

// TestRetryAfterGrowsWithTheOverload refuses requests for some seconds.
func TestRetryAfterGrowsWithTheOverload(t *testing.T) {
	var queue Queue
	assert.Equal(t, queue.RetryAfter(start), leastRetryAfter)
	now := start
	for now.Before(start.Add(time.Second)) {
		now = now.Add(100 * time.Millisecond)
		queue.RetryAfter(now)
	}
	assert.Equal(t, queue.RetryAfter(now), time.Second)
	for range 20 {
		now = now.Add(quietTime)
		queue.RetryAfter(now)
	}
	assert.Equal(t, queue.RetryAfter(now), mostRetryAfter)
	assert.Equal(t, queue.RetryAfter(now.Add(2*quietTime)), leastRetryAfter, "another overload")
}
