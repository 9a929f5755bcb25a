package rollout

import (
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
	// Verdict and Stopped are of the order of the standing. Stopped: somebody found its target bad.
	Verdict Verdict
	Stopped bool
	// Acknowledged: every daemon that is heard has said that it sends to the target alone and has
	// nothing under way at others, and those that aren't have been silent for so long that they
	// send nothing.
	Acknowledged bool
	// Quorum: enough daemons are heard to complete an order.
	Quorum bool
	// Idle: back ends of other versions report nothing under way.
	Idle bool
	// PromotionTime is what it may take at worst from StageShift to StageCompleted.
	PromotionTime time.Duration
}

// Next decides the next standing of a service. It returns false where nothing is to be written.
func Next(facts Facts) (Standing, bool) {
	return Standing{}, false
}
