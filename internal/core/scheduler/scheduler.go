package scheduler

import (
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// DefaultQueueLimit is how many requests wait at most when Options sets no limit.
const DefaultQueueLimit = 4096

// Options are the settings of a Scheduler. The zero value is usable.
type Options struct {
	// Zone is the daemon's own zone; back ends of other zones cost a round trip.
	Zone identity.Zone
	// QueueLimit is how many requests wait at most; zero means DefaultQueueLimit.
	QueueLimit int
}

// outstandingTokensLimit bounds the prompt tokens that are sent to one engine
// and have not given a first token.
const outstandingTokensLimit = 16384

// Scheduler places requests on back ends. It implements Policy.
type Scheduler struct {
	options  Options
	backends map[identity.BackendID]*backendState
	order    []identity.BackendID
	waiting  []Request
	running  map[identity.RequestID]runningRequest
}

type backendState struct {
	backend     Backend
	outstanding int
	running     int
}

type runningRequest struct {
	backend identity.BackendID
	tokens  int
	started bool
}

var _ Policy = (*Scheduler)(nil)

// New makes a scheduler that knows no back ends yet.
func New(options Options) *Scheduler {
	if options.QueueLimit == 0 {
		options.QueueLimit = DefaultQueueLimit
	}
	return &Scheduler{
		options:  options,
		backends: map[identity.BackendID]*backendState{},
		running:  map[identity.RequestID]runningRequest{},
	}
}

// SetBackends implements Policy.
func (s *Scheduler) SetBackends(now time.Time, backends []Backend) []Action {
	known := make(map[identity.BackendID]*backendState, len(backends))
	s.order = s.order[:0]
	for _, backend := range backends {
		state := s.backends[backend.ID]
		if state == nil || state.backend.Incarnation != backend.Incarnation {
			state = &backendState{}
		}
		state.backend = backend
		known[backend.ID] = state
		s.order = append(s.order, backend.ID)
	}
	slices.Sort(s.order)
	s.backends = known
	return s.dispatch(now)
}

// SetTenants implements Policy.
func (s *Scheduler) SetTenants(time.Time, []TenantLimit) {}

// Arrive implements Policy.
func (s *Scheduler) Arrive(now time.Time, request Request) []Action {
	if !s.anyEligible(&request) {
		return []Action{Refuse{RequestID: request.ID, Reason: noBackendReason(&request), RetryAfter: time.Second}}
	}
	if len(s.waiting) >= s.options.QueueLimit {
		return []Action{Refuse{RequestID: request.ID, Reason: ReasonQueueFull, RetryAfter: time.Second}}
	}
	position, _ := slices.BinarySearchFunc(s.waiting, request, func(one, other Request) int {
		if one.Class <= other.Class {
			return -1
		}
		return 1
	})
	s.waiting = slices.Insert(s.waiting, position, request)
	return s.dispatch(now)
}

// Cancel implements Policy.
func (s *Scheduler) Cancel(_ time.Time, id identity.RequestID) []Action {
	s.waiting = slices.DeleteFunc(s.waiting, func(request Request) bool { return request.ID == id })
	return nil
}

// FirstToken implements Policy.
func (s *Scheduler) FirstToken(now time.Time, report FirstToken) []Action {
	entry, found := s.running[report.RequestID]
	if !found || entry.started || entry.backend != report.Backend {
		return nil
	}
	entry.started = true
	s.running[report.RequestID] = entry
	if state := s.backends[entry.backend]; state != nil {
		state.outstanding = max(0, state.outstanding-entry.tokens)
	}
	return s.dispatch(now)
}

// Finish implements Policy.
func (s *Scheduler) Finish(now time.Time, report Finish) []Action {
	entry, found := s.running[report.RequestID]
	if !found || entry.backend != report.Backend {
		return nil
	}
	delete(s.running, report.RequestID)
	if state := s.backends[entry.backend]; state != nil {
		state.running = max(0, state.running-1)
		if !entry.started {
			state.outstanding = max(0, state.outstanding-entry.tokens)
		}
	}
	return s.dispatch(now)
}

// ObserveLoad implements Policy.
func (s *Scheduler) ObserveLoad(time.Time, identity.BackendID, identity.Incarnation, enginewire.Load) {
}

// ObserveCacheEvents implements Policy.
func (s *Scheduler) ObserveCacheEvents(time.Time, identity.BackendID, enginewire.CacheEventBatch) {}

// Tick implements Policy.
func (s *Scheduler) Tick(now time.Time) []Action { return s.dispatch(now) }

func (s *Scheduler) dispatch(now time.Time) []Action {
	var actions []Action
	kept := s.waiting[:0]
	for _, request := range s.waiting {
		if !request.Deadline.IsZero() && now.After(request.Deadline) {
			actions = append(actions, Refuse{RequestID: request.ID, Reason: ReasonDeadline, RetryAfter: time.Second})
			continue
		}
		if !s.anyEligible(&request) {
			actions = append(actions, Refuse{RequestID: request.ID, Reason: noBackendReason(&request), RetryAfter: time.Second})
			continue
		}
		state := s.leastLoaded(&request)
		if state == nil {
			kept = append(kept, request)
			continue
		}
		state.outstanding += request.PromptTokens
		state.running++
		s.running[request.ID] = runningRequest{backend: state.backend.ID, tokens: request.PromptTokens}
		actions = append(actions, Start{RequestID: request.ID, Backend: state.backend})
	}
	s.waiting = kept
	return actions
}

func (s *Scheduler) leastLoaded(request *Request) *backendState {
	var best *backendState
	for _, id := range s.order {
		state := s.backends[id]
		if !eligible(&state.backend, request) {
			continue
		}
		if state.outstanding > 0 && state.outstanding+request.PromptTokens > outstandingTokensLimit {
			continue
		}
		if best == nil || state.outstanding < best.outstanding || (state.outstanding == best.outstanding && state.running < best.running) {
			best = state
		}
	}
	return best
}

func (s *Scheduler) anyEligible(request *Request) bool {
	for _, state := range s.backends {
		if eligible(&state.backend, request) {
			return true
		}
	}
	return false
}

func eligible(backend *Backend, request *Request) bool {
	if backend.Leaving || backend.Kind != request.Kind || slices.Contains(request.Excluded, backend.ID) {
		return false
	}
	if request.Service != "" && backend.Service != request.Service {
		return false
	}
	if request.Kind == identity.KindApp {
		return true
	}
	return slices.ContainsFunc(backend.Models, func(model enginewire.LoadedModel) bool {
		return model.Ready && model.Model == request.Model && model.Version == request.Version
	})
}

func noBackendReason(request *Request) RefusalReason {
	if len(request.Excluded) > 0 {
		return ReasonNoOtherBackend
	}
	return ReasonNoBackend
}
