package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

const (
	testActWithin = testDuration / 2
	// testRest must lie between acts of different daemons.
	testRest = testDuration * 14 / 10
)

// TestActsOfHoldersLieApart lets holders with clocks of different rates act under
// pauses, cuts, restarts, releases and outages: between acts of two daemons there is
// always a time, whether the one before lapsed, released or had been idle.
func TestActsOfHoldersLieApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for _, one := range w.participants {
			one.machine.settings.ActWindow, one.machine.settings.HandoverDelay = testActWithin, testRest
		}
		var lastActor identity.DaemonID
		lastAct := time.Duration(0)
		eager := true
		step := func(t *rapid.T, fates []fate) {
			w.round(t, fates)
			for index, one := range w.participants {
				now := w.now(one)
				if fates[index] == paused {
					continue
				}
				one.machine.SetActing(eager)
				if !eager || !one.machine.Grant().MayActAt(now) {
					continue
				}
				name := one.machine.settings.Holder
				if lastActor != "" && lastActor != name {
					assert.Assert(t, w.elapsed-lastAct >= testRest, "acts of %s and %s lie %s apart", lastActor, name, w.elapsed-lastAct)
				}
				lastActor, lastAct = name, w.elapsed
				one.machine.RecordAction(now)
			}
			w.elapsed += testDuration / 25
		}
		run := func(t *rapid.T, fates []fate, count int) {
			for range count {
				step(t, fates)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":   func(t *rapid.T) { run(t, make([]fate, holders), rapid.IntRange(1, 40).Draw(t, "count")) },
			"fates": func(t *rapid.T) { run(t, drawFates(t), rapid.IntRange(1, 60).Draw(t, "count")) },
			"isolate": func(t *rapid.T) {
				run(t, w.isolateHolder(fate(rapid.IntRange(1, int(fateCount)-1).Draw(t, "fate"))), 60)
			},
			"restart": func(t *rapid.T) {
				one := w.participants[rapid.IntRange(0, holders-1).Draw(t, "participant")]
				w.restart(one)
				one.machine.settings.ActWindow, one.machine.settings.HandoverDelay = testActWithin, testRest
			},
			"want": func(t *rapid.T) {
				one := w.participants[rapid.IntRange(0, holders-1).Draw(t, "participant")]
				one.machine.Want(rapid.IntRange(0, 2).Draw(t, "want") > 0)
			},
			"idle":   func(*rapid.T) { eager = !eager },
			"outage": func(*rapid.T) { w.outage = !w.outage },
			"":       func(*rapid.T) {},
		})
	})
}

// TestOwnLapseDoesNotStartTheWaitAnew lets a holder that waits because of the one before
// it lose its grant to a slow table and take it back: what it has waited counts.
func TestOwnLapseDoesNotStartTheWaitAnew(t *testing.T) {
	settings := Settings{
		Key: testKey, Holder: "two", Incarnation: 2, Duration: testDuration, SoleIncarnation: true,
		ActWindow: testActWithin, HandoverDelay: testRest,
	}
	now := time.Unix(1_000_000, 0)
	machine := New(settings)
	machine.SetActing(true)
	left := Record{Holder: "one", Incarnation: 1, Token: 5, Duration: testDuration, Acting: true, Released: true, HandoverDelayLeft: testRest}
	assert.Assert(t, machine.Tick(now) != nil)
	assert.NilError(t, machine.ReadDone(now, []port.Row{{Key: testKey, Value: left.encode(), Version: 7}}, nil))
	take := func(version uint64) {
		t.Helper()
		_, commits := machine.Tick(now).(Commit)
		assert.Assert(t, commits)
		assert.NilError(t, machine.CommitDone(now, []port.Row{{Key: testKey, Version: version}}, nil))
	}
	take(8)
	first := machine.Grant()
	assert.Equal(t, first.ActFrom, now.Add(settings.rest()))

	now = now.Add(testDuration)
	assert.Assert(t, !machine.Grant().ValidAt(now))
	take(9)
	again := machine.Grant()
	assert.Assert(t, again.Token > first.Token)
	assert.Equal(t, again.ActFrom, first.ActFrom)
}

// TestTimeSinceTheReleaseCounts takes a released row, and one that lapsed, a while after they
// were seen: the new holder waits for what is left of the rest only.
func TestTimeSinceTheReleaseCounts(t *testing.T) {
	settings := Settings{
		Key: testKey, Holder: "two", Incarnation: 2, Duration: testDuration, ActWindow: testActWithin, HandoverDelay: testRest,
	}
	now := time.Unix(1_000_000, 0)
	later := now.Add(3 * testDuration / 2)
	for _, left := range []Record{
		{Holder: "one", Token: 5, Duration: testDuration, Acting: true, Released: true, HandoverDelayLeft: testRest},
		{Holder: "one", Token: 5, Duration: testDuration, Acting: true},
	} {
		machine := New(settings)
		machine.SetActing(true)
		assert.Assert(t, machine.Tick(now) != nil)
		assert.NilError(t, machine.ReadDone(now, []port.Row{{Key: testKey, Value: left.encode(), Version: 7}}, nil))
		_, commits := machine.Tick(later).(Commit)
		assert.Assert(t, commits)
		assert.NilError(t, machine.CommitDone(later, []port.Row{{Key: testKey, Version: 8}}, nil))
		passed := later.Sub(now)
		expected := settings.rest() - passed
		if !left.Released {
			expected = settings.restAfterLapse() - (passed - testDuration)
		}
		assert.Equal(t, machine.Grant().ActFrom.Sub(later), max(expected, 0))
	}
}
