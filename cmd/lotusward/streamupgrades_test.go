package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// buildOfOrigins is the last that records in no row which versions were listed, and buildOfRecords the last that doesn't say in its
// messages which back ends were asked for their incarnation.
const (
	buildOfOrigins = "d921f0b7"
	buildOfRecords = "c931f75d"
)

// stopTime is how long a daemon may take to stop in these plays before it is killed.
const stopTime = 800 * time.Millisecond

// upgradeAll replaces all daemons by ones of another build: killed at once, or stopped in turn.
func (f *killedFleet) upgradeAll(to string, inTurn bool) {
	f.build = programOf(f.t, to)
	if !inTurn {
		f.killAll()
		return
	}
	replaced := append([]*process(nil), f.daemons...)
	for index, ended := range replaced {
		ended.stop(f.t)
		time.AfterFunc(stopTime, func() { _ = ended.command.Process.Kill() })
		f.daemons[index] = f.daemonOf(f.build, ended.name, false)
		time.Sleep(500 * time.Millisecond)
	}
	f.awaitReady()
	close(f.restarted)
}

// upgradePlays are the builds that are upgraded from, and how.
func upgradePlays(t *testing.T, play func(t *testing.T, from string, inTurn bool)) {
	for name, from := range map[string]string{"without a record": buildOfOrigins, "with a record": buildOfRecords, "the present one": presentBuild} {
		for how, inTurn := range map[string]bool{"killed": false, "stopped in turn": true} {
			t.Run(name+", "+how, func(t *testing.T) { play(t, from, inTurn) })
		}
	}
}

// TestNoStreamChangesItsVersionInAnUpgrade guards against taking the only version that is listed after an upgrade for the one that
// began a stream, while a service moves from one version to another.
func TestNoStreamChangesItsVersionInAnUpgrade(t *testing.T) {
	upgradePlays(t, func(t *testing.T, from string, inTurn bool) {
		fleet := newKilledFleetOf(t, from)
		wait := fleet.take()
		fleet.moveToV2()
		fleet.upgradeAll(presentBuild, inTurn)
		taken := wait()
		mixed := 0
		for index := range taken {
			stream := &taken[index]
			if len(stream.events) > 0 && stream.mixed() && !stream.continuedBy(from) {
				mixed++
				t.Logf("mixed: %s: %q, refused %q", stream.name, stream.received, stream.refusals)
			}
		}
		resumed, wentOn, all := count(taken)
		t.Logf("%d resumed, %d went on, %d mixed, of which %d by the present build", resumed, wentOn, all, mixed)
		assert.Assert(t, resumed > 0)
		assert.Equal(t, mixed, 0, "streams with events of several software versions")
	})
}

// TestNoStreamChangesItsVersionAfterAnUpgrade guards against the same where all daemons were upgraded a moment before the service moves,
// and are killed during the move.
func TestNoStreamChangesItsVersionAfterAnUpgrade(t *testing.T) {
	upgradePlays(t, func(t *testing.T, from string, inTurn bool) {
		fleet := newKilledFleetOf(t, from)
		fleet.upgradeAll(presentBuild, inTurn)
		fleet.restarted = make(chan struct{})
		wait := fleet.take()
		fleet.moveToV2()
		fleet.killAll()
		resumed, wentOn, mixed := count(wait())
		t.Logf("%d resumed, %d went on, %d mixed", resumed, wentOn, mixed)
		assert.Equal(t, resumed, outlastingStreams)
		assert.Equal(t, mixed, 0, "streams with events of several software versions")
	})
}

// TestStreamsOfOneVersionGoOnInAnUpgrade guards against refusing streams of a service that never had another version.
func TestStreamsOfOneVersionGoOnInAnUpgrade(t *testing.T) {
	upgradePlays(t, func(t *testing.T, from string, inTurn bool) {
		fleet := newKilledFleetOf(t, from)
		fleet.addEngine("e-v1-2", "v1")
		wait := fleet.take()
		time.Sleep(time.Second)
		fleet.upgradeAll(presentBuild, inTurn)
		resumed, wentOn, mixed := count(wait())
		t.Logf("%d resumed, %d went on, %d mixed", resumed, wentOn, mixed)
		assert.Assert(t, resumed > 0)
		assert.Equal(t, wentOn, resumed)
		assert.Equal(t, mixed, 0)
	})
}
