package sighting

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Reach says what the trusted watchers of a back end make of it.
type Reach uint8

// The values of Reach.
const (
	// ReachUnknown means that no trusted watcher says anything.
	ReachUnknown Reach = iota
	// ReachUnreachable means that none of those who watch it reaches it.
	ReachUnreachable
	// ReachReachable means that at least one watcher reaches it.
	ReachReachable
)

// Verdict is what all sightings of a back end come to.
type Verdict struct {
	Reach Reach
	// Newest is the newest state of a reachable back end.
	Newest Sighting
}

// Verdict merges the sightings of a back end: its own of this daemon, and those
// published by trusted watchers.
func (e *Exchange) Verdict(backend identity.BackendID) Verdict {
	var verdict Verdict
	if observed, found := e.observed[backend]; found {
		verdict.add(observed.Sighting)
	}
	for _, from := range e.watchers[backend] {
		if from == e.own || !from.trusted {
			continue
		}
		verdict.add(from.sightings[backend])
	}
	return verdict
}

// add merges one more sighting. Of two that tell the same state version the
// earlier added one stays, which is this daemon's own if it has one.
func (v *Verdict) add(sighting Sighting) {
	switch {
	case sighting.Withdrawn:
	case !sighting.Reachable:
		v.Reach = max(v.Reach, ReachUnreachable)
	case v.Reach != ReachReachable || sighting.StateVersion > v.Newest.StateVersion:
		v.Reach = ReachReachable
		v.Newest = sighting
	}
}

// Backends lists all back ends that some report speaks of.
func (e *Exchange) Backends() []identity.BackendID {
	known := make(map[identity.BackendID]bool, len(e.watchers))
	for backend := range e.watchers {
		known[backend] = true
	}
	for backend := range e.observed {
		known[backend] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// Watched returns how many back ends this daemon observes.
func (e *Exchange) Watched() int { return len(e.observed) }

func (r *report) backends() []identity.BackendID { return slices.Sorted(maps.Keys(r.sightings)) }

func (e *Exchange) sortedReports() []*report {
	sorted := make([]*report, 0, len(e.reports))
	for _, known := range e.reports {
		sorted = append(sorted, known)
	}
	slices.SortFunc(sorted, func(left, right *report) int { return cmp.Compare(left.watcher, right.watcher) })
	return sorted
}
