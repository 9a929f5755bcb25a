package outcome

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// attempt is what truly happened, and what the daemon could see of it.
type attempt struct {
	ran      bool
	evidence Evidence
}

// draw makes an attempt whose evidence is honest: what the daemon can see rules
// nothing out that happened.
func draw(t *rapid.T) attempt {
	// Most are of the doubtful kind, where a wrong rule shows.
	evidence := rapid.SampledFrom([]Evidence{
		NotDispatched, Unreached, DeclaredNotRun, Answered, Sent, Sent, Sent, Sent,
	}).Draw(t, "evidence")
	ran := evidence == Answered
	if evidence == Sent {
		ran = rapid.Bool().Draw(t, "ran")
	}
	return attempt{ran: ran, evidence: evidence}
}

// TestHistoryTellsTheTruth compares the run state with what truly happened over
// all attempts, and lets a request that must run at most once be dispatched as
// often as allowed.
func TestHistoryTellsTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		var history History
		runs := 0
		for range rapid.IntRange(0, 6).Draw(t, "attempts") {
			if !history.MayDispatch(repeatable) {
				break
			}
			made := draw(t)
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

// TestRefusalWithoutStateIsUnknown trusts a back end only for what it says.
func TestRefusalWithoutStateIsUnknown(t *testing.T) {
	assert.Equal(t, FromRefusal("").RunState(), identity.RunStateUnknown)
	assert.Equal(t, FromRefusal("no_run").RunState(), identity.RunStateUnknown)
	assert.Equal(t, FromRefusal(identity.RunStateNotRun).RunState(), identity.RunStateNotRun)
}
