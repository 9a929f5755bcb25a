// Package firsttoken scores candidates by the expected time to the first token.
package firsttoken

import (
	"github.com/lotusward/lotusward/internal/core/placement"
)

// What a request costs others, in shares of the time to compute its uncached
// tokens.
const (
	// recomputeWeight is for the requests that come after: they wait as long for the
	// engine as this one computes.
	recomputeWeight = 1
	// reuseSeconds is the age at which every second block is not asked for again.
	reuseSeconds = 5
)

// Scorer is the scorer. All of its parts are in seconds.
type Scorer struct{}

// Score implements placement.Scorer. The candidate loses its import source when
// computing is cheaper than importing.
func (Scorer) Score(query *placement.Query, candidate *placement.Candidate) {
	uncached := max(1, query.PromptTokens-candidate.CachedTokens)
	compute := float64(uncached) * candidate.SecondsPerToken
	imported := float64(uncached-candidate.ImportTokens)*candidate.SecondsPerToken + candidate.ImportSeconds
	if candidate.ImportTokens > 0 && imported < compute {
		compute = imported
	} else {
		candidate.ImportFrom = ""
		candidate.ImportTokens = 0
	}
	candidate.Wait = candidate.DelaySeconds + candidate.AheadTokens*candidate.SecondsPerToken + compute
	candidate.Cost = candidate.Wait + recomputeWeight*compute +
		lossProbability(candidate)*float64(uncached)*candidate.SecondsPerToken
}

// lossProbability is the chance that a block is computed again since another took
// its place: that of the blocks which the request pushes out, or of its own, which
// are pushed out in their turn. Nothing is lost while the back end has room.
func lossProbability(candidate *placement.Candidate) float64 {
	if candidate.TurnoverSeconds == 0 {
		return 0
	}
	return max(candidate.ReuseProbability, reuseSeconds/(reuseSeconds+candidate.TurnoverSeconds))
}
