package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/logging"
)

// Times of daemons that may take the store for disturbed.
const (
	testSteady = time.Second
	testQuiet  = 4 * time.Second
)

// confirmedDaemon is one that last reached the store, or heard of who did, at a time.
func confirmedDaemon(at time.Time) *Directory {
	made := New(Options{
		Pool: backendpool.New("a"), Log: logging.Discard(), Started: at.Add(-time.Minute), SteadyTime: testSteady, QuietTime: testQuiet,
	})
	made.confirm(at)
	return made
}

// failCalls lets two calls fail that began one after the other and ended at a time.
func failCalls(daemon *Directory, began, ended time.Time) {
	daemon.NoteFailedCall(FailedCall{Began: began, Ended: ended})
	daemon.NoteFailedCall(FailedCall{Began: began.Add(time.Millisecond), Ended: ended})
}

// TestFailedCallsOfOneDaemonAreNoDisturbance lets calls fail that began before another daemon reached
// the store, or while it was reached a short time before.
func TestFailedCallsOfOneDaemonAreNoDisturbance(t *testing.T) {
	confirmed := time.Now()
	daemon := confirmedDaemon(confirmed)
	failCalls(daemon, confirmed.Add(-time.Second), confirmed.Add(2*testQuiet))
	failCalls(daemon, confirmed.Add(time.Second), confirmed.Add(testQuiet-time.Millisecond))
	assert.Assert(t, daemon.SteadySince().IsZero())
}

// TestStoreThatNobodyReachesIsDisturbed counts from the begin of the last call that failed.
func TestStoreThatNobodyReachesIsDisturbed(t *testing.T) {
	confirmed := time.Now()
	daemon := confirmedDaemon(confirmed)
	last := confirmed.Add(testQuiet)
	failCalls(daemon, last.Add(-time.Millisecond), last.Add(time.Second))
	assert.Equal(t, daemon.SteadySince(), last.Add(testSteady))
	failCalls(daemon, last.Add(-time.Second), last.Add(time.Second))
	assert.Equal(t, daemon.SteadySince(), last.Add(testSteady))
}

// TestStoreThatSaysSoIsDisturbed believes the store's own word at once, also where it serves other daemons.
func TestStoreThatSaysSoIsDisturbed(t *testing.T) {
	confirmed := time.Now()
	daemon := confirmedDaemon(confirmed)
	for range 2 {
		daemon.NoteFailedCall(FailedCall{Began: confirmed.Add(-time.Millisecond), Ended: confirmed, Refused: true})
	}
	assert.Equal(t, daemon.SteadySince(), confirmed.Add(testSteady-time.Millisecond))
}

// TestStarterKnowsNoDisturbanceOfBefore doesn't take the time before its start for one in which nobody
// reached the store.
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

// TestPausedDaemonTakesNoStoreForDisturbed pauses the process for so long that its calls fail: what it
// then hasn't heard tells nothing of the store, whether the calls or the look at the clock come first.
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
