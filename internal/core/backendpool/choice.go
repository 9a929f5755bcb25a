package backendpool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Costs in choosing a back end. The unit is the time in which a back end processes one prompt token, so that costs
// compare across back ends of any speed.
const (
	// moveCost is the cost of transferring the cache of one token.
	moveCost = 0.3
	// unknownHomeCost and unknownElsewhereCost are the costs of a token that no back end is known to have cached.
	// It most likely has to be computed wherever the prompt goes. If any back end has it, or is computing it for
	// another daemon, it is the prompt's home.
	unknownHomeCost      = 0.7
	unknownElsewhereCost = 1.2
	// movableHomeCost is the cost at the prompt's home of a token that can be transferred there if the home doesn't
	// have it after all.
	movableHomeCost = 0.1
	// minFarShare is the least share of a transfer from another region that must be unavailable in the own one.
	minFarShare = 0.5
	// oldWeightsFactor raises the cost of prefixes that a back end with older weights would have to obtain: it will
	// soon drop them.
	oldWeightsFactor = 2
	// RequestCost is the cost of a request in flight beyond its prefill: its decoding takes a part of each step.
	RequestCost = 60
	// otherZoneCost is the penalty of a back end in another zone for requests without a prompt, in requests in
	// flight.
	otherZoneCost = 1.5
	// tieFraction is the margin over the least cost within which costs count as equal, and the higher rank wins.
	tieFraction = 0.1
	tieSlack    = 100
	// SlowTokenTime is how long a slow, loaded back end may take to process one prompt token.
	SlowTokenTime = 60 * time.Microsecond
	// minStartDelay is the least time until a request starts: network latency and the back end's current step.
	minStartDelay = 300 * time.Millisecond
	// farRegionDelay is added to minStartDelay for a back end in another region, some 20 ms away.
	farRegionDelay = 50 * time.Millisecond
)

// Placement is the policy for choosing a back end.
type Placement string

// The placement policies. All but the default are baselines for measurements.
const (
	PlacementSoonest     Placement = ""
	PlacementRandom      Placement = "random"
	PlacementLeastLoaded Placement = "least-loaded"
)

// SetPlacement sets the placement policy. It must be called before the pool is used.
func (p *Pool) SetPlacement(placement Placement) { p.placement = placement }

// choose picks one of at least one candidates, and returns the work that the request adds there, in tokens.
func (p *Pool) choose(candidates []*entry, query Query) (*entry, float64) {
	switch p.placement {
	case PlacementRandom:
		return candidates[rand.IntN(len(candidates))], float64(query.OwnTokens)
	case PlacementLeastLoaded:
		return p.chooseLeastLoaded(candidates), float64(query.OwnTokens)
	}
	if query.Trial {
		return chooseForTrial(candidates, query)
	}
	sampled := candidates
	if query.CandidateKeys == nil {
		sampled = p.sample(candidates)
	}
	if query.Model == "" {
		return p.chooseLeastLoaded(sampled), 0
	}
	return chooseSoonest(withCacheHolders(sampled, candidates, query), query)
}

// chooseForTrial picks a random back end among those that aren't busy. Choosing by load or cached prefixes would
// send nearly all requests of a trial to one back end, whose results say little about its software version.
func chooseForTrial(candidates []*entry, query Query) (*entry, float64) {
	free := slices.DeleteFunc(slices.Clone(candidates), func(candidate *entry) bool { return candidate.busy(query) })
	if len(free) == 0 {
		free = candidates
	}
	chosen := rand.IntN(len(free))
	if query.Model == "" {
		return free[chosen], 0
	}
	return free[chosen], missingCosts(free, query)[chosen] + float64(query.OwnTokens)
}

// chooseSoonest picks the back end with the least expected time to first token: its pending work plus the work that
// the prompt adds. Among those within the tie margin, the one with the highest rendezvous rank for the prompt wins,
// so that daemons agree without coordination.
func chooseSoonest(candidates []*entry, query Query) (*entry, float64) {
	missing := missingCosts(candidates, query)
	costs := make([]float64, len(candidates))
	for index, candidate := range candidates {
		costs[index] = candidate.waiting() + missing[index]
	}
	bound := slices.Min(costs)*(1+tieFraction) + tieSlack
	best := -1
	for index, candidate := range candidates {
		if costs[index] > bound {
			continue
		}
		if best < 0 || compareRanks(candidate, candidates[best], query) > 0 {
			best = index
		}
	}
	return candidates[best], missing[best] + float64(query.OwnTokens)
}

