package backendpool

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Sample sizes for choices.
const (
	// sampledPerDaemon divided by the number of daemons is the fraction of the candidates that a choice considers,
	// in addition to the prompt's home and holders. Many daemons that learn of each other's choices with a delay
	// would all pick the same idle back end, so each sees only some.
	sampledPerDaemon = 3
	// minSampled is the least number of candidates that a choice considers.
	minSampled = 2
	// polledSample is the number of candidates, in addition to the prompt's home and holders, whose current load is
	// queried: the least loaded of four is close to the least loaded of all. Seven gave no improvement with 16
	// daemons and 18 back ends.
	polledSample = 4
)

// Sample returns the hashes of the IDs of some back ends that may be suitable for a query, including the prompt's
// home and holders and excluding those sampled before. It ignores their load.
func (p *Pool) Sample(now time.Time, query Query, before []uint64) []uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	query.Limits, query.CandidateKeys = Limits{}, nil
	query = query.memoized()
	scope := p.scope(now, query)
	candidates, _ := p.candidates(now, query, scope)
	query.home = scope.home
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(candidate *entry) bool { return slices.Contains(before, candidate.key) })
	sampled := slices.Clone(sampleOf(candidates, polledSample))
	if query.Model != "" {
		sampled = withCacheHolders(sampled, candidates, p.withRegionalCache(query).memoized())
	}
	keys := make([]uint64, len(sampled))
	for index, found := range sampled {
		keys[index] = found.key
	}
	return keys
}

// sample returns some of the candidates, fewer the more daemons there are.
func (p *Pool) sample(candidates []*entry) []*entry {
	return sampleOf(candidates, max(sampledPerDaemon*len(candidates)/max(p.daemons, 1), minSampled))
}

// sampleOf returns a number of random candidates.
func sampleOf(candidates []*entry, count int) []*entry {
	if count >= len(candidates) {
		return candidates
	}
	sampled := slices.Clone(candidates)
	for index := range count {
		other := index + rand.IntN(len(sampled)-index)
		sampled[index], sampled[other] = sampled[other], sampled[index]
	}
	return sampled[:count]
}

// withCacheHolders adds the home and the holders of the query's shared prefix to the sample.
func withCacheHolders(sampled, candidates []*entry, query Query) []*entry {
	if len(sampled) == len(candidates) || query.SharedTokens == 0 {
		return sampled
	}
	home := homeAmong(candidates, query)
	for _, candidate := range candidates {
		cached := query.cached(candidate.version(query.Model))
		holds := len(cached) > 0 && cached[0].heldBy(candidate.key)
		if (candidate == home || holds) && !slices.Contains(sampled, candidate) {
			sampled = append(sampled, candidate)
		}
	}
	return sampled
}
