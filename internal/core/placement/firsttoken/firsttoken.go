// Package firsttoken scores candidates by the expected time to the first token.
package firsttoken

import (
	"github.com/lotusward/lotusward/internal/core/placement"
)

// RecomputeWeight is how much the time for uncached tokens counts beside the
// wait that it causes to the request itself: it is taken from the requests that
// come after. The value is that of the clairvoyant policy in the experiments.
const RecomputeWeight = 0.25

// Costs of a KV import, until one engine's are known better.
const (
	// ImportSecondsPerToken is the time to move one token's KV.
	ImportSecondsPerToken = 10e-6
	// ImportSetupSeconds is the time of an import beside its size.
	ImportSetupSeconds = 0.02
)

// Scorer is the scorer. All of its parts are in seconds.
type Scorer struct{}

// Score implements placement.Scorer. The candidate loses its import source when
// computing is cheaper than importing.
func (Scorer) Score(query *placement.Query, candidate *placement.Candidate) {
	uncached := max(1, query.PromptTokens-candidate.CachedTokens)
	compute := float64(uncached) * candidate.SecondsPerToken
	if candidate.ImportTokens > 0 {
		imported := float64(uncached-candidate.ImportTokens)*candidate.SecondsPerToken + importSeconds(candidate.ImportTokens)
		if imported < compute {
			compute = imported
		} else {
			candidate.ImportFrom = ""
			candidate.ImportTokens = 0
		}
	}
	candidate.Wait = candidate.DelaySeconds + candidate.AheadTokens*candidate.SecondsPerToken + compute
	candidate.Cost = candidate.Wait + RecomputeWeight*compute + compute*lossProbability(candidate)
}

const reuseSeconds = 5

func lossProbability(candidate *placement.Candidate) float64 {
	if candidate.TurnoverSeconds == 0 {
		return 0
	}
	return reuseSeconds / (reuseSeconds + candidate.TurnoverSeconds)
}

// evictionSeconds is the time that recomputing will take of what the engine
// evicts for the request's uncached tokens.
func evictionSeconds(uncached int, candidate *placement.Candidate) float64 {
	if candidate.FreeTokens < 0 {
		return 0
	}
	evicted := max(0, uncached-candidate.FreeTokens)
	return candidate.ReuseProbability * float64(evicted) * candidate.SecondsPerToken
}

func importSeconds(tokens int) float64 {
	return ImportSetupSeconds + float64(tokens)*ImportSecondsPerToken
}
