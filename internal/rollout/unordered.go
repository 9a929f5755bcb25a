package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// unorderedDelay is how long a version must have been listed without an order for it before it serves beside the stable
// version. Back ends of an order's target may be listed some seconds before the order is known. For as long, versions that a
// completed order has replaced get nothing: their back ends end without draining.
const unorderedDelay = 10 * time.Second

// unorderedVersions are the listed versions of a service, other than the stable one, that no order names. They serve beside the
// stable version.
type unorderedVersions struct {
	checkedAt time.Time
	// since is when each listed version was first seen, or when an order was last completed.
	since map[identity.SoftwareVersion]time.Time
	// ordered are the listed versions that orders named and that did not become the stable one.
	ordered map[identity.SoftwareVersion]bool
	// standing is the standing that was last seen, and completedAt when an order was last seen completed.
	standing    rollout.Standing
	completedAt time.Time
	// serving are the versions that get requests, in ascending order.
	serving []identity.SoftwareVersion
}

// due reports whether the versions have to be checked again.
func (u *unorderedVersions) due(now time.Time, state rollout.Service) bool {
	return now.Sub(u.checkedAt) >= idleInterval || !u.isCurrent(state)
}

// isCurrent reports whether the versions were checked since the newest standing and orders are known.
func (u *unorderedVersions) isCurrent(state rollout.Service) bool {
	return u.standing.Row == state.Standing.Row && !slices.ContainsFunc(targets(state), func(target identity.SoftwareVersion) bool { return !u.ordered[target] })
}

// targets returns the versions that known orders name and that are not the stable one.
func targets(state rollout.Service) []identity.SoftwareVersion {
	var found []identity.SoftwareVersion
	for _, target := range []identity.SoftwareVersion{state.Standing.Target, orderedTarget(state)} {
		if target != "" && target != state.Standing.Stable {
			found = append(found, target)
		}
	}
	return found
}

func orderedTarget(state rollout.Service) identity.SoftwareVersion {
	if state.Order == nil {
		return ""
	}
	return state.Order.Target
}

// update applies the current state of a service and the number of its listed back ends by version.
func (u *unorderedVersions) update(now time.Time, state rollout.Service, listed map[identity.SoftwareVersion]int) {
	paused := now.Sub(u.checkedAt) > 2*idleInterval
	u.checkedAt = now
	if u.since == nil {
		u.since, u.ordered = map[identity.SoftwareVersion]time.Time{}, map[identity.SoftwareVersion]bool{}
	} else if u.completes(state.Standing, paused) {
		u.completedAt = now
		clear(u.since)
	}
	u.standing = state.Standing
	unlisted := func(version identity.SoftwareVersion) bool { return listed[version] == 0 }
	maps.DeleteFunc(u.since, func(version identity.SoftwareVersion, _ time.Time) bool { return unlisted(version) })
	maps.DeleteFunc(u.ordered, func(version identity.SoftwareVersion, _ bool) bool {
		return unlisted(version) || version == state.Standing.Stable
	})
	for _, target := range targets(state) {
		u.ordered[target] = true
	}
	u.serving = nil
	for _, version := range slices.Sorted(maps.Keys(listed)) {
		if _, seen := u.since[version]; !seen {
			u.since[version] = now
		}
		if version != "" && version != state.Standing.Stable && !u.ordered[version] && now.Sub(u.since[version]) >= unorderedDelay {
			u.serving = append(u.serving, version)
		}
	}
}

// completes reports whether an order may have been completed since the last standing that was seen. The standing of the completion
// itself may have been missed, by a daemon that was paused also the whole order.
func (u *unorderedVersions) completes(standing rollout.Standing, paused bool) bool {
	if standing.Order != u.standing.Order {
		return standing.Stage == rollout.StageCompleted || !u.standing.Stage.Ended() || paused
	}
	return standing.Stage == rollout.StageCompleted && u.standing.Stage != rollout.StageCompleted
}

// mayContinue reports whether streams that a version began may be continued there.
func (u *unorderedVersions) mayContinue(now time.Time, version identity.SoftwareVersion) bool {
	replaced := !u.completedAt.IsZero() && now.Sub(u.completedAt) < unorderedDelay
	return !u.ordered[version] && !replaced
}

// mayContinue reports whether streams that a version, neither stable nor under trial, began may be continued there.
func (t *traffic) mayContinue(now time.Time, state rollout.Service, began identity.SoftwareVersion) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !slices.Contains(targets(state), began) && t.unordered.mayContinue(now, began)
}

// updateUnordered updates the versions that serve beside the stable one, if it is due.
func (c *Coordinator) updateUnordered(now time.Time, service identity.ServiceName, state rollout.Service, shared *traffic) {
	shared.mutex.Lock()
	due := state.Standing.Row > 0 && shared.unordered.due(now, state)
	shared.mutex.Unlock()
	if !due {
		return
	}
	listed := c.options.Backends.SoftwareVersions(service)
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	shared.unordered.update(now, state, listed)
}

// besideStable returns the versions that may get a request instead of the stable one. None of them is a target of an order.
func (t *traffic) besideStable(state rollout.Service) []identity.SoftwareVersion {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if state.Standing.Row == 0 || !t.unordered.isCurrent(state) {
		return nil
	}
	return t.unordered.serving
}
