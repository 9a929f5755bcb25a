package leasekeeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFewCandidatesAmongMany checks that the number of candidates stays near the expected one, that they change over
// time, and that a holder is always a candidate.
func TestFewCandidatesAmongMany(t *testing.T) {
	const daemons = 400
	candidates := make([]*Candidate, daemons)
	for index := range candidates {
		candidates[index] = &Candidate{Count: func() int { return daemons }, Held: func() bool { return index == 0 }}
	}
	ever := map[int]bool{}
	now := time.Unix(1_000_000, 0)
	for range 200 {
		now = now.Add(redrawInterval)
		present := 0
		for index, candidate := range candidates {
			if candidate.Eligible(now) {
				present++
				ever[index] = true
			}
		}
		assert.Assert(t, candidates[0].Eligible(now))
		assert.Assert(t, present < 8*expectedCandidates, "%d candidates", present)
	}
	assert.Assert(t, len(ever) > daemons/2, "only %d daemons were ever candidates", len(ever))
}

// TestAllAreCandidatesAmongFew checks that every daemon of a small deployment is a candidate.
func TestAllAreCandidatesAmongFew(t *testing.T) {
	candidate := &Candidate{Count: func() int { return expectedCandidates }, Held: func() bool { return false }}
	assert.Assert(t, candidate.Eligible(time.Now()))
}

// TestCandidatesHaveRoom checks that daemons with nine times the capacity are drawn more often, that the number of
// candidates stays near the expected one, and that some of the other daemons are drawn in case all large ones have
// failed.
func TestCandidatesHaveRoom(t *testing.T) {
	const daemons, large = 76, 12
	const all = large*9 + (daemons - large)
	candidates := make([]*Candidate, daemons)
	for index := range candidates {
		share := 1.0 / all
		if index < large {
			share *= 9
		}
		candidates[index] = &Candidate{
			Count: func() int { return daemons }, Share: func() float64 { return share }, Held: func() bool { return false },
		}
	}
	now := time.Unix(1_000_000, 0)
	const rounds = 400
	drawnLarge, drawnSmall := 0, 0
	for range rounds {
		now = now.Add(2 * redrawInterval)
		for index, candidate := range candidates {
			switch drawn := candidate.Eligible(now); {
			case drawn && index < large:
				drawnLarge++
			case drawn:
				drawnSmall++
			}
		}
	}
	perRound := float64(drawnLarge+drawnSmall) / rounds
	assert.Assert(t, perRound > expectedCandidates*0.8 && perRound < expectedCandidates*1.3, "%v candidates", perRound)
	assert.Assert(t, float64(drawnLarge)/rounds > 2.5, "%d with more capacity", drawnLarge)
	assert.Assert(t, float64(drawnSmall)/rounds > 1.5, "%d with less capacity", drawnSmall)
}

// TestLittleRoomIsSomeRoom checks that a daemon without spare capacity is still drawn, in case the others have failed.
func TestLittleRoomIsSomeRoom(t *testing.T) {
	candidate := &Candidate{Count: func() int { return 76 }, Share: func() float64 { return 0 }, Held: func() bool { return false }}
	now, drawn := time.Unix(1_000_000, 0), 0
	for range 2000 {
		now = now.Add(2 * redrawInterval)
		if candidate.Eligible(now) {
			drawn++
		}
	}
	assert.Assert(t, drawn > 20, "drawn %d times", drawn)
}
