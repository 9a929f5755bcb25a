package rollout

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// faultTime is how long a fault lasts: longer than the confirmation limit.
	faultTime = 6 * time.Second
	// testDuration is the time of an order.
	testDuration = 12 * time.Second
	// patience is within which an order must have ended after its deadline, with a fault.
	patience = 15 * time.Second
)

// newQuietFleet makes a fleet that has worked for a moment.
func newQuietFleet(seed uint64, count int, services ...identity.ServiceName) *fleet {
	made := newFleet(seed, count, services...)
	made.badness["bad"] = 0.9
	made.longest = time.Second
	made.run(2 * time.Second)
	return made
}

func (f *fleet) check(t *testing.T) {
	t.Helper()
	f.settle()
	assert.DeepEqual(t, f.violations, []string(nil))
}

// TestDriverFails kills, pauses and cuts off the daemon that writes a stage, before the write and
// between the write and its answer, at each stage.
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
	assert.Assert(t, fleet.until(testDuration+patience, fleet.at(testService, rollout.StageCompleted)))
	assert.Assert(t, hit.Load())
	fleet.run(faultTime)
	fleet.check(t)
}

// TestStoreDown keeps the store away from within the trial. The trial goes on, a bad version is
// stopped, and after the confirmation limit requests are refused until the store is back.
func TestStoreDown(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(5, 12, testService, "apps")
		fleet.badness[newVersion] = 0
		order := fleet.order(testService, newVersion, testDuration)
		fleet.run(1200 * time.Millisecond)
		bad := fleet.order("apps", "bad", testDuration)
		assert.Assert(t, fleet.until(3*time.Second, fleet.at("apps", rollout.StageTrial)))
		fleet.store.setDown(true)
		exposed := fleet.trials[order]
		stopped := func() bool {
			for _, each := range fleet.members {
				if stop := each.coordinator.stops["apps"]; stop == nil || stop.order != bad {
					return false
				}
			}
			return true
		}
		assert.Assert(t, fleet.until(3500*time.Millisecond, stopped))
		assert.Assert(t, fleet.trials[order] > exposed)
		assert.Equal(t, fleet.stage("apps"), rollout.StageTrial)
		fleet.run(5 * time.Second)
		refused, served := fleet.members[0].refused, fleet.members[0].served
		fleet.run(time.Second)
		assert.Assert(t, fleet.members[0].refused > refused)
		assert.Equal(t, fleet.members[0].served, served)
		fleet.store.setDown(false)
		assert.Assert(t, fleet.until(time.Second, fleet.at("apps", rollout.StageRolledBack)))
		assert.Assert(t, fleet.until(patience, fleet.at(testService, rollout.StageCompleted)))
		fleet.check(t)
	})
}

// TestStoreDownWithoutOrder keeps the store away from daemons that have nothing to tell each other.
// None refuses; one that is cut off from them does.
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

// TestStoreTroubles lets the store be slow, lose answers after writes, and turn daemons away.
func TestStoreTroubles(t *testing.T) {
	troubles := map[string]func(*fleet){
		"slow":         func(f *fleet) { f.store.setDelay(800 * time.Millisecond) },
		"very slow":    func(f *fleet) { f.store.setDelay(1600 * time.Millisecond) },
		"lost answers": func(f *fleet) { f.store.loseAnswers = 100 },
		"turns all but two away": func(f *fleet) {
			for _, each := range f.members[:len(f.members)-2] {
				each.storeless.Store(true)
			}
			// Daemons are told what the others read.
			f.relayChecks = true
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				fleet := newQuietFleet(6, 7, testService)
				trouble(fleet)
				fleet.order(testService, newVersion, testDuration)
				assert.Assert(t, fleet.until(testDuration+patience, fleet.at(testService, rollout.StageCompleted)))
				assert.Assert(t, fleet.store.writes <= 8, "%d writes", fleet.store.writes)
				fleet.run(time.Second)
				fleet.check(t)
			})
		})
	}
}

// TestOrdersInARow replaces an order within its trial and within its shift, by another version and
// by the old one.
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
					assert.Assert(t, fleet.until(testDuration+patience, done), "%+v", fleet.store.standing(testService))
					assert.Equal(t, fleet.store.standing(testService).Stable, second)
					fleet.check(t)
				})
			})
		}
	}
}

// TestNothingToTry orders a version that no back end runs, and one whose time is over at once.
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

// TestAllDaemonsKilled kills all daemons in a stage, and starts them anew.
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
				assert.Assert(t, fleet.until(testDuration+patience, fleet.at(testService, rollout.StageCompleted)))
				fleet.check(t)
			})
		})
	}
}

