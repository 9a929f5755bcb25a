package control

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/hotprefix"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/placement/eligible"
	"github.com/lotusward/lotusward/internal/core/registry"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/port"
)

// earlyLimit is how long a starting daemon holds requests for want of any
// knowledge of back ends.
const earlyLimit = 3 * time.Second

// refreshInterval is how often back ends are looked at again for silence.
const refreshInterval = 200 * time.Millisecond

// state is what the control goroutine owns.
type state struct {
	policy    scheduler.Policy
	registry  *registry.Registry
	published *atomic.Pointer[view.View]
	// membership is nil in a daemon without peers, such as an experiment's.
	membership *Membership
	sharing    *Sharing
	sharedAt   time.Time
	usage      usage
	hot        *hotprefix.Tracker
	// watching is nil where nothing is shared about back ends.
	watching *Watching

	waiting       map[identity.RequestID]chan decision
	document      *dynamic.Document
	documentDirty bool
	backends      []scheduler.Backend
	isolated      bool
	refreshedAt   time.Time
	// changedAt is when a refresh last found a change.
	changedAt time.Time
	// early holds requests that came before the back ends were known; they are
	// passed on together, so that a daemon that has just started refuses nobody.
	early         []arrival
	backendsKnown bool
	startedAt     time.Time
}

func newState(options Options, published *atomic.Pointer[view.View]) state {
	return state{
		policy:    options.Policy,
		registry:  options.Registry,
		published: published,
		waiting:   make(map[identity.RequestID]chan decision),
		document:  &dynamic.Document{},
		usage:     newUsage(),
		hot:       hotprefix.New(),
	}
}

// act carries out what the scheduler decided.
func (s *state) act(actions []scheduler.Action) {
	for _, action := range actions {
		switch decided := action.(type) {
		case scheduler.Start:
			s.usage.start(decided.RequestID, decided.Backend.ID)
			s.answer(decided.RequestID, decision{start: decided})
		case scheduler.Refuse:
			s.usage.end(decided.RequestID)
			refused := &port.RefusedError{Reason: decided.Reason, RetryAfter: decided.RetryAfter}
			s.answer(decided.RequestID, decision{err: refused})
		}
	}
}

func (s *state) answer(id identity.RequestID, decided decision) {
	reply, found := s.waiting[id]
	if !found {
		return
	}
	delete(s.waiting, id)
	reply <- decided
}

// tickInterval is the time until the next tick.
func (s *state) tickInterval() time.Duration {
	if len(s.usage.requests) > 0 || len(s.early) > 0 || !s.backendsKnown {
		return busyTickInterval
	}
	return idleTickInterval
}

func (s *state) tick(now time.Time) {
	if now.Sub(s.refreshedAt) >= refreshInterval {
		s.refresh(now)
		s.publishMembers()
	}
	s.act(s.policy.Tick(now))
	s.tickSharing(now)
	if s.membership != nil {
		s.carry(now, s.membership.Node.Tick(now))
	}
	if s.watching != nil {
		s.perform(now, s.watching.Exchange.Tick(now))
	}
}

// refresh passes the merged back ends on when they changed.
func (s *state) refresh(now time.Time) {
	s.refreshedAt = now
	changed := s.registry.Refresh(now)
	if changed {
		s.changedAt = now
		s.backends = s.registry.Backends(now)
		s.act(s.policy.SetBackends(now, s.backends))
	}
	if changed || s.documentDirty {
		s.publish()
	}
	if !s.backendsKnown {
		s.admitEarly(now)
	}
}

// admitEarly passes the held requests on once the back ends are known, or when
// they cannot be held any longer.
func (s *state) admitEarly(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	if !s.registry.Known(now) && now.Sub(s.startedAt) < earlyLimit {
		return
	}
	s.backendsKnown = true
	held := s.early
	s.early = nil
	for _, waiting := range held {
		waiting.apply(s, now)
	}
	s.publish()
}

// placeable tells whether a back end is known that could take the request. What a
// starting daemon can serve already it serves at once.
func (s *state) placeable(request *scheduler.Request) bool {
	work := scheduler.WorkOf(request)
	return slices.ContainsFunc(s.backends, func(backend scheduler.Backend) bool {
		works := eligible.WorksOf(backend.Kind, backend.Service, backend.Models, backend.Leaving)
		return slices.Contains(works, work)
	})
}

// forgetEarly drops a held request and tells whether it was held.
func (s *state) forgetEarly(reply chan decision) bool {
	index := slices.IndexFunc(s.early, func(held arrival) bool { return held.reply == reply })
	if index < 0 {
		return false
	}
	s.early = slices.Delete(s.early, index, index+1)
	return true
}

// publish makes the view that traffic goroutines read from now on.
func (s *state) publish() {
	previous := s.published.Load()
	next := previous.WithBackends(s.backends)
	if s.documentDirty {
		next = view.New(s.document, s.backends)
		s.documentDirty = false
	}
	// Without any configuration no tenant is known: callers are told to come back,
	// not that their key is wrong.
	refuse := s.isolated || s.document.Revision == 0
	s.published.Store(next.WithIsolated(refuse).WithBackendsKnown(s.backendsKnown))
}
