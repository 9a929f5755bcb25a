package baseline

import (
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/lab/simulation"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
)

// recomputeWeight is how much the clairvoyant policy minds computing what
// another engine holds, beside the wait that it causes to this request: the
// time is taken from the requests that come after, and the blocks from others'
// prefixes. It is the best of those tried in docs/design/experiments.md.
const recomputeWeight = 0.25

// clairvoyant knows every engine's cache and queue exactly.
type clairvoyant struct {
	cluster simulation.Cluster
	pages   chooser
}

// NewClairvoyant makes the policy that takes the engine with the least time to
// the first token, from the exact state of all engines.
func NewClairvoyant(cluster simulation.Cluster, seed uint64) scheduler.Policy {
	made := newPolicy(nil)
	pages := leastOutstanding{policy: made, source: rand.New(rand.NewPCG(seed, 1))}
	made.chooser = clairvoyant{cluster: cluster, pages: pages}
	return made
}

func (c clairvoyant) choose(request *scheduler.Request, eligible []scheduler.Backend) scheduler.Backend {
	if request.Kind == identity.KindApp {
		return c.pages.choose(request, eligible)
	}
	best := eligible[0]
	var least time.Duration
	for _, candidate := range eligible {
		outlook := c.cluster.Outlook(candidate.ID, request.Chain, request.PromptTokens)
		if !outlook.Up {
			continue
		}
		cost := c.cost(request, outlook)
		if least == 0 || cost < least {
			best, least = candidate, cost
		}
	}
	return best
}

// cost is the expected time to the first token, with what recomputation takes
// from others.
func (c clairvoyant) cost(request *scheduler.Request, outlook simulation.Outlook) time.Duration {
	options := c.cluster.EngineOptions()
	queued := outlook.QueuedTokens
	if request.Class == identity.ClassInteractive {
		queued = 0 // the engine takes it first
	}
	decoding := min(outlook.Requests, options.MaxRunning)
	step := options.StepBase + time.Duration(decoding)*options.DecodePerSequence
	perToken := float64(options.PrefillPerToken) * float64(options.StepCeiling) / float64(options.StepCeiling-step)
	tokens := float64(queued) + (1+recomputeWeight)*float64(outlook.UncachedTokens)
	return step + time.Duration(tokens*perToken) + slotWait(options, outlook.Requests)
}

// slotWait is the wait for a place in a full batch.
func slotWait(options model.Options, requests int) time.Duration {
	over := max(0, requests-options.MaxRunning)
	return time.Duration(over) * options.StepCeiling
}
