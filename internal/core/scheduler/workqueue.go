package scheduler

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/placement/estimate"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// workQueue estimates the prompt tokens that an engine still has to compute:
// what it last reported, what we sent since, less what it has computed since.
type workQueue struct {
	tokens float64
	asOf   float64
	// recent are our own sends, which the next reports may not have seen yet.
	recent []send
	// reported is the newest report, to know it again when an answer repeats it.
	reported enginewire.Load
}

// send is work that was sent to an engine.
type send struct {
	at     float64
	tokens float64
}

// at returns the tokens that are left at a time.
func (q *workQueue) at(now float64, pace *estimate.Pace) float64 {
	return max(0, q.tokens-(now-q.asOf)/pace.SecondsPerToken())
}

// freeAt is when the queue will be empty.
func (q *workQueue) freeAt(pace *estimate.Pace) float64 {
	return q.asOf + q.tokens*pace.SecondsPerToken()
}

// add notes work that is sent now.
func (q *workQueue) add(now, tokens float64, pace *estimate.Pace) {
	q.tokens = q.at(now, pace) + tokens
	q.asOf = now
	old := 0
	for old < len(q.recent) && q.recent[old].at < now-rememberSeconds {
		old++
	}
	q.recent = append(slices.Delete(q.recent, 0, old), send{at: now, tokens: tokens})
}

// correct moves the estimate by a number of tokens.
func (q *workQueue) correct(now, tokens float64, pace *estimate.Pace) {
	q.tokens = max(0, q.at(now, pace)+tokens)
	q.asOf = now
}

// report takes a load report that is lag seconds old: the engine has worked on
// since, and has been sent what we sent since.
func (q *workQueue) report(now, lag float64, load enginewire.Load, pace *estimate.Pace) {
	sampled := now - lag
	tokens := float64(load.QueuedTokens)
	last := sampled
	kept := q.recent[:0]
	for _, sent := range q.recent {
		if sent.at < sampled {
			continue
		}
		kept = append(kept, sent)
		tokens = max(0, tokens-(sent.at-last)/pace.SecondsPerToken()) + sent.tokens
		last = sent.at
	}
	q.recent = kept
	q.tokens = max(0, tokens-(now-last)/pace.SecondsPerToken())
	q.asOf = now
	q.reported = load
}
