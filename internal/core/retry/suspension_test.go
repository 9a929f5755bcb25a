package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/clock/clocktest"
)

// TestSuspendExpiresBudget suspends the machine for longer than the window. Requests from before
// the suspension must not permit retries afterwards. With a clock that stops during suspension
// they would.
func TestSuspendExpiresBudget(t *testing.T) {
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
