package registry

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/sighting"
)

// ObserveVerdict takes what the watchers of a back end make of it. An answer to
// this daemon itself counts for more than their word that it is unreachable. When
// they fall silent the back end is kept for as long as after an own answer.
func (r *Registry) ObserveVerdict(now time.Time, id identity.BackendID, verdict sighting.Verdict) {
	known, found := r.entries[id]
	if !found {
		return
	}
	if verdict.Reach != known.reach {
		if known.reach == sighting.ReachReachable && verdict.Reach == sighting.ReachUnknown {
			known.heardAt = now
		}
		known.reach = verdict.Reach
		known.reachAt = now
	}
	if verdict.Reach != sighting.ReachReachable || verdict.Newest.StateVersion < known.stateVersion() {
		return
	}
	status := verdict.Newest.Status()
	status.Kind = known.machine.Kind
	if known.status != nil && known.status.Incarnation == status.Incarnation {
		status.Load = known.status.Load
		status.Role = known.status.Role
	}
	r.take(now, known, status)
}

// Refresh tells whether Backends may show something else than at the last call.
func (r *Registry) Refresh(now time.Time) bool {
	changed := r.changed
	r.changed = false
	for _, known := range r.entries {
		shown := r.reachable(now, known)
		changed = changed || shown != known.shown
		known.shown = shown
	}
	return changed
}

// reachable tells whether a back end may be given work as far as its reach goes.
func (r *Registry) reachable(now time.Time, known *entry) bool {
	if known.status == nil {
		return false
	}
	heardLately := now.Sub(known.heardAt) <= r.options.UnreachableAfter
	switch known.reach {
	case sighting.ReachReachable:
		return true
	case sighting.ReachUnreachable:
		return heardLately && known.heardAt.After(known.reachAt)
	default:
		return heardLately
	}
}
