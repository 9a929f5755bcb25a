package outcome

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// attempt is what really happened, and what the daemon could observe of it.
type attempt struct {
	ran      bool
	evidence Evidence
}

// drawAttempt draws an attempt whose evidence is consistent with what happened.
func drawAttempt(t *rapid.T) attempt {
	// Most attempts are inconclusive, since those are where a wrong rule shows.
	evidence := rapid.SampledFrom([]Evidence{
		NotDispatched, Unreached, DeclaredNotRun, Answered, Sent, Sent, Sent, Sent,
	}).Draw(t, "evidence")
	ran := evidence == Answered
	if evidence == Sent {
		ran = rapid.Bool().Draw(t, "ran")
	}
	return attempt{ran: ran, evidence: evidence}
}

// TestHistoryIsTruthful compares the run state with what really happened over all attempts, and
// dispatches a request that must be executed at most once as often as permitted.
func TestHistoryIsTruthful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		var history History
		runs := 0
		for range rapid.IntRange(0, 6).Draw(t, "attempts") {
			if !history.MayDispatch(repeatable) {
				break
			}
			made := drawAttempt(t)
			history.Record(made.evidence)
			if made.ran {
				runs++
			}
		}
		switch history.RunState() {
		case identity.RunStateNotRun:
			assert.Equal(t, runs, 0)
		case identity.RunStateRan:
			assert.Assert(t, runs > 0)
		}
		assert.Assert(t, repeatable || runs <= 1)
	})
}

// TestRefusalWithoutStateIsUnknown checks that only a valid run state in a rejection is trusted.
func TestRefusalWithoutStateIsUnknown(t *testing.T) {
	assert.Equal(t, FromRefusal("").RunState(), identity.RunStateUnknown)
	assert.Equal(t, FromRefusal("no_run").RunState(), identity.RunStateUnknown)
	assert.Equal(t, FromRefusal(identity.RunStateNotRun).RunState(), identity.RunStateNotRun)
}
