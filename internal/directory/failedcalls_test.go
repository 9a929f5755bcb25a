package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/logging"
)

// Timing of the tests of disturbances.
const (
	testSteady = time.Second
	testQuiet  = 4 * time.Second
)

// confirmedDaemon returns a daemon that last reached the store, or heard of one that did, at a time.
func confirmedDaemon(at time.Time) *Directory {
	made := New(Options{
		Pool: backendpool.New("a"), Log: logging.Discard(), Started: at.Add(-time.Minute), SteadyTime: testSteady, QuietTime: testQuiet,
	})
	made.confirm(at)
	return made
}

// failCalls reports two failed calls that began one after the other and ended at a time.
func failCalls(daemon *Directory, began, ended time.Time) {
	daemon.NoteFailedCall(FailedCall{Began: began, Ended: ended})
	daemon.NoteFailedCall(FailedCall{Began: began.Add(time.Millisecond), Ended: ended})
}

// TestFailedCallsOfOneDaemonAreNoDisturbance guards against taking a daemon's own failures for the store's: another
// daemon reached the store after the calls began, or shortly before.
func TestFailedCallsOfOneDaemonAreNoDisturbance(t *testing.T) {
	confirmed := time.Now()
	daemon := confirmedDaemon(confirmed)
	failCalls(daemon, confirmed.Add(-time.Second), confirmed.Add(2*testQuiet))
	failCalls(daemon, confirmed.Add(time.Second), confirmed.Add(testQuiet-time.Millisecond))
	assert.Assert(t, daemon.SteadySince().IsZero())
}

// TestStoreThatNobodyReachesIsDisturbed checks that a disturbance counts from the start of the last failed call.
func TestStoreThatNobodyReachesIsDisturbed(t *testing.T) {
	confirmed := time.Now()
	daemon := confirmedDaemon(confirmed)
	last := confirmed.Add(testQuiet)
	failCalls(daemon, last.Add(-time.Millisecond), last.Add(time.Second))
	assert.Equal(t, daemon.SteadySince(), last.Add(testSteady))
	failCalls(daemon, last.Add(-time.Second), last.Add(time.Second))
	assert.Equal(t, daemon.SteadySince(), last.Add(testSteady))
}

// TestStoreThatSaysSoIsDisturbed checks that refused calls count at once, even if the store serves other daemons.
func TestStoreThatSaysSoIsDisturbed(t *testing.T) {
	confirmed := time.Now()
	daemon := confirmedDaemon(confirmed)
	for range 2 {
		daemon.NoteFailedCall(FailedCall{Began: confirmed.Add(-time.Millisecond), Ended: confirmed, Refused: true})
	}
	assert.Equal(t, daemon.SteadySince(), confirmed.Add(testSteady-time.Millisecond))
}

// TestStarterKnowsNoDisturbanceOfBefore guards against counting the time before a daemon's start as time in which
// no daemon reached the store.
func TestStarterKnowsNoDisturbanceOfBefore(t *testing.T) {
	started := time.Now()
	daemon := New(Options{
		Pool: backendpool.New("a"), Log: logging.Discard(), Started: started, SteadyTime: testSteady, QuietTime: testQuiet,
	})
	failCalls(daemon, started.Add(time.Second), started.Add(testQuiet-time.Millisecond))
	assert.Assert(t, daemon.SteadySince().IsZero())
	failCalls(daemon, started.Add(time.Second), started.Add(testQuiet))
	assert.Assert(t, !daemon.SteadySince().IsZero())
}

// TestPausedDaemonTakesNoStoreForDisturbed guards against a false disturbance after the process was paused until
// its calls failed, whether the failed calls or the clock check come first.
func TestPausedDaemonTakesNoStoreForDisturbed(t *testing.T) {
	paused := time.Now()
	daemon := confirmedDaemon(paused)
	daemon.noteAwake(paused)
	wakes := paused.Add(2 * testQuiet)
	failCalls(daemon, paused.Add(time.Millisecond), wakes)
	daemon.noteAwake(wakes)
	failCalls(daemon, paused.Add(time.Millisecond), wakes.Add(time.Millisecond))
	assert.Assert(t, daemon.SteadySince().IsZero())
	for at := wakes; at.Before(wakes.Add(testQuiet)); at = at.Add(repeatInterval) {
		daemon.noteAwake(at)
	}
	failCalls(daemon, wakes.Add(time.Second), wakes.Add(testQuiet))
	assert.Assert(t, !daemon.SteadySince().IsZero())
}
