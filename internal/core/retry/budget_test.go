package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBudgetStaysWithinRatio retries as often as the budget permits and checks the retries of each
// window against a count of the events in it.
func TestBudgetStaysWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Window: time.Second,
			Ratio:  rapid.Float64Range(0, 1).Draw(t, "ratio"),
			Floor:  rapid.IntRange(0, 5).Draw(t, "floor"),
		}
		budget := NewBudget(limits)
		now := time.Unix(1_000_000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				budget.Request(now)
				requests = append(requests, now)
			}
			if !budget.TryRetry(now) {
				continue
			}
			// The slots never cover more than the window.
			allowed := limits.Floor + int(limits.Ratio*float64(within(requests, now, limits.Window)))
			retries = append(retries, now)
			assert.Assert(t, within(retries, now, limits.Window*(slots-1)/slots) <= allowed)
		}
	})
}

// TestBudgetRecovers checks that the floor is available again after a window without retries.
func TestBudgetRecovers(t *testing.T) {
	budget := NewBudget(Limits{Window: time.Second, Floor: 1})
	now := time.Unix(1_000_000, 0)
	assert.Assert(t, budget.TryRetry(now))
	assert.Assert(t, !budget.TryRetry(now.Add(500*time.Millisecond)))
	assert.Assert(t, budget.TryRetry(now.Add(1100*time.Millisecond)))
}

func within(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}
