package rollout

import (
	"cmp"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Facts are what the next stage of a service's order follows from.
type Facts struct {
	// Now is the time by the store's clock.
	Now     time.Duration
	Service Service
	// Listed is the number of listed back ends of each version.
	Listed map[identity.SoftwareVersion]int
	// Verdict and Stopped are of the standing's order. Stopped: somebody found its target bad.
	Verdict Verdict
	Stopped bool
	// Acknowledged: every daemon that is heard has said that it sends to the target alone and has
	// nothing under way at others, and those that aren't have been silent for so long that they
	// send nothing.
	Acknowledged bool
	// Covered: what is known of the standing's order was collected for at least half of its time so far.
	Covered bool
	// Quorum: enough daemons are heard to shift requests, and to complete an order.
	Quorum bool
	// Idle: back ends of other versions report nothing under way.
	Idle bool
	// PromotionTime is what it may take at worst from StageShift to StageCompleted.
	PromotionTime time.Duration
}

// Reasons of stages, as operators read them.
const (
	reasonBegun     = "the target gets a small share of the requests"
	reasonIsStable  = "the target is the stable version"
	reasonEnough    = "the target's answers are as good as the stable version's"
	reasonDone      = "all requests go to the target, nothing is under way at other back ends"
	reasonStopped   = "a daemon found the target's answers worse than the stable version's"
	reasonTooLate   = "the time was over before the order was seen"
	reasonNoTime    = "the time is over and the target has not shown enough"
	reasonNoBackend = "the time is over and no back end of the target is listed"
)

// What a shift waits for, as operators read it.
const (
	waitsListed       = "no back end of the target is listed"
	waitsAcknowledged = "a daemon may still send to other versions"
	waitsIdle         = "back ends of other versions may have requests under way"
	waitsQuorum       = "too few daemons are heard"
)

// Next decides the next standing of a service: the known one where the store has lost it, the stable
// version where there is no row yet, else the next stage of the newest order. It returns false where
// nothing is to be written. Without a quorum no trial becomes a shift: the order could not be completed.
func Next(facts Facts) (Standing, bool) {
	standing := facts.Service.Standing
	next, due := nextWithQuorum(facts, standing)
	if standing.Stage == StageTrial && next.Stage == StageShift && !facts.Quorum {
		return standing, false
	}
	return next, due
}

// nextWithQuorum is the next standing as if there were a quorum.
func nextWithQuorum(facts Facts, standing Standing) (Standing, bool) {
	if facts.Service.Lost {
		return standing, true
	}
	if standing.Row == 0 {
		return firstStanding(facts)
	}
	if order := facts.Service.Order; order != nil && order.Number > standing.Order && replaceable(standing) {
		return beginOrder(facts, *order), true
	}
	switch standing.Stage {
	case StageTrial:
		return advanceTrial(facts, standing)
	case StageShift:
		return advanceShift(facts, standing)
	default:
		return standing, false
	}
}

// firstStanding is the standing of a service that has none, so that its stable version stays the
// same from then on, whatever is listed.
func firstStanding(facts Facts) (Standing, bool) {
	first := Standing{Service: facts.Service.Standing.Service, Stable: facts.Service.Standing.Stable}
	var targets []identity.SoftwareVersion
	if order := facts.Service.Order; order != nil {
		first.Service = cmp.Or(first.Service, order.Service)
		targets = append(targets, order.Target)
	}
	first.Stable = cmp.Or(first.Stable, ChooseStable(facts.Listed, targets))
	return first, first.Stable != "" && first.Service != ""
}

// replaceable tells whether a newer order may take the place of the standing's. During a shift it
// waits for the end: requests are under way at both versions. A shift to the stable version
// changes nothing that a newer order would have to wait for.
func replaceable(standing Standing) bool {
	return standing.Stage != StageShift || standing.Target == standing.Stable
}

// beginOrder is the standing at the beginOrder of an order.
func beginOrder(facts Facts, order Order) Standing {
	begun := facts.Service.Standing
	begun.Target, begun.Order = order.Target, order.Number
	begun.BeganAt = facts.Service.OrderSince
	begun.Deadline = begun.BeganAt + order.Duration
	switch {
	case order.Target == begun.Stable:
		return withStage(begun, StageShift, reasonIsStable)
	case facts.Now >= begun.Deadline:
		return withStage(begun, StageRolledBack, reasonTooLate)
	default:
		return withStage(begun, StageTrial, reasonBegun)
	}
}

func withStage(standing Standing, stage Stage, reason string) Standing {
	standing.Stage, standing.Reason = stage, reason
	return standing
}

// advanceTrial rolls back a target that is bad, or has not shown enough by the deadline. It shifts
// as late as the promotion allows: a version that turns bad later has had few requests till then. Few
// answers show little where most of the trial was forgotten, since all daemons have restarted.
func advanceTrial(facts Facts, standing Standing) (Standing, bool) {
	if reason, bad := badReason(facts); bad {
		return withStage(standing, StageRolledBack, reason), true
	}
	listed := facts.Listed[standing.Target] > 0
	left := standing.Deadline - facts.Now
	switch {
	case left <= 0 && !listed:
		return withStage(standing, StageRolledBack, reasonNoBackend), true
	case left <= 0:
		return withStage(standing, StageRolledBack, reasonNoTime), true
	case left <= facts.PromotionTime && listed && facts.Verdict.Enough && (facts.Covered || !facts.Verdict.smallSample()):
		return withStage(standing, StageShift, reasonEnough), true
	default:
		return standing, false
	}
}

// advanceShift completes the order, or rolls it back if its target turns out to be bad or nobody
// runs it at the deadline. Otherwise it goes on beyond the deadline: requests may be under way at
// the stable version's back ends, which end as soon as the order is completed.
func advanceShift(facts Facts, standing Standing) (Standing, bool) {
	listed := facts.Listed[standing.Target] > 0
	if standing.Target != standing.Stable {
		if reason, bad := badReason(facts); bad {
			return withStage(standing, StageRolledBack, reason), true
		}
		if !listed && facts.Now >= standing.Deadline {
			return withStage(standing, StageRolledBack, reasonNoBackend), true
		}
	}
	if facts.WaitReason() != "" {
		return standing, false
	}
	standing.Stable = standing.Target
	return withStage(standing, StageCompleted, reasonDone), true
}

// WaitReason tells why a shift can't be completed yet; empty where it can, and in other stages.
func (f Facts) WaitReason() string {
	if f.Service.Standing.Stage != StageShift {
		return ""
	}
	switch {
	case f.Listed[f.Service.Standing.Target] == 0:
		return waitsListed
	case !f.Acknowledged:
		return waitsAcknowledged
	case !f.Idle:
		return waitsIdle
	case !f.Quorum:
		return waitsQuorum
	default:
		return ""
	}
}

// badReason tells whether the target was found bad, and why.
func badReason(facts Facts) (string, bool) {
	if facts.Verdict.Bad {
		return facts.Verdict.Reason, true
	}
	return reasonStopped, facts.Stopped
}
