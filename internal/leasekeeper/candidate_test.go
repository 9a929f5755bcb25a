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
