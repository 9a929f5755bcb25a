package rollout

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

const (
	// faultTime is the duration of a fault: longer than the confirmation limit.
	faultTime = 6 * time.Second
	// testDuration is the duration of an order.
	testDuration = 12 * time.Second
	// recoveryTime is the time after its deadline within which an order must have ended, despite a fault.
	recoveryTime = 15 * time.Second
)

// newQuietFleet makes a fleet that has already run for two seconds.
func newQuietFleet(seed uint64, count int, services ...identity.ServiceName) *fleet {
	made := newFleet(seed, count, services...)
	made.failureRates["bad"] = 0.9
	made.longest = time.Second
	made.run(2 * time.Second)
	return made
}

func (f *fleet) check(t *testing.T) {
	t.Helper()
	f.settle()
	assert.DeepEqual(t, f.violations, []string(nil))
}

// TestDriverFails kills, pauses and disconnects the daemon that writes a stage, before the write and between the
// write and its answer, at each stage.
func TestDriverFails(t *testing.T) {
	faults := map[string]func(*member, bool){
		"killed": func(m *member, begins bool) {
			if begins {
				m.kill()
			} else {
				m.start()
			}
		},
		"paused": (*member).pause,
		"cut off": func(m *member, begins bool) {
			if begins {
				m.cut(1, true)
			} else {
				m.cut(0, false)
			}
		},
	}
	for name, fault := range faults {
		for _, stage := range []rollout.Stage{rollout.StageNone, rollout.StageTrial, rollout.StageShift, rollout.StageCompleted} {
			for _, written := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s at %s %t", name, stage, written), func(t *testing.T) {
					inBubble(t, func(t *testing.T) { failDriver(t, stage, written, fault) })
				})
			}
		}
	}
}

func failDriver(t *testing.T, stage rollout.Stage, written bool, fault func(*member, bool)) {
	fleet := newFleet(4, 7, testService)
	fleet.longest = time.Second
	var hit atomic.Bool
	strike := func(standing rollout.Standing, writer *member) {
		if standing.Stage != stage || hit.Swap(true) {
			return
		}
		writer.Freeze()
		fleet.later(func() { writer.Thaw(); fault(writer, true) })
		time.AfterFunc(faultTime, func() { fleet.later(func() { fault(writer, false) }) })
	}
	if written {
		fleet.store.after = strike
	} else {
		fleet.store.before = strike
	}
	fleet.run(2 * time.Second)
	fleet.order(testService, newVersion, testDuration)
	assert.Assert(t, fleet.until(testDuration+recoveryTime, fleet.at(testService, rollout.StageCompleted)))
	assert.Assert(t, hit.Load())
	fleet.run(faultTime)
	fleet.check(t)
}

// TestOrdersInARow replaces an order during its trial and during its shift, by another version and by the old
// one.
func TestOrdersInARow(t *testing.T) {
	for _, at := range []rollout.Stage{rollout.StageTrial, rollout.StageShift} {
		for _, second := range []identity.SoftwareVersion{"v3", oldVersion} {
			t.Run(fmt.Sprintf("%s at %s", second, at), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					fleet := newQuietFleet(7, 7, testService)
					fleet.order(testService, newVersion, testDuration)
					assert.Assert(t, fleet.until(testDuration, fleet.at(testService, at)))
					number := fleet.order(testService, second, testDuration)
					done := func() bool {
						standing := fleet.store.standing(testService)
						return standing.Order == number && standing.Stage == rollout.StageCompleted
					}
					assert.Assert(t, fleet.until(testDuration+recoveryTime, done), "%+v", fleet.store.standing(testService))
					assert.Equal(t, fleet.store.standing(testService).Stable, second)
					fleet.check(t)
				})
			})
		}
	}
}

// TestNothingToTry orders a version that no back end runs, and one whose deadline passes immediately.
func TestNothingToTry(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(8, 5, testService, "apps")
		fleet.store.order(testService, "nobody", 4*time.Second)
		fleet.order("apps", newVersion, time.Millisecond)
		assert.Assert(t, fleet.until(3*time.Second, fleet.at("apps", rollout.StageRolledBack)))
		assert.Assert(t, fleet.until(5*time.Second, fleet.at(testService, rollout.StageRolledBack)))
		assert.Equal(t, fleet.sent["apps"][newVersion], 0)
		fleet.check(t)
	})
}

// TestAllDaemonsKilled restarts all daemons during a stage.
func TestAllDaemonsKilled(t *testing.T) {
	for _, at := range []rollout.Stage{rollout.StageTrial, rollout.StageShift} {
		t.Run(string(at), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				fleet := newQuietFleet(9, 7, testService)
				fleet.order(testService, newVersion, testDuration)
				assert.Assert(t, fleet.until(testDuration, fleet.at(testService, at)))
				for _, each := range fleet.members {
					each.kill()
				}
				fleet.run(500 * time.Millisecond)
				for _, each := range fleet.members {
					each.start()
				}
				assert.Assert(t, fleet.until(testDuration+recoveryTime, fleet.at(testService, rollout.StageCompleted)))
				fleet.check(t)
			})
		})
	}
}

