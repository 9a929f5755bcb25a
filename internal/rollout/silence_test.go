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

// TestStopIsNotHeard keeps stops from a daemon. It gets no grants, and exposes nothing after a
// second.
func TestStopIsNotHeard(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(13, 9, testService)
		fleet.badness["bad"] = 0
		fleet.order(testService, "bad", testDuration)
		assert.Assert(t, fleet.until(testDuration, func() bool { return len(fleet.trials) > 0 }))
		number := fleet.store.standing(testService).Order
		deaf := fleet.outsider(number)
		deaf.Handle(peerlink.KindVersionStop, func(string, []byte) {})
		deaf.Handle(peerlink.KindVersionStanding, func(string, []byte) {})
		peerlink.HandleDecoded(deaf, peerlink.KindVersionGrant, func(from string, got grantMessage) {
			got.Stopped, got.Standing = false, nil
			deaf.coordinator.enqueue(func(ctx context.Context, now time.Time) { deaf.coordinator.takeGrant(ctx, now, from, got) })
		})
		fleet.store.setDown(true)
		fleet.badness["bad"] = 0.9
		assert.Assert(t, fleet.until(5*time.Second, func() bool { return fleet.members[0].coordinator.stops[testService] != nil }))
		fleet.run(time.Second)
		exposed := fleet.trials[number]
		assert.Assert(t, deaf.coordinator.stops[testService] == nil)
		fleet.run(2 * time.Second)
		assert.Equal(t, fleet.trials[number], exposed)
		fleet.settle()
	})
}

// cutOff cuts some daemons off from the rest and the store, first those that will be no collectors
// of the next order.
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

// outsider is a daemon that is no collector of an order, and doesn't read for all.
func (f *fleet) outsider(order uint64) *member {
	collectors := f.members[0].coordinator.collectorsOf(testService, order)
	index := slices.IndexFunc(f.members, func(each *member) bool {
		return each.index > 0 && !slices.Contains(collectors, each.Address())
	})
	return f.members[index]
}

// TestUnseenOrder cuts some daemons off before an order. Where they are fewer than half the others
// complete it, and they refuse requests by then; two halves don't complete it.
func TestUnseenOrder(t *testing.T) {
	for cutOff, completes := range map[int]bool{3: true, 4: false} {
		t.Run(fmt.Sprint(cutOff), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				fleet := newQuietFleet(14, 8, testService)
				fleet.cutOff(cutOff)
				for _, each := range fleet.members {
					if each.side.Load() != 0 && !completes {
						each.rate = 0 // back ends don't show that it may send
					}
				}
				fleet.order(testService, newVersion, testDuration)
				assert.Equal(t, fleet.until(testDuration+patience, fleet.at(testService, rollout.StageCompleted)), completes)
				fleet.run(time.Second)
				for _, each := range fleet.members {
					each.cut(0, false)
				}
				assert.Assert(t, fleet.until(patience, func() bool { return fleet.stage(testService).Ended() }))
				fleet.check(t)
			})
		})
	}
}

// TestUnawareDaemonHoldsCompletion lets a daemon report and hear nothing of the shift, with nothing
// under way. The order isn't completed while it is heard.
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
		assert.Assert(t, fleet.until(patience, fleet.at(testService, rollout.StageCompleted)))
		fleet.check(t)
	})
}

// TestStopIsRepeated counts what a daemon that knows of a stop tells others, while the order lasts.
func TestStopIsRepeated(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(23, 7, testService)
		number := fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageTrial)))
		fleet.store.setDown(true)
		var heard atomic.Int64
		listens := fleet.members[6]
		listens.Handle(peerlink.KindVersionStop, func(string, []byte) { heard.Add(1) })
		fleet.members[2].coordinator.noteStop(time.Now(), testService, number, "bad", listens.Address())
		fleet.run(time.Second)
		assert.Assert(t, heard.Load() >= 5, "%d", heard.Load())
		fleet.settle()
	})
}

// TestDriverHearsNobody cuts a collector that reaches the store off from all daemons, with evidence
// that looks good by then. It doesn't shift the service.
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
		assert.Assert(t, fleet.until(patience, fleet.at(testService, rollout.StageRolledBack)))
		fleet.check(t)
	})
}

// TestMissedStandingIsTold keeps the news of the shift from a daemon that doesn't reach the store.
// The collectors' answers tell it.
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
		assert.Assert(t, fleet.until(patience, fleet.at(testService, rollout.StageCompleted)))
		assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
		fleet.check(t)
	})
}
