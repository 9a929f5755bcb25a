package controller

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// pending is an order whose effect is not yet in a report.
type pending struct {
	sentAt time.Time
	// incarnation is the life of the back end that the order was for.
	incarnation identity.Incarnation
	answered    bool
	answeredAt  time.Time
	outcome     Outcome
}

// memory is what the controller remembers of one back end.
type memory struct {
	service   identity.ServiceName
	firstSeen time.Time
	seenAt    time.Time
	// incarnation is the life of the back end that last reported.
	incarnation identity.Incarnation
	// fenced is the life that has taken an order of this controller; zero when
	// none has.
	fenced identity.Incarnation
	// fencedAt is when the first order was taken; zero when none was. From a report
	// asked for later on, settled is set: it tells all that earlier holders did.
	fencedAt time.Time
	settled  bool
	// pending are the orders on their way.
	pending map[enginewire.Order]*pending
	// target is what the controller wants the engine to hold; empty for nothing.
	target Slot
	// movedTo is the slot that the engine was last ordered to load, and movedAt
	// when that was.
	movedTo Slot
	movedAt time.Time
	// unneededSince is since when a model is on the engine without being wanted.
	unneededSince map[Slot]time.Time
	// loading tells whether the back end reported a load.
	loading bool
	// timing is set from a load order until the load has ended.
	timing bool
}

// newMemory makes the memory of a back end that may have moved when its
// controller started.
func newMemory(now, startedAt time.Time) *memory {
	return &memory{
		firstSeen:     now,
		movedAt:       startedAt,
		pending:       make(map[enginewire.Order]*pending),
		unneededSince: make(map[Slot]time.Time),
	}
}

// observe takes a report. When a load has ended it returns how long it took.
func (m *memory) observe(now time.Time, backend *Backend, settings Settings) (time.Duration, bool) {
	m.service = backend.Service
	m.seenAt = now
	m.incarnation = backend.Status.Incarnation
	m.settled = m.settled || (!m.fencedAt.IsZero() && backend.AskedAt.After(m.fencedAt))
	for order, sent := range m.pending {
		if sent.over(now, backend, order, settings) {
			delete(m.pending, order)
		}
	}
	m.loading = backend.loading()
	if !m.timing || !backend.ready(m.movedTo) {
		return 0, false
	}
	m.timing = false
	return now.Sub(m.movedAt), true
}

// moveTo notes that the engine is ordered to load a slot.
func (m *memory) moveTo(now time.Time, slot Slot) {
	m.movedTo = slot
	m.movedAt = now
	m.timing = true
}

// over tells whether an order needs no more attention: the reports now tell what
// became of it.
func (p *pending) over(now time.Time, backend *Backend, order enginewire.Order, settings Settings) bool {
	isLoad := order.Kind == enginewire.OrderLoadModel
	switch {
	case !p.answered:
		return false
	case isLoad && backend.has(Slot{Model: order.Model, Version: order.Version}):
		return true
	case p.outcome == OutcomeAccepted && isLoad && p.incarnation == backend.Status.Incarnation:
		// An engine need not report a load that replaces what it serves.
		return now.Sub(p.sentAt) >= settings.LoadTimeout
	case p.outcome == OutcomeAccepted:
		return backend.AskedAt.After(p.answeredAt)
	case p.outcome == OutcomeUnknown:
		return now.Sub(p.sentAt) >= settings.OrderLifetime
	default:
		return now.Sub(p.answeredAt) >= settings.RetryInterval
	}
}

// send notes an order. It returns false when the same order is on its way.
func (m *memory) send(now time.Time, order enginewire.Order) bool {
	if m.pending[order] != nil {
		return false
	}
	m.pending[order] = &pending{sentAt: now, incarnation: m.incarnation}
	return true
}

// orderDone notes the outcome of an order.
func (m *memory) orderDone(now time.Time, order enginewire.Order, outcome Outcome) {
	if outcome == OutcomeAccepted {
		m.fenced = m.incarnation
		if m.fencedAt.IsZero() {
			m.fencedAt = now
		}
	}
	sent := m.pending[order]
	if sent == nil {
		return
	}
	sent.answered = true
	sent.answeredAt = now
	sent.outcome = outcome
}

// comingLoad returns the slot of a load that may be on its way.
func (m *memory) comingLoad() (Slot, bool) {
	for order, sent := range m.pending {
		mayCome := !sent.answered || sent.outcome == OutcomeAccepted || sent.outcome == OutcomeUnknown
		if order.Kind == enginewire.OrderLoadModel && mayCome {
			return Slot{Model: order.Model, Version: order.Version}, true
		}
	}
	return Slot{}, false
}
