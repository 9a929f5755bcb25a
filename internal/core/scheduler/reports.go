package scheduler

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Constants of learning.
const (
	// correctionGain is the share of a first token's lateness that is taken as
	// work that was not known.
	correctionGain = 0.5
	// mostSurprise bounds a first token's time, over what was expected, in learning.
	mostSurprise = 2
	// firstAvoidance is how long a back end is avoided after one failure; it
	// doubles with each further one up to mostAvoidance.
	firstAvoidance = 0.5
	mostAvoidance  = 8.0
	// retryPatience is how long a failed request's place in its tenant's
	// concurrency is kept for its next attempt, in seconds.
	retryPatience = 5.0
)

// FirstToken implements Policy.
func (s *Scheduler) FirstToken(now time.Time, report FirstToken) []Action {
	at := s.seconds(now)
	reported := s.running[report.RequestID]
	if reported == nil || reported.firstToken || reported.backend.backend.ID != report.Backend {
		return nil
	}
	reported.firstToken = true
	state := reported.backend
	state.failures = 0
	if !reported.isEngineWork() {
		return nil
	}
	cachedBlocks := -1
	if report.CachedTokens >= 0 {
		cachedBlocks = report.CachedTokens / prefix.BlockTokens
	}
	s.index.Confirm(reported.checkpoints, reported.placement, report.Incarnation, cachedBlocks)
	if report.Incarnation == state.backend.Incarnation {
		s.learnPace(at, reported, report)
	}
	if report.Load != nil && *report.Load != state.queue.reported {
		s.observeLoad(at, state, *report.Load)
	}
	s.reorder(state)
	s.dispatch(at, state)
	return s.takeActions()
}

// learnPace takes what a first token tells of the engine's pace and queue.
func (s *Scheduler) learnPace(at float64, reported *job, report FirstToken) {
	state := reported.backend
	computed := reported.uncached
	if report.CachedTokens >= 0 {
		computed = float64(max(1, reported.request.PromptTokens-report.CachedTokens))
	}
	took := at - reported.startedAt
	ahead := reported.queuedAtStart
	if reported.request.Class == identity.ClassInteractive {
		ahead = 0
	}
	expected := state.pace.StepSeconds() + (ahead+computed)*state.pace.SecondsPerToken()
	if state.batch.wait(0, 0) == 0 {
		// A wait of another cause must not count as the engine's pace.
		s.learnFrom(reported, ahead+computed, took, expected)
	}
	if reported.request.Class != identity.ClassInteractive {
		state.queue.correct(at, correctionGain*(took-expected)/state.pace.SecondsPerToken(), state.pace)
	}
}

// learnFrom takes the time of a first token as the engine's pace, or as an
// import's when there was one.
func (s *Scheduler) learnFrom(reported *job, computed, took, expected float64) {
	if reported.importFrom == "" {
		reported.backend.pace.Learn(computed, min(took, mostSurprise*expected))
		return
	}
	imports := reported.group.imports
	longest := mostSurprise * (imports.StepSeconds() + float64(reported.imported)*imports.SecondsPerToken())
	imports.Learn(float64(reported.imported), min(max(0, took-expected), longest))
}

// Finish implements Policy.
func (s *Scheduler) Finish(now time.Time, report Finish) []Action {
	finished := s.running[report.RequestID]
	if finished == nil || finished.backend.backend.ID != report.Backend {
		return nil
	}
	s.finish(now, finished, report)
	s.dispatch(s.seconds(now), finished.backend)
	return s.takeActions()
}

// finish ends a job that was started.
func (s *Scheduler) finish(now time.Time, finished *job, report Finish) {
	at := s.seconds(now)
	delete(s.running, report.RequestID)
	state := finished.backend
	state.running--
	if finished.isEngineWork() {
		state.batch.note(at, -1)
		if !report.Failed && finished.firstToken {
			state.batch.learnDuration(at - finished.startedAt)
		}
	}
	if finished.isEngineWork() && !finished.firstToken {
		s.index.Forget(finished.checkpoints, finished.placement)
		state.queue.correct(at, -finished.uncached, state.pace)
	}
	if report.Unreachable {
		s.avoid(at, state)
	} else if !report.Failed {
		state.failures = 0
	}
	s.endCharge(now, finished, report)
	s.reorder(state)
}

// endCharge gives back the tenant's concurrency and what it did not use of its
// tokens, or keeps both for the next attempt.
func (s *Scheduler) endCharge(now time.Time, finished *job, report Finish) {
	at := s.seconds(now)
	request := &finished.request
	if report.Retrying {
		s.retrying[request.ID] = retry{tenant: request.Tenant, until: at + retryPatience}
		return
	}
	unused := max(0, request.OutputTokens-report.OutputTokens)
	if report.Failed {
		unused = 0
	}
	duration := time.Duration((at - finished.arrivedAt) * float64(time.Second))
	s.limits.Release(now, request.Tenant, unused, duration)
}

// avoid keeps requests away from a back end that was not reached.
func (s *Scheduler) avoid(at float64, state *backendState) {
	period := min(mostAvoidance, firstAvoidance*float64(int(1)<<min(state.failures, 10)))
	state.failures++
	state.avoidUntil = at + period
}

// dropRetry frees the place that was kept for a request's next attempt.
func (s *Scheduler) dropRetry(now time.Time, id identity.RequestID) {
	if kept, found := s.retrying[id]; found {
		delete(s.retrying, id)
		s.limits.Release(now, kept.tenant, 0, 0)
	}
}

// expireRetries frees the places of requests whose next attempt never came.
func (s *Scheduler) expireRetries(now time.Time) {
	at := s.seconds(now)
	for id, kept := range s.retrying {
		if at >= kept.until {
			s.dropRetry(now, id)
		}
	}
}

// ObserveLoad implements Policy.
func (s *Scheduler) ObserveLoad(now time.Time, backend identity.BackendID, incarnation identity.Incarnation, load enginewire.Load) {
	state := s.backends[backend]
	if state == nil || state.backend.Incarnation != incarnation || state.backend.Kind != identity.KindEngine {
		return
	}
	s.observeLoad(s.seconds(now), state, load)
	s.reorder(state)
}

func (s *Scheduler) observeLoad(at float64, state *backendState, load enginewire.Load) {
	s.index.SetCapacity(state.slot, load.TotalBlocks)
	state.queue.report(at, s.options.LoadLag.Seconds(), load, state.pace)
	state.batch.report(at, s.options.LoadLag.Seconds(), load)
}

// ObserveCacheEvents implements Policy.
func (s *Scheduler) ObserveCacheEvents(_ time.Time, backend identity.BackendID, batch enginewire.CacheEventBatch) {
	if state := s.backends[backend]; state != nil {
		s.index.ApplyEvents(state.slot, batch)
	}
}
