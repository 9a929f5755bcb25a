package backendpool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxFullScan is the largest number of back ends of a service that are all examined for a request.
	maxFullScan = 256
	// sampledScope is the size of the sample examined for larger services, in addition to the prompt's home and
	// holders, and widerSample the size used if none of these is suitable. If that fails too, all are examined:
	// with 98 in a hundred unsuitable, in half a percent of cases.
	sampledScope = 32
	widerSample  = 256
)

// scope is the set of back ends examined for a request.
type scope struct {
	entries []*entry
	// home is the prompt's home if not all back ends are examined. Nil means that there is none, or that it is to
	// be found among the entries.
	home *entry
	// sampledFrom is the group that the entries were sampled from, if it has others that might be suitable; nil
	// otherwise.
	sampledFrom *group
}

// scope returns the back ends that a query names, all of a small service, or a sample of a large one: the cost of a
// request must not grow with the fleet. The caller holds the mutex.
func (p *Pool) scope(now time.Time, query Query) scope {
	grp := p.listed(query)
	if grp == nil {
		return scope{}
	}
	large := len(grp.entries) > maxFullScan
	var home *entry
	if large && query.Home != 0 {
		home = grp.home(query.Home, func(found *entry) bool { return p.isEligible(now, found, query) })
	}
	switch {
	case query.CandidateKeys != nil:
		return scope{entries: p.among(query), home: home}
	case !large:
		return scope{entries: grp.entries}
	default:
		return scope{entries: p.draw(grp, query, home, sampledScope), home: home, sampledFrom: grp}
	}
}

// isEligible reports whether a back end may get a query's request and nothing but its load counts against it. The
// caller holds the mutex.
func (p *Pool) isEligible(now time.Time, found *entry, query Query) bool {
	p.visits++
	query.CandidateKeys = nil
	return allowed(now, found, query) && !found.onTrial(now) && !found.ejected(now) && found.leaving == stays && !p.refuses(now, found, false)
}

// among returns the back ends that a query names, ordered by ID.
func (p *Pool) among(query Query) []*entry {
	named := make([]*entry, 0, len(query.CandidateKeys))
	for _, key := range query.CandidateKeys {
		if found := p.lookUp(key, query); found != nil {
			named = append(named, found)
		}
	}
	slices.SortFunc(named, byID)
	return slices.Compact(named)
}

// lookUp returns the back end with a hash of its ID, if it belongs to the query's service and region; nil
// otherwise.
func (p *Pool) lookUp(key uint64, query Query) *entry {
	found := p.byKey[key]
	if found == nil || found.backend.Service != query.Service || (query.Region != "" && p.RegionOf(found.backend.Zone) != query.Region) {
		return nil
	}
	return found
}

// draw returns a random sample of a group, plus the home and the holders of a query's prompt.
func (p *Pool) draw(grp *group, query Query, home *entry, count int) []*entry {
	p.draws++
	drawn := make([]*entry, 0, 2*count)
	take := func(found *entry) {
		if found != nil && found.drawn != p.draws {
			found.drawn = p.draws
			drawn = append(drawn, found)
		}
	}
	for range count {
		take(grp.entries[rand.IntN(len(grp.entries))])
	}
	take(home)
	for _, key := range p.holders(query) {
		take(p.lookUp(key, query))
	}
	return drawn
}

// holders returns the hashes of the back ends that are known to have the longest prefix of a query's prompt or to
// be computing it.
func (p *Pool) holders(query Query) []uint64 {
	if query.Cached == nil || query.SharedTokens == 0 {
		return nil
	}
	cached := query.cached(p.newest[query.Model])
	if len(cached) == 0 {
		return nil
	}
	return append(slices.Clone(cached[0].Read), cached[0].Reading...)
}

// homeAmong returns the home of a query's prompt among the candidates; nil if it has none or the home isn't a
// candidate.
func homeAmong(candidates []*entry, query Query) *entry {
	if query.home == nil {
		return highestRank(candidates, query.Home)
	}
	if slices.Contains(candidates, query.home) {
		return query.home
	}
	return nil
}

// compareRanks compares the affinity of a query's prompt to two back ends.
func compareRanks(left, right *entry, query Query) int {
	switch {
	case left == right:
		return 0
	case left == query.home:
		return 1
	case right == query.home:
		return -1
	default:
		return cmp.Compare(left.rank(query.Home), right.rank(query.Home))
	}
}
