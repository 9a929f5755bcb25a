package scheduler

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/admission"
	"github.com/lotusward/lotusward/internal/core/belief"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/placement"
	"github.com/lotusward/lotusward/internal/core/placement/eligible"
)

// Constants of refusals.
const (
	// noBackendRetry is when a caller may find a back end where there was none.
	noBackendRetry = time.Second
	// leastRetry is the least time that a refusal asks a caller to wait.
	leastRetry = 50 * time.Millisecond
	// outputCharge is the cost of an answer's token in fair queueing, in prompt
	// tokens: an answer's tokens are computed many requests at a time.
	outputCharge = 1
)

// Arrive implements Policy.
func (s *Scheduler) Arrive(now time.Time, request Request) []Action {
	at := s.seconds(now)
	s.replaceOlder(now, request.ID)
	if !s.admit(now, &request) {
		return s.takeActions()
	}
	arrived := &job{request: request, arrivedAt: at, group: s.groups[WorkOf(&request)]}
	if arrived.group == nil {
		s.refuseWithoutBackend(now, arrived)
		return s.takeActions()
	}
	arrived.checkpoints = belief.AppendCheckpoints(nil, request.Chain)
	if len(s.waiting) >= s.options.QueueLimit {
		s.refuse(now, arrived, ReasonQueueFull, s.drainTime(at, arrived.group))
		return s.takeActions()
	}
	s.placeFirst(now, arrived)
	return s.takeActions()
}

// WorkOf names the kind of work that a request asks for.
func WorkOf(request *Request) eligible.Work {
	return eligible.Work{Kind: request.Kind, Service: request.Service, Model: request.Model, Version: request.Version}
}

// replaceOlder drops an older attempt of the same request that was not ended.
func (s *Scheduler) replaceOlder(now time.Time, id identity.RequestID) {
	if older := s.running[id]; older != nil {
		s.finish(now, older, Finish{RequestID: id, Backend: older.backend.backend.ID, Failed: true})
	}
	if older := s.waiting[id]; older != nil {
		s.withdraw(older)
		s.release(now, older)
	}
}

// admit charges a first attempt to its tenant's limits, or refuses it.
func (s *Scheduler) admit(now time.Time, request *Request) bool {
	if request.Attempt > 1 {
		if _, kept := s.retrying[request.ID]; kept {
			delete(s.retrying, request.ID)
		} else {
			s.limits.Rejoin(request.Tenant)
		}
		return true
	}
	verdict, retryAfter := s.limits.Admit(now, request.Tenant, request.PromptTokens+request.OutputTokens)
	switch verdict {
	case admission.OverTokenRate:
		s.actions = append(s.actions, Refuse{RequestID: request.ID, Reason: ReasonTokenLimit, RetryAfter: retryAfter})
	case admission.OverConcurrency:
		s.actions = append(s.actions, Refuse{RequestID: request.ID, Reason: ReasonConcurrency, RetryAfter: retryAfter})
	}
	return verdict == admission.Admitted
}

// placeFirst finds a back end for a job that has just arrived.
func (s *Scheduler) placeFirst(now time.Time, arrived *job) {
	at := s.seconds(now)
	s.sequence++
	request := &arrived.request
	arrived.order = admission.Order{
		Class:    request.Class,
		Tag:      arrived.group.clock.Virtual(request.Class),
		Sequence: s.sequence,
	}
	chosen, found := s.choose(at, arrived)
	if !found {
		s.refuseWithoutBackend(now, arrived)
		return
	}
	uncached := max(1, request.PromptTokens-chosen.CachedTokens)
	if request.Attempt <= 1 {
		arrived.charge = float64(uncached + outputCharge*request.OutputTokens)
		arrived.order.Tag = arrived.group.clock.Tag(request.Tenant, request.Class, s.limits.Weight(request.Tenant), arrived.charge)
		if arrived.group.waiting.Len() > 0 {
			// The tag may have put it behind others that wait.
			chosen, _ = s.choose(at, arrived)
		}
	}
	if late := s.lateness(at, arrived, chosen); late > 0 {
		s.refundCharge(arrived)
		s.refuse(now, arrived, ReasonDeadline, late)
		return
	}
	s.settle(at, arrived, chosen)
}

// lateness is by how much a job will miss its deadline; zero when it will not.
func (s *Scheduler) lateness(at float64, late *job, chosen placement.Candidate) time.Duration {
	if late.request.Deadline.IsZero() {
		return 0
	}
	wait := chosen.Wait
	remaining := late.request.Deadline.Sub(s.began).Seconds() - at
	if wait <= remaining {
		return 0
	}
	return max(leastRetry, time.Duration((wait-remaining)*float64(time.Second)))
}

// settle lets a job start on the chosen back end, or wait for it.
func (s *Scheduler) settle(at float64, settled *job, chosen placement.Candidate) {
	state := s.bySlot[chosen.Index]
	settled.backend = state
	settled.uncached = float64(max(1, settled.request.PromptTokens-chosen.CachedTokens-chosen.ImportTokens))
	settled.importFrom = chosen.ImportFrom
	settled.imported = chosen.ImportTokens
	settled.expectedWait = chosen.Wait
	if s.accepts(at, state, settled.request.Class) && state.parked.Position(settled.order) == 0 {
		s.start(at, settled)
		return
	}
	if settled.isEngineWork() {
		settled.placement = s.index.PlaceWaiting(settled.checkpoints, state.slot)
	}
	s.park(settled)
}

func (s *Scheduler) refuseWithoutBackend(now time.Time, refused *job) {
	reason := ReasonNoBackend
	if len(refused.request.Excluded) > 0 {
		reason = ReasonNoOtherBackend
	}
	s.refuse(now, refused, reason, noBackendRetry)
}

// refuse answers a job that is not parked and gives back its charge.
func (s *Scheduler) refuse(now time.Time, refused *job, reason RefusalReason, retryAfter time.Duration) {
	s.release(now, refused)
	s.actions = append(s.actions, Refuse{RequestID: refused.request.ID, Reason: reason, RetryAfter: max(leastRetry, retryAfter)})
}

// release ends a job that did not run with its tenant's limits.
func (s *Scheduler) release(now time.Time, released *job) {
	s.limits.Release(now, released.request.Tenant, released.request.PromptTokens+released.request.OutputTokens, 0)
}

func (s *Scheduler) refundCharge(refunded *job) {
	request := &refunded.request
	refunded.group.clock.Refund(request.Tenant, request.Class, s.limits.Weight(request.Tenant), refunded.charge)
	refunded.charge = 0
}

// drainTime is when the least loaded back end of a group will be free.
func (s *Scheduler) drainTime(at float64, waiting *group) time.Duration {
	first, found := waiting.byLoad.Min()
	if !found {
		return noBackendRetry
	}
	return time.Duration(max(0, first.orderKey-at) * float64(time.Second))
}
