package rollout

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// TestStopIsNotHeard withholds stops from a daemon. It gets no more grants, and must expose nothing after a
// second.
func TestStopIsNotHeard(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(13, 9, testService)
		fleet.failureRates["bad"] = 0
		fleet.order(testService, "bad", testDuration)
		assert.Assert(t, fleet.until(testDuration, func() bool { return len(fleet.trialRequests) > 0 }))
		number := fleet.store.standing(testService).Order
		deaf := fleet.outsider(number)
		deaf.Handle(peerlink.KindVersionStop, func(string, []byte) {})
		deaf.Handle(peerlink.KindVersionStanding, func(string, []byte) {})
		peerlink.HandleDecoded(deaf, peerlink.KindVersionGrant, func(from string, got grantMessage) {
			got.Stopped, got.Standing = false, nil
			deaf.coordinator.enqueue(func(ctx context.Context, now time.Time) { deaf.coordinator.handleGrant(ctx, now, from, got) })
		})
		fleet.store.setDown(true)
		fleet.failureRates["bad"] = 0.9
		assert.Assert(t, fleet.until(5*time.Second, func() bool { return fleet.members[0].coordinator.stops[testService] != nil }))
		fleet.run(time.Second)
		exposed := fleet.trialRequests[number]
		assert.Assert(t, deaf.coordinator.stops[testService] == nil)
		fleet.run(2 * time.Second)
		assert.Equal(t, fleet.trialRequests[number], exposed)
		fleet.settle()
	})
}

// cutOff disconnects some daemons from the rest and the store, preferably those that won't be collectors of the
// next order.
func (f *fleet) cutOff(count int) {
	collectors := f.members[0].coordinator.collectorsOf(testService, f.store.version+1)
	ranked := slices.Clone(f.members)
	slices.SortStableFunc(ranked, func(left, right *member) int {
		return slices.Index(collectors, left.Address()) - slices.Index(collectors, right.Address())
	})
	for _, each := range ranked[:count] {
		each.cut(1, true)
	}
}

// outsider returns a daemon that is neither a collector of an order nor the reader of the store.
func (f *fleet) outsider(order uint64) *member {
	collectors := f.members[0].coordinator.collectorsOf(testService, order)
	index := slices.IndexFunc(f.members, func(each *member) bool {
		return each.index > 0 && !slices.Contains(collectors, each.Address())
	})
	return f.members[index]
}

// TestUnseenOrder disconnects some daemons before an order. If they are fewer than half, the others complete the
// order, and the disconnected ones must refuse requests by then; two halves must not complete it.
func TestUnseenOrder(t *testing.T) {
	for cutOff, completes := range map[int]bool{3: true, 4: false} {
		t.Run(fmt.Sprint(cutOff), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				fleet := newQuietFleet(14, 8, testService)
				fleet.cutOff(cutOff)
				for _, each := range fleet.members {
					if each.side.Load() != 0 && !completes {
						each.rate = 0 // no requests in progress at back ends reveal that it may send
					}
				}
				fleet.order(testService, newVersion, testDuration)
				assert.Equal(t, fleet.until(testDuration+recoveryTime, fleet.at(testService, rollout.StageCompleted)), completes)
				fleet.run(time.Second)
				for _, each := range fleet.members {
					each.cut(0, false)
				}
				assert.Assert(t, fleet.until(recoveryTime, func() bool { return fleet.stage(testService).Ended() }))
				fleet.check(t)
			})
		})
	}
}

// TestUnawareDaemonHoldsCompletion has a daemon without requests in progress that sends reports, but doesn't
// learn of the shift. The order must not be completed while this daemon is heard.
func TestUnawareDaemonHoldsCompletion(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(22, 7, testService)
		fleet.longest = 100 * time.Millisecond
		fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageTrial)))
		fleet.run(3 * time.Second)
		unaware := fleet.members[4]
		unaware.rate = 0
		unaware.Handle(peerlink.KindVersionStanding, func(string, []byte) {})
		unaware.Handle(peerlink.KindVersionGrant, func(string, []byte) {})
		fleet.store.before = func(standing rollout.Standing, writer *member) {
			if standing.Stage == rollout.StageShift && writer != unaware {
				unaware.storeless.Store(true)
			}
		}
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageShift)))
		assert.Assert(t, !fleet.until(testLimit-time.Second, fleet.at(testService, rollout.StageCompleted)))
		unaware.rate = 1
		fleet.run(200 * time.Millisecond)
		unaware.storeless.Store(false)
		assert.Assert(t, fleet.until(recoveryTime, fleet.at(testService, rollout.StageCompleted)))
		fleet.check(t)
	})
}

// TestStopIsRepeated counts how often a daemon repeats a stop while the order is active.
func TestStopIsRepeated(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(23, 7, testService)
		number := fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageTrial)))
		fleet.store.setDown(true)
		var heard atomic.Int64
		listens := fleet.members[6]
		listens.Handle(peerlink.KindVersionStop, func(string, []byte) { heard.Add(1) })
		fleet.members[2].coordinator.recordStop(time.Now(), testService, number, "bad", listens.Address())
		fleet.run(time.Second)
		assert.Assert(t, heard.Load() >= 5, "%d", heard.Load())
		fleet.settle()
	})
}

// TestDriverHearsNobody disconnects a collector that can reach the store from all other daemons, with evidence
// that looks good by then. It must not shift the service.
func TestDriverHearsNobody(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(18, 7, testService)
		number := fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageTrial)))
		fleet.run(4 * time.Second)
		alone := fleet.members[0]
		for _, each := range fleet.members {
			if each.Address() == alone.coordinator.collectorsOf(testService, number)[0] {
				alone = each
			}
		}
		for _, each := range fleet.members {
			if each != alone {
				each.cut(1, true)
			}
		}
		assert.Assert(t, !fleet.until(testDuration, fleet.at(testService, rollout.StageShift)))
		assert.Assert(t, fleet.until(recoveryTime, fleet.at(testService, rollout.StageRolledBack)))
		fleet.check(t)
	})
}

// TestMissedStandingIsTold withholds the announcement of the shift from a daemon that can't reach the store. It
// must learn of the shift from the collectors' answers.
func TestMissedStandingIsTold(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(19, 7, testService)
		fleet.longest = 100 * time.Millisecond
		number := fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageTrial)))
		fleet.run(3 * time.Second)
		missing := fleet.outsider(number)
		missing.Handle(peerlink.KindVersionStanding, func(string, []byte) {})
		fleet.store.before = func(standing rollout.Standing, writer *member) {
			if standing.Stage == rollout.StageShift && writer != missing && !missing.storeless.Load() {
				missing.storeless.Store(true)
			}
		}
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageShift)))
		began := time.Now()
		assert.Assert(t, fleet.until(recoveryTime, fleet.at(testService, rollout.StageCompleted)))
		assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
		fleet.check(t)
	})
}
