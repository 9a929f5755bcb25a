// Package leastcost picks the candidate with the least cost. Candidates whose
// costs differ by less than what the estimates can tell apart are ranked by
// rendezvous hashing on the prefix root, so that daemons which know nothing yet
// agree with those that do.
package leastcost

import (
	"github.com/lotusward/lotusward/internal/core/placement"
)

// Picker is the picker. ToleranceSeconds is the difference of costs that is
// taken as none.
type Picker struct {
	ToleranceSeconds float64
	// ToleranceShare is a further tolerance, as a share of the time that the best
	// candidate takes to compute uncached tokens.
	ToleranceShare float64
}

// Pick implements placement.Picker.
func (p Picker) Pick(query *placement.Query, candidates []placement.Candidate) int {
	cheapest := 0
	for index := range candidates {
		if candidates[index].Cost < candidates[cheapest].Cost {
			cheapest = index
		}
	}
	least := &candidates[cheapest]
	uncached := float64(query.PromptTokens - least.CachedTokens - least.ImportTokens)
	limit := least.Cost + p.ToleranceSeconds + p.ToleranceShare*uncached*least.SecondsPerToken
	best, bestScore := -1, uint64(0)
	for index := range candidates {
		if candidates[index].Cost > limit {
			continue
		}
		score := placement.Rank(query.Root, candidates[index].Key)
		if best < 0 || score > bestScore {
			best, bestScore = index, score
		}
	}
	return best
}
