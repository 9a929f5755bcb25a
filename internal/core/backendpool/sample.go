package backendpool

import (
	"math/rand/v2"
	"slices"
	"time"
)

// How many candidates a choice looks at.
const (
	// sampledPerDaemon over the number of daemons is the share of the candidates that a
	// choice looks at, beside the prompt's home and holders. Many daemons that learn of
	// each other's choices late would all take the same idle back end; each sees some.
	sampledPerDaemon = 3
	// leastSampled is how many candidates a choice looks at in any case.
	leastSampled = 2
	// askedSample is how many candidates, beside the prompt's home and holders, are asked for
	// what is under way there: the least loaded of four is close to the least of all. Seven
	// gained nothing, among 16 daemons before 18 back ends.
	askedSample = 4
)

// Sample returns the hashes of the IDs of some back ends that may do for a query, the
// prompt's home and holders among them, without those that were sampled before. It doesn't
// heed what is under way there.
func (p *Pool) Sample(now time.Time, query Query, before []uint64) []uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	query.Limits, query.CandidateKeys = Limits{}, nil
	query = query.remembered()
	scope := p.scope(now, query)
	candidates, _ := p.candidates(now, query, scope)
	query.home = scope.home
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(candidate *entry) bool { return slices.Contains(before, candidate.key) })
	sampled := slices.Clone(sampleOf(candidates, askedSample))
	if query.Model != "" {
		sampled = withKnown(sampled, candidates, p.near(query).remembered())
	}
	keys := make([]uint64, len(sampled))
	for index, found := range sampled {
		keys[index] = found.key
	}
	return keys
}

// sample returns some of the candidates, the fewer the more daemons there are.
func (p *Pool) sample(candidates []*entry) []*entry {
	return sampleOf(candidates, max(sampledPerDaemon*len(candidates)/max(p.daemons, 1), leastSampled))
}

// sampleOf returns a number of the candidates at random.
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

// withKnown adds the candidates that the query's shared parts speak for: their home
// and their holders.
func withKnown(sampled, candidates []*entry, query Query) []*entry {
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
