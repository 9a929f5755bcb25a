package rollout

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// disturbance is a kind of fault or change that a step applies.
type disturbance int

const (
	disturbCut disturbance = iota
	disturbIsolate
	disturbHeal
	disturbKill
	disturbStart
	disturbPause
	disturbWake
	disturbStoreless
	disturbStoreDown
	disturbStoreUp
	disturbStoreSlow
	disturbLostAnswers
	disturbLoss
	disturbKillAll
	disturbOrder
	disturbTurnsBad
	disturbances
)

type step struct {
	pause  time.Duration
	daemon int
	what   disturbance
	target identity.SoftwareVersion
}

func drawSteps(t *rapid.T, daemons int) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			pause:  time.Duration(rapid.IntRange(10, 1500).Draw(t, "pause")) * time.Millisecond,
			daemon: rapid.IntRange(0, daemons-1).Draw(t, "daemon"),
			what:   disturbance(rapid.IntRange(0, int(disturbances)-1).Draw(t, "what")),
			target: rapid.SampledFrom([]identity.SoftwareVersion{oldVersion, newVersion, "v3", "bad"}).Draw(t, "target"),
		}
	}), 3, 25).Draw(t, "steps")
}

// disturb applies one step.
func (f *fleet) disturb(each step) {
	daemon := f.members[each.daemon]
	switch each.what {
	case disturbCut:
		daemon.cut(1, daemon.storeless.Load())
	case disturbIsolate:
		daemon.cut(2+each.daemon, true)
	case disturbHeal:
		daemon.cut(0, false)
	case disturbKill:
		daemon.kill()
	case disturbStart:
		if daemon.dead {
			daemon.start()
		}
	case disturbPause:
		if !daemon.dead {
			daemon.pause(true)
		}
	case disturbWake:
		daemon.pause(false)
	case disturbStoreless:
		daemon.storeless.Store(true)
	case disturbKillAll:
		for _, killed := range f.members {
			killed.kill()
			killed.start()
		}
	case disturbOrder:
		f.order(f.services[each.daemon%len(f.services)], each.target, testDuration)
	case disturbTurnsBad:
		f.failureRates[each.target] = 0.9
	default:
		f.disturbShared(each.what)
	}
}

// disturbShared applies a disturbance of the store or the network, which all daemons use.
func (f *fleet) disturbShared(what disturbance) {
	switch what {
	case disturbStoreDown:
		f.store.setDown(true)
	case disturbStoreUp:
		f.store.setDown(false)
		f.store.setDelay(0)
	case disturbStoreSlow:
		f.store.setDelay(900 * time.Millisecond)
	case disturbLostAnswers:
		f.store.loseAnswers = 2
	case disturbLoss:
		f.network.Lose(0.3)
	}
}

// repair ends all faults.
func (f *fleet) repair() {
	f.store.setDown(false)
	f.store.setDelay(0)
	f.store.loseAnswers = 0
	f.network.Lose(0.01)
	for _, each := range f.members {
		each.pause(false)
		each.cut(0, false)
		if each.dead {
			each.start()
		}
	}
}

// allEnded reports whether all orders have ended.
func (f *fleet) allEnded() bool {
	for _, service := range f.services {
		standing := f.store.standing(service)
		if order, found := f.store.orderOf(service); found && (order.Number != standing.Order || !standing.Stage.Ended()) {
			return false
		}
	}
	return true
}

// checkExposure checks that the requests to versions under trial stay within the daemons' credit.
func (f *fleet) checkExposure() {
	const used = 0.8 * testShare
	for order, exposed := range f.trialRequests {
		routes := 2
		if allowed := used*float64(f.stableAndTrialRequests[order]) + float64(routes*f.starts); float64(exposed) > allowed {
			f.violate("order %d: %d of %d requests exposed, %.1f are allowed", order, exposed, f.stableAndTrialRequests[order], allowed)
		}
	}
}

// TestRollOutsHoldUnderFaults runs orders while daemons are disconnected, killed and paused, and while the store
// is down, slow, turns daemons away or loses answers. The fleet checks with each request and write that no
// version gets requests without an order or after its back ends have ended, that no daemon exposes requests
// without enough collectors or after a stop that could have reached it, and that an order is only completed while
// no requests are in progress at the old back ends. After the faults all orders must end.
func TestRollOutsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count, seed := rapid.IntRange(7, 12).Draw(rt, "daemons"), rapid.Uint64().Draw(rt, "seed")
		services := []identity.ServiceName{testService, "apps"}[:rapid.IntRange(1, 2).Draw(rt, "services")]
		steps := drawSteps(rt, count)
		var played *fleet
		var ended bool
		synctest.Test(t, func(*testing.T) {
			played = newFleet(seed, count, services...)
			played.failureRates["bad"] = 0.9
			played.network.Lose(0.01)
			played.run(time.Second)
			played.order(testService, newVersion, testDuration)
			for _, each := range steps {
				played.run(each.pause)
				played.disturb(each)
			}
			played.repair()
			ended = played.until(2*testDuration+recoveryTime, played.allEnded)
			played.run(time.Second)
			played.settle()
			played.checkExposure()
		})
		if len(played.violations) > 0 || !ended {
			// A run isn't fully determined by its draws, so its details are logged.
			t.Logf("%d daemons, seed %d, steps %+v: %v; ended %t; %+v", count, seed, steps, played.violations, ended, played.store.history)
		}
		assert.DeepEqual(rt, played.violations, []string(nil))
		assert.Assert(rt, ended, "%+v", played.store.history)
	})
}