// TestDaemonIsCutOff disconnects a daemon from all others just before the shift. It must expose nothing after a
// second, which is checked with each request, and the order must only be completed once the daemon must have
// refused requests for longer than requests last.
func TestDaemonIsCutOff(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(10, 7, testService)
		fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, func() bool { return len(fleet.trialRequests) > 0 }))
		cut := fleet.members[2]
		// It is disconnected just before the shift, so that it continues as in the trial.
		fleet.store.before = func(standing rollout.Standing, writer *member) {
			if standing.Stage == rollout.StageShift && writer != cut {
				cut.cut(1, true)
			}
		}
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageShift)))
		began, served := time.Now(), cut.served
		fleet.run(time.Second)
		assert.Assert(t, cut.served > served)
		// Having no requests in progress doesn't prevent it from sending some later.
		cut.rate = 0
		fleet.run(1500 * time.Millisecond)
		cut.rate = 0.3
		assert.Assert(t, fleet.until(recoveryTime, fleet.at(testService, rollout.StageCompleted)))
		took := time.Since(began)
		assert.Assert(t, took >= testLimit && took < testLimit+3*time.Second, "%v", took)
		fleet.run(time.Second)
		fleet.check(t)
	})
}

// TestUnreportedRequestsAreWaitedFor disconnects a daemon while back ends don't report their requests in
// progress: the completion must wait for the longest timeout.
func TestUnreportedRequestsAreWaitedFor(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(11, 7, testService)
		for _, each := range fleet.members {
			each.reportless.Store(true)
		}
		fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageTrial)))
		fleet.members[2].cut(1, true)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageShift)))
		began := time.Now()
		assert.Assert(t, fleet.until(recoveryTime, fleet.at(testService, rollout.StageCompleted)))
		assert.Assert(t, time.Since(began) >= testLimit+longestRequest, "%v", time.Since(began))
		fleet.check(t)
	})
}

// TestPausedDaemonWakes pauses a daemon between the selection of a version and the sending, until after the order
// is completed: the choice must be invalid then.
func TestPausedDaemonWakes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(12, 7, testService)
		fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageTrial)))
		fleet.run(2 * time.Second)
		paused := fleet.members[3]
		choices := paused.coordinator.Choose(testService, "/a", false)
		paused.pause(true)
		assert.Assert(t, fleet.until(testDuration+recoveryTime, fleet.at(testService, rollout.StageCompleted)))
		paused.pause(false)
		assert.Assert(t, !paused.coordinator.StillValid(choices))
		assert.Assert(t, paused.coordinator.Choose(testService, "/a", false).Refused)
		fleet.run(2 * time.Second)
		assert.Equal(t, paused.coordinator.Choose(testService, "/a", false).Version, newVersion)
		fleet.check(t)
	})
}

// TestCompletionIsQuick bounds the time from the shift to the completion if no daemon is missing.
func TestCompletionIsQuick(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(15, 10, testService)
		fleet.longest = 100 * time.Millisecond
		fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageShift)))
		began := time.Now()
		assert.Assert(t, fleet.until(time.Second, fleet.at(testService, rollout.StageCompleted)))
		t.Logf("completed %v after the shift", time.Since(began))
		assert.Assert(t, time.Since(began) < 250*time.Millisecond)
		fleet.check(t)
	})
}

// TestVersionTurnsBadInShift has a version turn bad during the shift.
func TestVersionTurnsBadInShift(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(16, 8, testService)
		fleet.longest = longestRequest
		fleet.order(testService, newVersion, testDuration)
		cut := fleet.members[5]
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageTrial)))
		fleet.run(2 * time.Second)
		cut.cut(1, true)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageShift)))
		fleet.failureRates[newVersion] = 0.9
		assert.Assert(t, fleet.until(2*time.Second, fleet.at(testService, rollout.StageRolledBack)))
		fleet.run(time.Second)
		fleet.check(t)
	})
}

// TestCollectorsStandIn has no daemon that reads on behalf of all, and kills the first two collectors: others
// must take over.
func TestCollectorsStandIn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(21, 9, testService)
		number := fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageTrial)))
		fleet.run(3 * time.Second)
		fleet.readerless = true
		killed := fleet.members[0].coordinator.collectorsOf(testService, number)[:2]
		for _, each := range fleet.members {
			if slices.Contains(killed, each.Address()) {
				each.kill()
			}
		}
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageShift)))
		assert.Assert(t, fleet.until(recoveryTime, fleet.at(testService, rollout.StageCompleted)))
		fleet.check(t)
	})
}

// TestAcknowledgementEndsWithItsDaemon restarts a daemon that has acknowledged a shift. It learns an outdated
// state from a daemon that was paused before the shift, and is then disconnected. Until its confirmation expires
// it sends to the stable version, whose back ends must still exist.
func TestAcknowledgementEndsWithItsDaemon(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(11, 7, testService)
		paused, killed := fleet.members[5], fleet.members[6]
		fleet.store.after = func(standing rollout.Standing, _ *member) {
			if standing.Stage == rollout.StageShift {
				paused.Freeze()
			}
		}
		fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageShift)))
		fleet.run(200 * time.Millisecond)
		killed.kill()
		fleet.run(maximumReportAge + 100*time.Millisecond)
		assert.Equal(t, fleet.stage(testService), rollout.StageShift)
		killed.start()
		killed.directory.software, killed.directory.confirmed = maps.Clone(paused.directory.software), paused.directory.confirmed
		assert.Equal(t, killed.directory.Software(testService).Standing.Stage, rollout.StageTrial)
		killed.cut(1, true)
		paused.Thaw()
		assert.Assert(t, fleet.until(recoveryTime, fleet.at(testService, rollout.StageCompleted)))
		fleet.run(faultTime)
		fleet.check(t)
	})
}
