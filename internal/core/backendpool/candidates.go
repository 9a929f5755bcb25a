package backendpool

import (
	"slices"
	"time"
)

// candidates returns the back ends that will do, without the doubted, refusing and leaving
// ones unless there are no others, and without those whose places are all taken. While all
// of them are busy or full, or the only ones left are on trial after a backoff, it returns
// none, and how many they are. As long as one is not busy, all are weighed: it may be dearer to
// read a prompt anew there than to wait where it is held.
func (p *Pool) candidates(now time.Time, query Query) (found []*entry, busy int) {
	var sound, soon, refusing, doubted []*entry
	full, onTrial := 0, 0
	for _, candidate := range p.listed(query) {
		switch {
		case !allowed(now, candidate, query):
		case candidate.onTrial(now):
			onTrial++
		case query.Trial && p.outOfUse(now, candidate):
		case candidate.ejected(now) || candidate.leaving == leavesNow:
			doubted = append(doubted, candidate)
		case query.long() && candidate.leaving == leavesSoon:
			soon = append(soon, candidate)
		case p.refuses(now, candidate, len(query.Exclude) > 0):
			refusing = append(refusing, candidate)
		default:
			if candidate.full(query) {
				full++
				continue
			}
			sound = append(sound, candidate)
			if (p.othersWhole || query.Among != nil) && candidate.busy(query) {
				busy++
			}
		}
	}
	switch {
	case len(sound) == 0 && full > 0:
		return nil, full
	case len(sound) == 0 && len(soon) > 0:
		return soon, 0
	case len(sound) == 0 && len(refusing) > 0:
		return refusing, 0
	case len(sound) == 0 && len(doubted) == 0:
		return nil, onTrial
	case len(sound) == 0:
		return doubted, 0
	case busy == len(sound):
		return nil, busy
	default:
		return sound, 0
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
	if !query.admits(found) {
		return false
	}
	if query.Among != nil && !slices.Contains(query.Among, found.key) {
		return false
	}
	if query.Model == "" || query.BeginBy == nil {
		return true
	}
	bound := query.BeginBy(found.version(query.Model))
	return bound.IsZero() || now.Add(found.slowestBegin(query)).Before(bound)
}