// TestDaemonIsCutOff cuts a daemon off from everybody in the trial. It exposes nothing after a
// second, and the order is completed once it must have refused for longer than requests last.
func TestDaemonIsCutOff(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(10, 7, testService)
		fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, func() bool { return len(fleet.trials) > 0 }))
		cut := fleet.members[2]
		// It is cut off just before the shift, so that it goes on as in the trial.
		fleet.store.before = func(standing rollout.Standing, writer *member) {
			if standing.Stage == rollout.StageShift && writer != cut {
				cut.cut(1, true)
			}
		}
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageShift)))
		began, served := time.Now(), cut.served
		fleet.run(time.Second)
		assert.Assert(t, cut.served > served)
		// Nothing under way says nothing of what it may send a moment later.
		cut.rate = 0
		fleet.run(1500 * time.Millisecond)
		cut.rate = 0.3
		assert.Assert(t, fleet.until(patience, fleet.at(testService, rollout.StageCompleted)))
		took := time.Since(began)
		assert.Assert(t, took >= testLimit && took < testLimit+3*time.Second, "%v", took)
		fleet.run(time.Second)
		fleet.check(t)
	})
}

// TestUnreportedRequestsAreWaitedFor is the same where back ends don't report what is under way.
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
		assert.Assert(t, fleet.until(patience, fleet.at(testService, rollout.StageCompleted)))
		assert.Assert(t, time.Since(began) >= testLimit+longestRequest, "%v", time.Since(began))
		fleet.check(t)
	})
}

// TestPausedDaemonWakes pauses a daemon with requests that are chosen for and not yet sent, until
// after the order is completed.
func TestPausedDaemonWakes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		fleet := newQuietFleet(12, 7, testService)
		fleet.order(testService, newVersion, testDuration)
		assert.Assert(t, fleet.until(testDuration, fleet.at(testService, rollout.StageTrial)))
		fleet.run(2 * time.Second)
		paused := fleet.members[3]
		choices := paused.coordinator.Choose(testService, "/a", false)
		paused.pause(true)
		assert.Assert(t, fleet.until(testDuration+patience, fleet.at(testService, rollout.StageCompleted)))
		paused.pause(false)
		assert.Assert(t, !paused.coordinator.Stands(choices))
		assert.Assert(t, paused.coordinator.Choose(testService, "/a", false).Refused)
		fleet.run(2 * time.Second)
		assert.Equal(t, paused.coordinator.Choose(testService, "/a", false).Version, newVersion)
		fleet.check(t)
	})
}

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

// TestCompletionIsQuick measures the time from the shift to the completion where nobody is missing.
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

// TestVersionTurnsBadInShift lets a version turn bad within the shift.
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
		fleet.badness[newVersion] = 0.9
		assert.Assert(t, fleet.until(2*time.Second, fleet.at(testService, rollout.StageRolledBack)))
		fleet.run(time.Second)
		fleet.check(t)
	})
}

// TestOrdersBeforeTheFirstStanding gives two orders before the store takes the first standing: the
// second names the version that serves.
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
		assert.Assert(t, fleet.until(patience, func() bool { return fleet.stage(testService).Ended() && fleet.store.standing(testService).Order > 0 }))
		assert.Equal(t, fleet.store.standing(testService).Stable, oldVersion)
		fleet.check(t)
	})
}

// TestLostAnswerIsReadBack loses the answer to the writing of the shift, while nobody else reads the
// store.
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

// TestCollectorsStandIn has no daemon that reads for all, and kills the first two collectors.
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
		assert.Assert(t, fleet.until(patience, fleet.at(testService, rollout.StageCompleted)))
		fleet.check(t)
	})
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

// TestFirstStandingIsWrittenAtOnce has a store that goes away soon after the daemons have begun: by
// then it is written which version is stable, so that daemons that begin during the next order
// know it.
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

// TestAcknowledgementEndsWithItsDaemon kills a daemon that has acknowledged a shift. It begins
// anew by what another one tells that was paused and knows of no shift yet, and is cut off: until its
// confirmation is too old it sends to the stable version, whose back ends must be there.
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
		fleet.run(heardTime + 100*time.Millisecond)
		assert.Equal(t, fleet.stage(testService), rollout.StageShift)
		killed.start()
		killed.belief.software, killed.belief.confirmed = maps.Clone(paused.belief.software), paused.belief.confirmed
		assert.Equal(t, killed.belief.Software(testService).Standing.Stage, rollout.StageTrial)
		killed.cut(1, true)
		paused.Thaw()
		assert.Assert(t, fleet.until(patience, fleet.at(testService, rollout.StageCompleted)))
		fleet.run(faultTime)
		fleet.check(t)
	})
}
