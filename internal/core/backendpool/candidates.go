package backendpool

import (
	"slices"
	"time"
)

// candidates returns the back ends of a scope that will do, without the doubted, refusing and leaving
// ones unless there are no others, and without those whose places are all taken. While all
// of them are busy or full, or the only ones left are on trial after a backoff, it returns
// none, and how many they are. As long as one is not busy, all are weighed: it may be dearer to
// read a prompt anew there than to wait where it is held. Where those that were drawn are all unfit, more are
// looked at, and all in the end.
func (p *Pool) candidates(now time.Time, query Query, scope scope) (found []*entry, busy int) {
	sorted := p.sort(now, query, scope.entries)
	if of := scope.drawnFrom; of != nil && !sorted.isEnough() {
		sorted = p.sort(now, query, p.draw(of, query, scope.home, widerScope))
		if !sorted.isEnough() {
			sorted = p.sort(now, query, of.entries)
		}
	}
	return sorted.best()
}

// sorted are back ends by how they will do for a query.
type sorted struct {
	sound, soon, refusing, doubted []*entry
	// busy counts the sound ones that have too much under way, full those whose places are taken, and onTrial those that
	// find out whether they take requests again.
	busy, full, onTrial int
}

// isEnough tells whether no others have to be looked at.
func (s *sorted) isEnough() bool { return len(s.sound) > 0 || s.full > 0 }

// sort looks how back ends will do for a query. The caller holds the mutex.
func (p *Pool) sort(now time.Time, query Query, entries []*entry) sorted {
	p.visits += uint64(len(entries))
	var found sorted
	for _, candidate := range entries {
		switch {
		case !allowed(now, candidate, query):
		case candidate.onTrial(now):
			found.onTrial++
		case query.Trial && p.outOfUse(now, candidate):
		case candidate.ejected(now) || candidate.leaving == leavesNow:
			found.doubted = append(found.doubted, candidate)
		case query.long() && candidate.leaving == leavesSoon:
			found.soon = append(found.soon, candidate)
		case p.refuses(now, candidate, len(query.Exclude) > 0):
			found.refusing = append(found.refusing, candidate)
		case candidate.full(query):
			found.full++
		default:
			found.sound = append(found.sound, candidate)
			if (p.othersWhole || query.CandidateKeys != nil) && candidate.busy(query) {
				found.busy++
			}
		}
	}
	return found
}

// best returns the back ends that will do best, or none and how many are only busy.
func (s *sorted) best() (found []*entry, busy int) {
	switch {
	case len(s.sound) == 0 && s.full > 0:
		return nil, s.full
	case len(s.sound) == 0 && len(s.soon) > 0:
		return s.soon, 0
	case len(s.sound) == 0 && len(s.refusing) > 0:
		return s.refusing, 0
	case len(s.sound) == 0 && len(s.doubted) == 0:
		return nil, s.onTrial
	case len(s.sound) == 0:
		return s.doubted, 0
	case s.busy == len(s.sound):
		return nil, s.busy
	default:
		return s.sound, 0
	}
}

// outOfUse tells whether a back end can't be reached, or is taken out of use on purpose. The
// caller holds the mutex.
func (p *Pool) outOfUse(now time.Time, found *entry) bool {
	return found.leaving == leavesNow || (found.ejected(now) && found.suspicion.unreached)
}

// allowed tells whether a back end may get the request at all.
func allowed(now time.Time, found *entry, query Query) bool {
	if found.isDraining() || found.isOver() || found.backsOff(now) || slices.Contains(query.Exclude, found.backend.ID) {
		return false
	}
	if found.outOfRoom(now) || (query.ExcludeLimited && found.isLimited()) {
		return false
	}
	if !query.admits(found) {
		return false
	}
	if query.CandidateKeys != nil && !slices.Contains(query.CandidateKeys, found.key) {
		return false
	}
	if query.Model == "" || query.BeginBy == nil {
		return true
	}
	bound := query.BeginBy(found.version(query.Model))
	return bound.IsZero() || now.Add(found.slowestBegin(query)).Before(bound)
}
