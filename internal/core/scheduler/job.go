package scheduler

import (
	"github.com/lotusward/lotusward/internal/core/admission"
	"github.com/lotusward/lotusward/internal/core/belief"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// job is one attempt that waits or runs.
type job struct {
	request     Request
	group       *group
	checkpoints []belief.Checkpoint
	arrivedAt   float64
	// order is the job's place among those that wait, and charge its cost in
	// fair queueing.
	order  admission.Order
	charge float64
	// backend is where the job runs or waits to run.
	backend   *backendState
	placement belief.Placement
	// uncached is how many prompt tokens the back end should have to compute.
	uncached   float64
	importFrom identity.BackendID
	// expectedCached is how much of the prompt should be cached at the start, with
	// what is imported.
	expectedCached int
	// imported is how many tokens are imported from there.
	imported int
	// startedAt and queuedAtStart are for learning from the first token.
	startedAt     float64
	queuedAtStart float64
	expectedWait  float64
	firstToken    bool
}

// isEngineWork tells model work from web-app work.
func (j *job) isEngineWork() bool { return j.request.Kind == identity.KindEngine }
