package lab

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/platform/standin"
)

// Result is what came of a scenario under a placement.
type Result struct {
	Scenario  string
	Placement backendpool.Placement
	Requests  int
	// Served had a whole and right answer, Late of them after their target; Wrong had
	// another one, or none.
	Served, Late, Wrong int
	// FirstMedian and First95 are of the first bytes of answers to prompts.
	FirstMedian, First95 time.Duration
	// HeldShare is the share of shared prompt tokens that were not read again.
	HeldShare float64
}

// Play plays the load of a scenario for some seconds against a new deployment.
func Play(ctx context.Context, scenario Scenario, placement backendpool.Placement, seed uint64, length time.Duration) (Result, error) {
	deployed, err := Start(scenario, placement)
	if err != nil {
		return Result{}, err
	}
	defer deployed.Stop()
	outcomes := deployed.play(ctx, scenario.arrivals(rand.New(rand.NewPCG(seed, 1)), length))
	result := Result{Scenario: scenario.Name, Placement: placement, Requests: len(outcomes)}
	result.count(outcomes)
	if work := deployed.fleet.Work(); work.SharedTokens > 0 {
		result.HeldShare = float64(work.HeldTokens) / float64(work.SharedTokens)
	}
	return result, ctx.Err()
}

// outcome is a request with its answer.
type outcome struct {
	arrival  arrival
	answered standin.Answered
}

// play sends all requests when they are due, and waits for their answers.
func (d *Deployment) play(ctx context.Context, arrivals []arrival) []outcome {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	slices.SortFunc(arrivals, func(left, right arrival) int { return int(left.at - right.at) })
	outcomes := make([]outcome, len(arrivals))
	began := time.Now()
	var pending sync.WaitGroup
	for index, each := range arrivals {
		if !sleepUntil(ctx, began.Add(each.at)) {
			break
		}
		each.ask.Address = d.addresses[index%len(d.addresses)]
		pending.Go(func() { outcomes[index] = outcome{arrival: each, answered: each.ask.Send(ctx, client)} })
	}
	pending.Wait()
	return outcomes
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Result) count(outcomes []outcome) {
	var firsts []time.Duration
	for _, each := range outcomes {
		if !each.right() {
			r.Wrong++
			continue
		}
		r.Served++
		if each.answered.First > each.arrival.class.target {
			r.Late++
		}
		if each.arrival.class.prompt() {
			firsts = append(firsts, each.answered.First)
		}
	}
	if len(firsts) > 0 {
		slices.Sort(firsts)
		r.FirstMedian, r.First95 = firsts[len(firsts)/2], firsts[len(firsts)*95/100]
	}
}

// right tells whether an answer is the whole one to its own request.
func (o outcome) right() bool {
	if o.answered.Err != nil || o.answered.Status != http.StatusOK {
		return false
	}
	if !o.arrival.class.prompt() {
		return o.answered.Body == standin.PageBody
	}
	return strings.HasPrefix(o.answered.Body, standin.EventText(1))
}
