package rollout

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// disturbance is a kind of step.
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

// disturb does one step.
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
		f.badness[each.target] = 0.9
	default:
		f.disturbShared(each.what)
	}
}

// disturbShared disturbs what all daemons use.
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

// mend ends all faults.
func (f *fleet) mend() {
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

// ended tells whether all orders have ended.
func (f *fleet) allEnded() bool {
	for _, service := range f.services {
		standing := f.store.standing(service)
		if order, found := f.store.orderOf(service); found && (order.Number != standing.Order || !standing.Stage.Ended()) {
			return false
		}
	}
	return true
}

// checkExposure checks that each daemon's credit bounds what went to versions under trial.
func (f *fleet) checkExposure() {
	const used = 0.8 * testShare
	for order, exposed := range f.trials {
		routes := 2
		if allowed := used*float64(f.bases[order]) + float64(routes*f.lives); float64(exposed) > allowed {
			f.violate("order %d: %d of %d requests exposed, %.1f are allowed", order, exposed, f.bases[order], allowed)
		}
	}
}

// TestRollOutsHoldUnderFaults gives orders among daemons that are cut off, killed and paused, with
// a store that is away, slow, turns daemons away and loses answers. At each sending and writing the
// fleet checks that no version gets requests without an order, or after it has ended, that a
// daemon exposes nothing without enough collectors or after a stop that it could have heard, and
// that an order is completed only while nothing is under way at the old back ends. Once the faults
// are over all orders end.
func TestRollOutsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count, seed := rapid.IntRange(7, 12).Draw(rt, "daemons"), rapid.Uint64().Draw(rt, "seed")
		services := []identity.ServiceName{testService, "apps"}[:rapid.IntRange(1, 2).Draw(rt, "services")]
		steps := drawSteps(rt, count)
		var played *fleet
		var ended bool
		synctest.Test(t, func(*testing.T) {
			played = newFleet(seed, count, services...)
			played.badness["bad"] = 0.9
			played.network.Lose(0.01)
			played.run(time.Second)
			played.order(testService, newVersion, testDuration)
			for _, each := range steps {
				played.run(each.pause)
				played.disturb(each)
			}
			played.mend()
			ended = played.until(2*testDuration+patience, played.allEnded)
			played.run(time.Second)
			played.settle()
			played.checkExposure()
		})
		if len(played.violations) > 0 || !ended {
			// A run is not wholly determined by its draws: what it showed is kept.
			t.Logf("%d daemons, seed %d, steps %+v: %v; ended %t; %+v", count, seed, steps, played.violations, ended, played.store.history)
		}
		assert.DeepEqual(rt, played.violations, []string(nil))
		assert.Assert(rt, ended, "%+v", played.store.history)
	})
}
