package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/clock/clocktest"
)

// TestSuspendedBudgetForgetsItsRequests suspends the machine for the whole window: requests of
// before allow no retries any more. By a clock that stands still they would.
func TestSuspendedBudgetForgetsItsRequests(t *testing.T) {
	limits := Limits{Window: 10 * time.Second, Ratio: 0.2}
	for _, counts := range []bool{true, false} {
		machine := clocktest.New()
		now := machine.Steady
		if counts {
			now = machine.Now
		}
		budget := NewBudget(limits)
		for range 100 {
			budget.Request(now())
		}
		machine.Suspend(12 * time.Second)
		assert.Equal(t, budget.TryRetry(now()), !counts)
	}
}
