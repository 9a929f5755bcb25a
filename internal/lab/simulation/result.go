package simulation

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/lab/scenario"
)

// Outcome is what became of one request.
type Outcome struct {
	Tenant    identity.TenantName
	Label     scenario.Label
	ArrivedAt time.Duration
	Deadline  time.Duration
	// FirstTokenAfter is the caller's wait for the first token or the page. Of a
	// request without one it is how long the caller waited in vain.
	FirstTokenAfter time.Duration
	Answered        bool
	// Whole is set when the caller got the last token.
	Whole        bool
	Refusal      scheduler.RefusalReason
	PromptTokens int
	CachedTokens int
	Attempts     int
}

// OnTime tells whether the first token came within the deadline.
func (o Outcome) OnTime() bool { return o.Answered && o.FirstTokenAfter <= o.Deadline }

// Result is one run of a scenario under a policy.
type Result struct {
	Outcomes []Outcome
	// PromptTokens and CachedTokens are of all attempts that began to run.
	PromptTokens int
	CachedTokens int
	// RecomputedTokens are prompt tokens computed again after some engine had
	// computed them for the same salt; HeldTokens are those among them that
	// another live engine held at that moment.
	RecomputedTokens int
	HeldTokens       int
}

// HitRate is the share of prompt tokens that came from a cache.
func (r Result) HitRate() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return float64(r.CachedTokens) / float64(r.PromptTokens)
}

// RefusalNoAnswer is the reason noted for requests that the run's end cut off,
// and RefusalAttempts for those whose attempts all failed.
const (
	RefusalNoAnswer scheduler.RefusalReason = "no_answer_by_the_end"
	RefusalAttempts scheduler.RefusalReason = "attempts_failed"
)
