package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/rollout"
)

// TestStoreDown takes the store down during a trial. The trial must continue, a bad version must be stopped, and
// after the confirmation limit requests must be refused until the store is back.
func TestStoreDown(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(5, 12, testService, "apps")
		fleet.failureRates[newVersion] = 0
		order := fleet.order(testService, newVersion, testDuration)
		fleet.run(1200 * time.Millisecond)
		bad := fleet.order("apps", "bad", testDuration)
		assert.Assert(t, fleet.until(3*time.Second, fleet.at("apps", rollout.StageTrial)))
		fleet.store.setDown(true)
		exposed := fleet.trialRequests[order]
		stopped := func() bool {
			for _, each := range fleet.members {
				if stop := each.coordinator.stops["apps"]; stop == nil || stop.order != bad {
					return false
				}
			}
			return true
		}
		assert.Assert(t, fleet.until(3500*time.Millisecond, stopped))
		assert.Assert(t, fleet.trialRequests[order] > exposed)
		assert.Equal(t, fleet.stage("apps"), rollout.StageTrial)
		fleet.run(5 * time.Second)
		refused, served := fleet.members[0].refused, fleet.members[0].served
		fleet.run(time.Second)
		assert.Assert(t, fleet.members[0].refused > refused)
		assert.Equal(t, fleet.members[0].served, served)
		fleet.store.setDown(false)
		assert.Assert(t, fleet.until(time.Second, fleet.at("apps", rollout.StageRolledBack)))
		assert.Assert(t, fleet.until(recoveryTime, fleet.at(testService, rollout.StageCompleted)))
		fleet.check(t)
	})
}

// TestStoreDownWithoutOrder takes the store down while there is no order, so that daemons exchange no reports.
// Only a daemon that is disconnected from the others may refuse requests.
func TestStoreDownWithoutOrder(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(24, 9, testService)
		cut := fleet.members[8]
		cut.cut(1, true)
		fleet.store.setDown(true)
		fleet.run(2 * testLimit)
		for _, each := range fleet.members {
			assert.Equal(t, each.refused > 0, each == cut, "%d", each.index)
		}
		fleet.check(t)
	})
}

// TestStoreTroubles covers a store that is slow, loses answers after writes, or turns daemons away.
func TestStoreTroubles(t *testing.T) {
	troubles := map[string]func(*fleet){
		"slow":         func(f *fleet) { f.store.setDelay(800 * time.Millisecond) },
		"very slow":    func(f *fleet) { f.store.setDelay(1600 * time.Millisecond) },
		"lost answers": func(f *fleet) { f.store.loseAnswers = 100 },
		"turns all but two away": func(f *fleet) {
			for _, each := range f.members[:len(f.members)-2] {
				each.storeless.Store(true)
			}
			// The remaining daemons pass on what they read.
			f.relayChecks = true
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				fleet := newQuietFleet(6, 7, testService)
				trouble(fleet)
				fleet.order(testService, newVersion, testDuration)
				assert.Assert(t, fleet.until(testDuration+recoveryTime, fleet.at(testService, rollout.StageCompleted)))
				assert.Assert(t, fleet.store.writes <= 8, "%d writes", fleet.store.writes)
				fleet.run(time.Second)
				fleet.check(t)
			})
		})
	}
}

// TestOrdersBeforeTheFirstStanding gives two orders before the store accepts the first standing; the second one
// names the version that serves.
func TestOrdersBeforeTheFirstStanding(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newFleet(17, 7, testService)
		fleet.store.readOnly = true
		fleet.run(time.Second)
		fleet.order(testService, newVersion, testDuration)
		fleet.run(time.Second)
		fleet.order(testService, oldVersion, testDuration)
		fleet.run(time.Second)
		fleet.store.readOnly = false
		assert.Assert(t, fleet.until(recoveryTime, func() bool { return fleet.stage(testService).Ended() && fleet.store.standing(testService).Order > 0 }))
		assert.Equal(t, fleet.store.standing(testService).Stable, oldVersion)
		fleet.check(t)
	})
}

// TestLostAnswerIsReadBack loses the answer to the write of the shift while no daemon polls the store: the writer
// must read the result back.
func TestLostAnswerIsReadBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(20, 7, testService)
		fleet.longest = 100 * time.Millisecond
		fleet.order(testService, newVersion, testDuration)
		fleet.store.before = func(standing rollout.Standing, _ *member) {
			if standing.Stage == rollout.StageShift {
				fleet.unchecked.Store(true)
				fleet.store.loseAnswers = 1
			}
		}
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageShift)))
		assert.Assert(t, fleet.until(time.Second, fleet.at(testService, rollout.StageCompleted)))
		fleet.unchecked.Store(false)
		fleet.check(t)
	})
}

// TestFirstStandingIsWrittenAtOnce checks that the stable version is written soon after the daemons have started,
// so that daemons that start during the next order know it even if the store has failed in between.
func TestFirstStandingIsWrittenAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newFleet(12, 7, testService, "apps")
		fleet.run(200 * time.Millisecond)
		for _, service := range fleet.services {
			assert.Equal(t, fleet.store.standing(service).Stable, oldVersion)
		}
		fleet.check(t)
	})
}