// missingCosts returns the cost of the uncached part of the shared prefix at each candidate.
func missingCosts(candidates []*entry, query Query) []float64 {
	home := homeAmong(candidates, query)
	costs := make([]float64, len(candidates))
	for index, candidate := range candidates {
		version := candidate.version(query.Model)
		cached := query.cached(version)
		costs[index] = missing(candidate, candidate == home && !cached.known(), cached, query.SharedTokens)
		if version < query.newest {
			costs[index] = costs[index] * oldWeightsFactor
		}
	}
	return costs
}

// newestVersion returns the newest version of the query's model at any healthy back end that the query admits, busy
// or not. For a large service it returns the newest version that any back end is known to have held.
func (p *Pool) newestVersion(now time.Time, query Query) uint64 {
	all := p.entriesOf(query.Service)
	if len(all) > maxFullScan {
		return p.newest[query.Model]
	}
	newest := uint64(0)
	p.visits += uint64(len(all))
	for _, found := range all {
		if query.admits(found) && !found.ejected(now) && found.leaving != leavesNow && !found.isDraining() {
			newest = max(newest, found.version(query.Model))
		}
	}
	return newest
}

// waiting returns the cost of the load at a back end.
func (e *entry) waiting() float64 {
	reading := e.reading + e.others.Reading
	return reading + RequestCost*(float64(e.inFlight)+e.others.InFlight)
}

// worstCaseStart returns how long a request may take to start at a slow back end that has nothing of the prompt
// cached.
func (e *entry) worstCaseStart(query Query) time.Duration {
	tokens := e.waiting() + float64(query.SharedTokens+query.OwnTokens)
	least := minStartDelay
	if e.far {
		least += farRegionDelay
	}
	return least + time.Duration(tokens*float64(SlowTokenTime))
}

// rank returns the back end's rendezvous weight for a prompt. It depends on the name alone: a back end that
// restarts remains the home of its prompts, and no other home changes.
func (e *entry) rank(home uint64) uint64 { return rendezvous.Score(home, e.name) }

// missing returns the cost of the uncached part of the shared prefix at a candidate: what can be transferred there,
// and what must be computed. Prefixes that are still being computed elsewhere can't be transferred yet. A likely
// home may have them cached although no daemon has reported so.
func missing(candidate *entry, likelyHome bool, cached Cached, sharedTokens int) float64 {
	perMoved, perRead := moveCost, unknownElsewhereCost
	if likelyHome {
		perMoved, perRead = movableHomeCost, unknownHomeCost
	}
	held := cached.held(candidate.key)
	movable := max(cached.movable()-held, 0)
	toRead := max(sharedTokens-held-movable, 0)
	return perMoved*float64(movable) + perRead*float64(toRead)
}

// highestRank returns the candidate with the highest rank for a prompt, or nil if the prompt has no home.
func highestRank(candidates []*entry, home uint64) *entry {
	if home == 0 {
		return nil
	}
	return slices.MaxFunc(candidates, func(left, right *entry) int {
		return cmp.Compare(left.rank(home), right.rank(home))
	})
}

// chooseLeastLoaded picks the back end with the fewest requests in flight, preferring the daemon's own zone.
func (p *Pool) chooseLeastLoaded(candidates []*entry) *entry {
	return slices.MinFunc(candidates, func(left, right *entry) int {
		return cmp.Compare(p.weightedInFlight(left), p.weightedInFlight(right))
	})
}

// weightedInFlight returns the number of requests in flight, plus a penalty for another zone.
func (p *Pool) weightedInFlight(candidate *entry) float64 {
	count := float64(candidate.inFlight) + candidate.others.InFlight
	if candidate.backend.Zone != p.zone {
		return count + otherZoneCost
	}
	return count
}
