package backendpool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// wholeScope is up to how many back ends of a service are all looked at for a request.
	wholeScope = 256
	// drawnScope is how many of more are drawn, beside the prompt's home and holders, and widerScope how many where none of
	// these will do. All are looked at where none of those does: with 98 in a hundred unfit, in half a per cent of cases.
	drawnScope = 32
	widerScope = 256
)

// scope is the back ends that a request looks at.
type scope struct {
	entries []*entry
	// home is the prompt's home where not all back ends are looked at; nil is none, or to be found among the entries.
	home *entry
	// drawnFrom is the group that entries were drawn from, where there are others in it that might do; nil otherwise.
	drawnFrom *group
}

// scope returns those that a query names, all of its service where there are few, and some of many: what a request
// costs must not grow with the fleet. The caller holds the mutex.
func (p *Pool) scope(now time.Time, query Query) scope {
	of := p.listed(query)
	if of == nil {
		return scope{}
	}
	large := len(of.entries) > wholeScope
	var home *entry
	if large && query.Home != 0 {
		home = of.home(query.Home, func(found *entry) bool { return p.isSound(now, found, query) })
	}
	switch {
	case query.CandidateKeys != nil:
		return scope{entries: p.among(query), home: home}
	case !large:
		return scope{entries: of.entries}
	default:
		return scope{entries: p.draw(of, query, home, drawnScope), home: home, drawnFrom: of}
	}
}

// isSound tells whether a back end may get a query's request and nothing speaks against it but what is under way there.
// The caller holds the mutex.
func (p *Pool) isSound(now time.Time, found *entry, query Query) bool {
	p.visits++
	query.CandidateKeys = nil
	return allowed(now, found, query) && !found.onTrial(now) && !found.ejected(now) && found.leaving == stays && !p.refuses(now, found, false)
}

// among are the back ends that a query names, ordered by ID.
func (p *Pool) among(query Query) []*entry {
	named := make([]*entry, 0, len(query.CandidateKeys))
	for _, key := range query.CandidateKeys {
		if found := p.asked(key, query); found != nil {
			named = append(named, found)
		}
	}
	slices.SortFunc(named, byID)
	return slices.Compact(named)
}

// asked is the back end with a hash of its ID, if it is one of the service and region that a query asks for; nil
// otherwise.
func (p *Pool) asked(key uint64, query Query) *entry {
	found := p.byKey[key]
	if found == nil || found.backend.Service != query.Service || (query.Region != "" && p.RegionOf(found.backend.Zone) != query.Region) {
		return nil
	}
	return found
}

// draw returns a number of back ends of a group, with the home and the holders of a query's prompt.
func (p *Pool) draw(of *group, query Query, home *entry, count int) []*entry {
	p.draws++
	drawn := make([]*entry, 0, 2*count)
	take := func(found *entry) {
		if found != nil && found.drawn != p.draws {
			found.drawn = p.draws
			drawn = append(drawn, found)
		}
	}
	for range count {
		take(of.entries[rand.IntN(len(of.entries))])
	}
	take(home)
	for _, key := range p.holders(query) {
		take(p.asked(key, query))
	}
	return drawn
}

// holders are the hashes of the back ends that are known to hold the deepest part of a query's prompt, or to read it.
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

// homeAmong is the home of a query's prompt among candidates; nil where it has none, or it is not one of them.
func homeAmong(candidates []*entry, query Query) *entry {
	if query.home == nil {
		return highestRank(candidates, query.Home)
	}
	if slices.Contains(candidates, query.home) {
		return query.home
	}
	return nil
}

// compareRanks compares two back ends by how much a query's prompt belongs there.
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
