package leasekeeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFewCandidatesAmongMany has about as many candidates at any time as expected,
// different ones over time, and never leaves out a holder.
func TestFewCandidatesAmongMany(t *testing.T) {
	const daemons = 400
	candidates := make([]*Candidate, daemons)
	for index := range candidates {
		candidates[index] = &Candidate{Count: func() int { return daemons }, Held: func() bool { return index == 0 }}
	}
	ever := map[int]bool{}
	now := time.Unix(1_000_000, 0)
	for range 200 {
		now = now.Add(candidateTime)
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

// TestAllAreCandidatesAmongFew leaves nobody out of a small deployment.
func TestAllAreCandidatesAmongFew(t *testing.T) {
	candidate := &Candidate{Count: func() int { return expectedCandidates }, Held: func() bool { return false }}
	assert.Assert(t, candidate.Eligible(time.Now()))
}

// TestCandidatesHaveRoom draws those with nine times the room more often, about as many at a time, and
// still some of the others where all with room are gone.
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
	withRoom, without := 0, 0
	for range rounds {
		now = now.Add(2 * candidateTime)
		for index, candidate := range candidates {
			switch drawn := candidate.Eligible(now); {
			case drawn && index < large:
				withRoom++
			case drawn:
				without++
			}
		}
	}
	perRound := float64(withRoom+without) / rounds
	assert.Assert(t, perRound > expectedCandidates*0.8 && perRound < expectedCandidates*1.3, "%v candidates", perRound)
	assert.Assert(t, float64(withRoom)/rounds > 2.5, "%d with room", withRoom)
	assert.Assert(t, float64(without)/rounds > 1.5, "%d without", without)
}

// TestLittleRoomIsSomeRoom draws a daemon of hardly any room too, for when the others are gone.
func TestLittleRoomIsSomeRoom(t *testing.T) {
	candidate := &Candidate{Count: func() int { return 76 }, Share: func() float64 { return 0 }, Held: func() bool { return false }}
	now, drawn := time.Unix(1_000_000, 0), 0
	for range 2000 {
		now = now.Add(2 * candidateTime)
		if candidate.Eligible(now) {
			drawn++
		}
	}
	assert.Assert(t, drawn > 20, "drawn %d times", drawn)
}
