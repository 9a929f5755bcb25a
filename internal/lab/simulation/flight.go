package simulation

import (
	"fmt"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
)

// callerRetryPause is how long a caller waits before it asks another daemon when
// its own was restarted.
const callerRetryPause = 50 * time.Millisecond

// flight is one request on its way through the run.
type flight struct {
	arrival scenario.Arrival
	outcome Outcome
	daemon  *daemonNode
	// request is as the policy sees it; its ID and Attempt name the attempt.
	request scheduler.Request
	backend scheduler.Backend
	// placed is set while an attempt is at a back end or on the way there.
	placed bool
	// given is how many tokens the caller has.
	given int
	// reportedAttempt is the attempt whose first token was reported.
	reportedAttempt int
	settled         bool
	// travelling are the tokens noted as on their way to an engine.
	travelling travel
}

// firstReported tells whether the present attempt's first token was reported.
func (f *flight) firstReported() bool { return f.reportedAttempt == f.request.Attempt }

// key names the present attempt on an engine.
func (f *flight) key() model.Key {
	return model.Key{RequestID: f.request.ID, Attempt: f.request.Attempt}
}

func (w *world) scheduleArrival(arrival scenario.Arrival) {
	made := &flight{arrival: arrival, outcome: Outcome{
		Tenant: arrival.Tenant, Label: arrival.Label, ArrivedAt: arrival.At,
		Deadline: arrival.Deadline, PromptTokens: arrival.PromptTokens,
	}}
	w.flights = append(w.flights, made)
	id := identity.RequestID(fmt.Sprint(len(w.flights)))
	w.at(arrival.At+w.scenario.Deployment.ToClient, func() { w.ask(made, w.daemons[arrival.Daemon], id) })
}

// ask gives a caller's request to a daemon.
func (w *world) ask(asked *flight, daemon *daemonNode, id identity.RequestID) {
	deployment := &w.scenario.Deployment
	asked.daemon = daemon
	asked.given, asked.reportedAttempt = 0, 0
	asked.request = scheduler.Request{
		ID:           id,
		Tenant:       asked.arrival.Tenant,
		Kind:         identity.KindEngine,
		Model:        deployment.Model,
		Version:      deployment.Version,
		Class:        asked.arrival.Class,
		Chain:        asked.arrival.Chain,
		PromptTokens: asked.arrival.PromptTokens,
		OutputTokens: asked.arrival.OutputTokens,
		Deadline:     startOfTime.Add(asked.arrival.At + asked.arrival.Deadline),
		Attempt:      1,
	}
	if asked.arrival.Label == scenario.LabelPage {
		asked.request.Kind = identity.KindApp
		asked.request.Service = deployment.AppService
		asked.request.Model, asked.request.Version = "", ""
	}
	daemon.flights[id] = asked
	w.submit(asked)
}

func (w *world) submit(asked *flight) {
	asked.outcome.Attempts++
	w.act(asked.daemon, asked.daemon.policy.Arrive(w.now, asked.request))
}

// answer notes the first token that reaches the caller.
func (w *world) answer(answered *flight) {
	if answered.settled || answered.outcome.Answered {
		return
	}
	answered.outcome.Answered = true
	answered.outcome.FirstTokenAfter = w.now.Sub(startOfTime) - answered.arrival.At
}

// finish notes the last token that reaches the caller.
func (w *world) finish(finished *flight) {
	finished.outcome.Whole = true
	finished.settled = true
}

// settle ends a request without its whole answer.
func (w *world) settle(ended *flight, reason scheduler.RefusalReason) {
	ended.settled = true
	ended.outcome.Refusal = reason
	if !ended.outcome.Answered {
		ended.outcome.FirstTokenAfter = w.now.Sub(startOfTime) - ended.arrival.At
	}
}

// fail ends an attempt that its back end refused or lost, and makes another.
func (w *world) fail(failed *flight, unreachable bool) {
	backend := failed.backend
	failed.placed = false
	w.act(failed.daemon, failed.daemon.policy.Finish(w.now, scheduler.Finish{
		RequestID: failed.request.ID, Backend: backend.ID, OutputTokens: failed.given,
		Failed: true, Unreachable: unreachable,
	}))
	if failed.request.Attempt >= attemptsAllowed {
		delete(failed.daemon.flights, failed.request.ID)
		w.settle(failed, RefusalAttempts)
		return
	}
	failed.request.Attempt++
	failed.request.Excluded = append(failed.request.Excluded, backend.ID)
	w.submit(failed)
}

// current returns a function that runs another only while the present attempt of
// a request is still the one that it was.
func (w *world) current(of *flight, run func()) func() {
	daemon, generation, key := of.daemon, of.daemon.generation, of.key()
	return func() {
		same := of.daemon == daemon && daemon.generation == generation && of.key() == key
		if same && of.placed && !of.settled {
			run()
		}
	}
}
