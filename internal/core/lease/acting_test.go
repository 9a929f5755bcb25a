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
	testActWindow = testDuration / 2
	// testHandoverDelay must lie between actions of different daemons.
	testHandoverDelay = testDuration * 14 / 10
)

// TestActsOfHoldersAreSeparated runs holders whose clocks have different rates through pauses,
// lost calls, restarts, releases and outages. Actions of two daemons must always be separated by
// the handover delay, whether the previous lease expired, was released or was idle.
func TestActsOfHoldersAreSeparated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for _, one := range c.participants {
			one.machine.settings.ActWindow, one.machine.settings.HandoverDelay = testActWindow, testHandoverDelay
		}
		var lastActor identity.DaemonID
		lastAct := time.Duration(0)
		eager := true
		step := func(t *rapid.T, fates []fate) {
			c.round(t, fates)
			for index, one := range c.participants {
				now := c.now(one)
				if fates[index] == paused {
					continue
				}
				one.machine.SetActing(eager)
				if !eager || !one.machine.Grant().MayActAt(now) {
					continue
				}
				name := one.machine.settings.Holder
				if lastActor != "" && lastActor != name {
					assert.Assert(t, c.elapsed-lastAct >= testHandoverDelay, "actions of %s and %s are only %s apart", lastActor, name, c.elapsed-lastAct)
				}
				lastActor, lastAct = name, c.elapsed
				one.machine.RecordAction(now)
			}
			c.elapsed += testDuration / 25
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
				run(t, c.isolateHolder(fate(rapid.IntRange(1, int(fateCount)-1).Draw(t, "fate"))), 60)
			},
			"restart": func(t *rapid.T) {
				one := c.participants[rapid.IntRange(0, holders-1).Draw(t, "participant")]
				c.restart(one)
				one.machine.settings.ActWindow, one.machine.settings.HandoverDelay = testActWindow, testHandoverDelay
			},
			"want": func(t *rapid.T) {
				one := c.participants[rapid.IntRange(0, holders-1).Draw(t, "participant")]
				one.machine.Want(rapid.IntRange(0, 2).Draw(t, "want") > 0)
			},
			"idle":   func(*rapid.T) { eager = !eager },
			"outage": func(*rapid.T) { c.outage = !c.outage },
			"":       func(*rapid.T) {},
		})
	})
}

// TestOwnExpiryKeepsElapsedHandoverDelay has a holder that is still in its handover delay lose its
// grant because the table is slow, and acquire it again. The delay must not start over.
func TestOwnExpiryKeepsElapsedHandoverDelay(t *testing.T) {
	settings := Settings{
		Key: testKey, Holder: "two", Incarnation: 2, Duration: testDuration, SoleIncarnation: true,
		ActWindow: testActWindow, HandoverDelay: testHandoverDelay,
	}
	now := time.Unix(1_000_000, 0)
	machine := New(settings)
	machine.SetActing(true)
	left := Record{Holder: "one", Incarnation: 1, Token: 5, Duration: testDuration, Acting: true, Released: true, HandoverDelayLeft: testHandoverDelay}
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
	assert.Equal(t, first.ActFrom, now.Add(settings.handoverDelay()))

	now = now.Add(testDuration)
	assert.Assert(t, !machine.Grant().ValidAt(now))
	take(9)
	again := machine.Grant()
	assert.Assert(t, again.Token > first.Token)
	assert.Equal(t, again.ActFrom, first.ActFrom)
}

// TestTimeSinceReleaseCountsTowardsDelay acquires a released lease, and an expired one, some time
// after the row was seen. The new holder must wait only for the rest of the handover delay.
func TestTimeSinceReleaseCountsTowardsDelay(t *testing.T) {
	settings := Settings{
		Key: testKey, Holder: "two", Incarnation: 2, Duration: testDuration, ActWindow: testActWindow, HandoverDelay: testHandoverDelay,
	}
	now := time.Unix(1_000_000, 0)
	later := now.Add(3 * testDuration / 2)
	for _, left := range []Record{
		{Holder: "one", Token: 5, Duration: testDuration, Acting: true, Released: true, HandoverDelayLeft: testHandoverDelay},
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
		expected := settings.handoverDelay() - passed
		if !left.Released {
			expected = settings.delayAfterExpiry() - (passed - testDuration)
		}
		assert.Equal(t, machine.Grant().ActFrom.Sub(later), max(expected, 0))
	}
}
