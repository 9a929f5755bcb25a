package backendpool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Costs of a choice. The unit is the time that a back end takes to read one token
// of a prompt, so that back ends of any speed are compared alike.
const (
	// moveCost is the cost of taking one token's cache from elsewhere.
	moveCost = 0.3
	// unknownHomeCost and unknownElsewhereCost are the costs of a token of which no
	// holder is known. Most likely it has to be read wherever the prompt goes; if
	// anyone holds it, or is just reading it for another daemon, it is its home.
	unknownHomeCost      = 0.7
	unknownElsewhereCost = 1.2
	// movableHomeCost is the cost at the home of a token that can be moved there if
	// the home doesn't hold it after all.
	movableHomeCost = 0.1
	// leastFarShare of what is moved from another region must be held nowhere nearer.
	leastFarShare = 0.5
	// oldWeightsFactor raises the cost of parts that a back end with older weights
	// would have to get: it will drop them soon.
	oldWeightsFactor = 2
	// RequestCost is what a request under way adds beside the prompt that is read: its answer
	// takes a part of each step.
	RequestCost = 60
	// otherZoneCost is the cost of a back end in another zone, for requests without
	// a prompt: in requests under way.
	otherZoneCost = 1.5
	// equalShare of the least cost is as good: the higher rank wins.
	equalShare = 0.1
	equalSlack = 100
	// SlowTokenTime is how long a slow, loaded back end may take to read a token.
	SlowTokenTime = 60 * time.Microsecond
	// leastBeginTime is how long a request takes at least to begin, on the way and
	// in the back end's present step.
	leastBeginTime = 300 * time.Millisecond
	// farWayTime is added to it for a back end in another region, some 20 ms away.
	farWayTime = 50 * time.Millisecond
)

// Placement is how a back end is chosen.
type Placement string

// The placements. All but the usual one are baselines to measure it against.
const (
	PlacementSoonest     Placement = ""
	PlacementRandom      Placement = "random"
	PlacementLeastLoaded Placement = "least-loaded"
)

// SetPlacement changes how back ends are chosen. It must be set before the pool is used.
func (p *Pool) SetPlacement(placement Placement) { p.placement = placement }

// choose picks one of at least one candidates, and returns the work that the
// request brings there, in tokens.
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
	return chooseSoonest(withKnown(sampled, candidates, query), query)
}

// chooseForTrial takes a random one of the back ends that are not busy. Chosen by load, or by where
// a prompt is cached, nearly all requests of a trial would go to one of them, and what one back end
// does says little about its version.
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

// chooseSoonest takes the back end that should answer soonest: the work that waits
// there, and what the prompt adds. Among those about as good, the one that ranks
// highest for the prompt wins, so that daemons agree without talking.
func chooseSoonest(candidates []*entry, query Query) (*entry, float64) {
	missing := missingCosts(candidates, query)
	costs := make([]float64, len(candidates))
	for index, candidate := range candidates {
		costs[index] = candidate.waiting() + missing[index]
	}
	bound := slices.Min(costs)*(1+equalShare) + equalSlack
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

// missingCosts returns the cost of the prompt's shared parts at each candidate.
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

// newestVersion is the newest version of the query's model at a sound back end that the query
// may go to, whether it is busy or not. Of a large service it is the newest that any back end was known to hold.
func (p *Pool) newestVersion(now time.Time, query Query) uint64 {
	all := p.entriesOf(query.Service)
	if len(all) > wholeScope {
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

// waiting is the cost of what is under way at a back end.
func (e *entry) waiting() float64 {
	reading := e.reading + e.others.Reading
	return reading + RequestCost*(float64(e.inFlight)+e.others.InFlight)
}

// slowestBegin is how long a request may take to begin at a back end that is slow,
// with the prompt not cached.
func (e *entry) slowestBegin(query Query) time.Duration {
	tokens := e.waiting() + float64(query.SharedTokens+query.OwnTokens)
	least := leastBeginTime
	if e.far {
		least += farWayTime
	}
	return least + time.Duration(tokens*float64(SlowTokenTime))
}

// rank is the back end's weight for a prompt in rendezvous hashing. It goes by the name: a back end that
// starts again stays the home of its prompts, so that no other home changes.
func (e *entry) rank(home uint64) uint64 { return rendezvous.Score(home, e.name) }

// missing is the cost of the prompt's shared parts at a candidate: of what can be
// moved there, and of what must be read. Parts that are only being read elsewhere
// cannot be moved yet. A likely home may hold them though nobody told so.
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

// highestRank returns the candidate that ranks highest for a prompt, or nil
// without a prompt's home.
func highestRank(candidates []*entry, home uint64) *entry {
	if home == 0 {
		return nil
	}
	return slices.MaxFunc(candidates, func(left, right *entry) int {
		return cmp.Compare(left.rank(home), right.rank(home))
	})
}

// chooseLeastLoaded takes the back end with the fewest requests under way, and
// prefers the own zone.
func (p *Pool) chooseLeastLoaded(candidates []*entry) *entry {
	return slices.MinFunc(candidates, func(left, right *entry) int {
		return cmp.Compare(p.requests(left), p.requests(right))
	})
}

// requests is the number of requests under way, with the cost of another zone.
func (p *Pool) requests(candidate *entry) float64 {
	count := float64(candidate.inFlight) + candidate.others.InFlight
	if candidate.backend.Zone != p.zone {
		return count + otherZoneCost
	}
	return count
}
