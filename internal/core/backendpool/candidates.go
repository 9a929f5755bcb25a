package backendpool

import (
	"slices"
	"time"
)

// candidates returns the back ends of a scope that can take the request. Ejected, refusing and leaving ones are
// included only if there are no others, and healthy ones without a free slot never. If all are busy or full, or the
// only ones left are on trial after a backoff, it returns none and their number. As long as one isn't busy, all
// healthy ones are candidates: processing a prompt from scratch may cost more than waiting where it is cached. If
// all sampled back ends are unsuitable, a larger sample is examined, and finally all of them.
func (p *Pool) candidates(now time.Time, query Query, scope scope) (found []*entry, busy int) {
	classified := p.classify(now, query, scope.entries)
	if grp := scope.sampledFrom; grp != nil && !classified.isConclusive() {
		classified = p.classify(now, query, p.draw(grp, query, scope.home, widerSample))
		if !classified.isConclusive() {
			classified = p.classify(now, query, grp.entries)
		}
	}
	return classified.best()
}

// classified groups back ends by their suitability for a query.
type classified struct {
	healthy, leavingSoon, refusing, avoided []*entry
	// busy counts the healthy ones over their load limits, full those without a free slot, and onTrial those with a
	// trial request in flight after a backoff.
	busy, full, onTrial int
}

// isConclusive reports whether no further back ends need to be examined.
func (c *classified) isConclusive() bool { return len(c.healthy) > 0 || c.full > 0 }

// classify groups back ends by their suitability for a query. The caller holds the mutex.
func (p *Pool) classify(now time.Time, query Query, entries []*entry) classified {
	p.visits += uint64(len(entries))
	var found classified
	for _, candidate := range entries {
		switch {
		case !allowed(now, candidate, query):
		case candidate.onTrial(now):
			found.onTrial++
		case query.Trial && p.isUnavailable(now, candidate):
		case candidate.ejected(now) || candidate.leaving == leavesNow:
			found.avoided = append(found.avoided, candidate)
		case query.expectsLongOutput() && candidate.leaving == leavesSoon:
			found.leavingSoon = append(found.leavingSoon, candidate)
		case p.refuses(now, candidate, len(query.Exclude) > 0):
			found.refusing = append(found.refusing, candidate)
		case candidate.full(query):
			found.full++
		default:
			found.healthy = append(found.healthy, candidate)
			if (p.othersComplete || query.CandidateKeys != nil) && candidate.busy(query) {
				found.busy++
			}
		}
	}
	return found
}

// best returns the most suitable group, or none and how many back ends are merely busy.
func (c *classified) best() (found []*entry, busy int) {
	switch {
	case len(c.healthy) == 0 && c.full > 0:
		return nil, c.full
	case len(c.healthy) == 0 && len(c.leavingSoon) > 0:
		return c.leavingSoon, 0
	case len(c.healthy) == 0 && len(c.refusing) > 0:
		return c.refusing, 0
	case len(c.healthy) == 0 && len(c.avoided) == 0:
		return nil, c.onTrial
	case len(c.healthy) == 0:
		return c.avoided, 0
	case c.busy == len(c.healthy):
		return nil, c.busy
	default:
		return c.healthy, 0
	}
}

// isUnavailable reports whether a back end is unreachable or is being taken out of service deliberately. The caller
// holds the mutex.
func (p *Pool) isUnavailable(now time.Time, found *entry) bool {
	return found.leaving == leavesNow || (found.ejected(now) && found.probeState.unreachable)
}

// lacksWeights reports whether a back end is excluded because it isn't known to hold the query's model.
func (q Query) lacksWeights(found *entry) bool {
	return q.WeightsRequired && found.version(q.Model) == 0
}

// allowed reports whether a back end may get the request at all.
func allowed(now time.Time, found *entry, query Query) bool {
	if found.isDraining() || found.hasEnded() || found.backsOff(now) || slices.Contains(query.Exclude, found.backend.ID) {
		return false
	}
	if found.limitExhausted(now) || (query.ExcludeLimited && found.isLimited()) {
		return false
	}
	if !query.admits(found) || query.lacksWeights(found) {
		return false
	}
	if query.CandidateKeys != nil && !slices.Contains(query.CandidateKeys, found.key) {
		return false
	}
	if query.Model == "" || query.BeginBy == nil {
		return true
	}
	bound := query.BeginBy(found.version(query.Model))
	return bound.IsZero() || now.Add(found.worstCaseStart(query)).Before(bound)
}
