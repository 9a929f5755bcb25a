package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

const testService identity.ServiceName = "chat"

// TestGoodVersionIsCompletedAndBadOneRolledBack moves one service to a good version, and another to a bad one.
func TestGoodVersionIsCompletedAndBadOneRolledBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newFleet(1, 8, testService, "apps")
		fleet.failureRates["bad"] = 0.5
		fleet.run(2 * time.Second)
		began := time.Now()
		fleet.order(testService, newVersion, 20*time.Second)
		fleet.order("apps", "bad", 20*time.Second)
		assert.Assert(t, fleet.until(20*time.Second, fleet.at("apps", rollout.StageRolledBack)))
		t.Logf("rolled back after %v, %v", time.Since(began), fleet.sent["apps"])
		assert.Assert(t, fleet.until(20*time.Second, fleet.at(testService, rollout.StageShift)))
		t.Logf("shift after %v, %d of %d exposed", time.Since(began), fleet.trialRequests[fleet.store.standing(testService).Order], fleet.stableAndTrialRequests[fleet.store.standing(testService).Order])
		began = time.Now()
		assert.Assert(t, fleet.until(20*time.Second, fleet.at(testService, rollout.StageCompleted)))
		t.Logf("completed after another %v", time.Since(began))
		fleet.run(time.Second)
		assert.DeepEqual(t, fleet.violations, []string(nil))
		for _, each := range fleet.members {
			t.Log(each.served, each.refused)
		}
		fleet.settle()
	})
}
