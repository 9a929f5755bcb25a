package load

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/lab/simulation"
	"github.com/lotusward/lotusward/internal/standin/app"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
)

// answerTimeout bounds a whole request, so that a run ends.
const answerTimeout = 60 * time.Second

// Options describe one run of a scenario against real daemons.
type Options struct {
	Scenario *scenario.Scenario
	Seed     uint64
	// Daemons are callers' addresses; an arrival's daemon is taken modulo their number.
	Daemons []string
	// OnProgress, when not nil, is called about once a second.
	OnProgress func(Progress)
}

// Progress is how far a run is.
type Progress struct {
	At                         time.Duration
	Sent, Answered, Unanswered int
}

// Report is one finished run.
type Report struct {
	Result simulation.Result
	// Wrong counts answers that differ from what the prompt must give, or that
	// were cut without a word.
	Wrong []string
}

// KeyOf is the bearer key of a tenant in a lab deployment.
func KeyOf(tenant identity.TenantName) string { return "lab-key-of-" + string(tenant) }

// player is one run.
type player struct {
	options Options
	client  *Client
	texts   *Texts

	mutex    sync.Mutex
	report   Report
	sent     int
	computed map[prefix.Hash]bool
}

// Play sends the scenario's arrivals at their times and waits for all answers.
func Play(ctx context.Context, options Options) Report {
	run := &player{
		options:  options,
		client:   NewClient(),
		texts:    NewTexts(),
		computed: make(map[prefix.Hash]bool),
	}
	defer run.client.Close()
	arrivals := options.Scenario.Arrivals(options.Seed)
	began := time.Now()
	stopProgress := run.reportProgress(began)
	defer stopProgress()
	var requests sync.WaitGroup
	for _, arrival := range arrivals {
		if !sleepUntil(ctx, began.Add(arrival.At)) {
			break
		}
		requests.Go(func() { run.request(ctx, arrival) })
	}
	requests.Wait()
	return run.report
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

func (p *player) request(ctx context.Context, arrival scenario.Arrival) {
	limited, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	p.mutex.Lock()
	p.sent++
	p.mutex.Unlock()
	began := time.Now()
	var answer Answer
	var expected string
	if arrival.Label == scenario.LabelPage {
		answer, expected = p.page(limited, arrival)
	} else {
		answer, expected = p.completion(limited, arrival)
	}
	p.record(arrival, answer, expected, time.Since(began))
}

func (p *player) callOf(arrival scenario.Arrival) Call {
	return Call{
		Address:  p.options.Daemons[arrival.Daemon%len(p.options.Daemons)],
		Key:      KeyOf(arrival.Tenant),
		Class:    arrival.Class,
		Deadline: arrival.Deadline,
	}
}

func (p *player) page(ctx context.Context, arrival scenario.Arrival) (Answer, string) {
	path := fmt.Sprintf("/places/%d", arrival.At)
	answer := p.client.Page(ctx, p.callOf(arrival), p.options.Scenario.Deployment.AppService, path, []byte("{}"))
	return answer, app.Answer(http.MethodPost, path, []byte("{}"))
}

func (p *player) completion(ctx context.Context, arrival scenario.Arrival) (Answer, string) {
	deployment := p.options.Scenario.Deployment
	prompt := p.texts.Prompt(arrival.Parts, arrival.PromptTokens-len(arrival.Chain)*prefix.BlockTokens)
	answer := p.client.Complete(ctx, p.callOf(arrival), deployment.Model, prompt, arrival.OutputTokens)
	made := model.AnswerOf(deployment.Model, deployment.Version, []byte(prompt))
	return answer, made.Text(0, arrival.OutputTokens)
}

// record adds an outcome and checks the answer.
func (p *player) record(arrival scenario.Arrival, answer Answer, expected string, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	outcome := simulation.Outcome{
		Tenant: arrival.Tenant, Label: arrival.Label, ArrivedAt: arrival.At, Deadline: arrival.Deadline,
		FirstTokenAfter: answer.FirstAfter, Answered: answer.FirstAfter > 0, Whole: answer.Whole,
		PromptTokens: arrival.PromptTokens, CachedTokens: answer.CachedTokens,
	}
	if !outcome.Answered {
		outcome.FirstTokenAfter = took
		outcome.Refusal = scheduler.RefusalReason(fmt.Sprintf("status %d", answer.StatusCode))
	}
	p.report.Result.Outcomes = append(p.report.Result.Outcomes, outcome)
	p.check(answer, expected)
	if answer.Whole && arrival.Label != scenario.LabelPage {
		p.countTokens(arrival, answer)
	}
}

// check compares an answer with what the prompt must give.
func (p *player) check(answer Answer, expected string) {
	switch {
	case answer.Whole && answer.Text != expected:
		p.wrong(answer, "differs from what the prompt gives")
	case !strings.HasPrefix(expected, answer.Text):
		p.wrong(answer, "is no prefix of what the prompt gives")
	case answer.Err != nil:
		p.wrong(answer, answer.Err.Error())
	}
}

func (p *player) wrong(answer Answer, what string) {
	p.report.Wrong = append(p.report.Wrong, fmt.Sprintf("request %s: the answer %s", answer.RequestID, what))
}

// countTokens adds to the sums of the run. A computed block counts as
// recomputed when an earlier answer's engine had computed it.
func (p *player) countTokens(arrival scenario.Arrival, answer Answer) {
	result := &p.report.Result
	result.PromptTokens += arrival.PromptTokens
	result.CachedTokens += answer.CachedTokens
	for index, block := range arrival.Chain {
		cached := (index+1)*prefix.BlockTokens <= answer.CachedTokens
		if !cached && p.computed[block] {
			result.RecomputedTokens += prefix.BlockTokens
		}
		p.computed[block] = true
	}
}

// reportProgress calls OnProgress once a second until the returned function is
// called.
func (p *player) reportProgress(began time.Time) func() {
	if p.options.OnProgress == nil {
		return func() {}
	}
	ticker := time.NewTicker(time.Second)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				p.options.OnProgress(p.progress(time.Since(began)))
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}

func (p *player) progress(at time.Duration) Progress {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := Progress{At: at, Sent: p.sent}
	for _, outcome := range p.report.Result.Outcomes {
		if outcome.Answered {
			state.Answered++
		} else {
			state.Unanswered++
		}
	}
	return state
}
