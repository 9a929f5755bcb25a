package rollout

import (
	"cmp"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Facts are the inputs that determine the next standing of a service.
type Facts struct {
	// Now is the time of the store's clock.
	Now     time.Duration
	Service Service
	// Listed is the number of listed back ends of each version.
	Listed map[identity.SoftwareVersion]int
	// Verdict and Stopped refer to the standing's order. Stopped is set if any daemon found its target bad.
	Verdict Verdict
	Stopped bool
	// Acknowledged is set if every daemon that is heard has reported that it sends to the target alone and has no
	// requests at back ends of other versions, and all others have been silent for so long that they refuse
	// requests.
	Acknowledged bool
	// Covered is set if the evidence covers at least half of the time since the order began.
	Covered bool
	// Quorum is set if enough daemons are heard to shift requests and to complete an order.
	Quorum bool
	// Idle is set if back ends of other versions report no requests in progress.
	Idle bool
	// PromotionTime is the longest time that StageShift may take until StageCompleted.
	PromotionTime time.Duration
}

// Reasons for entering a stage, as shown to operators.
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

// Conditions that a shift waits for, as shown to operators.
const (
	waitsListed       = "no back end of the target is listed"
	waitsAcknowledged = "a daemon may still send to other versions"
	waitsIdle         = "back ends of other versions may have requests under way"
	waitsQuorum       = "too few daemons are heard"
)

// Next returns the next standing of a service: the known one if the store has lost it, the stable version if
// there is no row yet, and otherwise the next stage of the newest order. It returns false if nothing has to be
// written. Without a quorum no trial becomes a shift, since the order could not be completed.
func Next(facts Facts) (Standing, bool) {
	standing := facts.Service.Standing
	next, due := nextWithQuorum(facts, standing)
	if standing.Stage == StageTrial && next.Stage == StageShift && !facts.Quorum {
		return standing, false
	}
	return next, due
}

// nextWithQuorum returns the next standing on the assumption that there is a quorum.
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

// firstStanding returns the first standing of a service. From then on its stable version doesn't depend on what
// is listed.
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

// replaceable reports whether a newer order may replace the standing's. An order in the shift stage has to end
// first, since both versions have requests in progress, unless its target is the stable version: then the shift
// changes nothing that a newer order would have to wait for.
func replaceable(standing Standing) bool {
	return standing.Stage != StageShift || standing.Target == standing.Stable
}

// beginOrder returns the first standing of an order.
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

// advanceTrial rolls back a target that is bad, or whose evidence doesn't suffice by the deadline. It shifts as
// late as the promotion allows, since a version that turns bad late has had few requests until then. A small
// sample proves little if most of the trial's evidence was lost because all daemons restarted.
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

// advanceShift completes the order, or rolls it back if its target turns out to be bad or has no listed back end
// at the deadline. Otherwise the shift continues beyond the deadline: completing the order ends the stable
// version's back ends, which may still have requests in progress.
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

// WaitReason returns the condition that a shift waits for. It is empty if the shift can be completed, and in
// other stages.
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

// badReason reports whether the target was found bad, and why.
func badReason(facts Facts) (string, bool) {
	if facts.Verdict.Bad {
		return facts.Verdict.Reason, true
	}
	return reasonStopped, facts.Stopped
}
