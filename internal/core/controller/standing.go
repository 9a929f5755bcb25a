package controller

import (
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// standing is what operators want of one back end.
type standing struct {
	// slots are models to hold. An engine with any gets no model by the
	// controller's own wish.
	slots []Slot
	// forbidden are models not to hold.
	forbidden []identity.ModelName
	adapters  []adapterWish
	role      string
}

// adapterWish asks for an adapter, or for its absence.
type adapterWish struct {
	model   identity.ModelName
	adapter identity.AdapterName
	absent  bool
}

// forbids tells whether the back end must not hold a model.
func (s standing) forbids(model identity.ModelName) bool {
	return slices.Contains(s.forbidden, model)
}

// standingOrders gathers the operators' standing orders by back end.
func standingOrders(document *dynamic.Document) map[identity.BackendID]standing {
	gathered := make(map[identity.BackendID]standing)
	for _, order := range document.Orders {
		entry := gathered[order.Backend]
		entry.add(document, order)
		gathered[order.Backend] = entry
	}
	return gathered
}

// add takes one standing order.
func (s *standing) add(document *dynamic.Document, order dynamic.StandingOrder) {
	if order.Role != "" {
		s.role = order.Role
	}
	switch {
	case order.Model == "":
	case order.Adapter != "":
		wish := adapterWish{model: order.Model, adapter: order.Adapter, absent: order.Unload}
		s.adapters = append(s.adapters, wish)
	case order.Unload:
		s.forbidden = append(s.forbidden, order.Model)
	default:
		s.addSlot(document, order)
	}
}

// addSlot takes an order to hold a model. Without a version it means the one
// that requests run on.
func (s *standing) addSlot(document *dynamic.Document, order dynamic.StandingOrder) {
	version := order.Version
	if model := findModel(document, order.Model); version == "" && model != nil {
		version = model.Version
	}
	s.slots = append(s.slots, Slot{Model: order.Model, Version: version})
}

// orderStates gives the orders to leave, to return and to take a role.
func (p *plan) orderStates() {
	for _, backend := range p.backends {
		leaving := backend.Status.State == enginewire.StateLeaving
		switch {
		case p.drained[backend.ID] && !leaving:
			p.give(backend, enginewire.Order{Kind: enginewire.OrderLeave})
		case leaving && p.returned(backend):
			p.give(backend, enginewire.Order{Kind: enginewire.OrderReturn})
		}
		if backend.Kind == identity.KindEngine {
			p.orderRole(backend)
		}
	}
}

// returned tells whether an operator ended a back end's drain after it had left.
// A back end that left by itself, as in a planned stop, is not asked back.
func (p *plan) returned(backend *Backend) bool {
	if p.drained[backend.ID] {
		return false
	}
	item := dynamic.DrainItem(backend.ID)
	leftAt := time.UnixMicro(int64(backend.Status.StateVersion))
	return slices.ContainsFunc(p.document.History, func(touch dynamic.Touch) bool {
		return touch.Item == item && touch.At.After(leftAt)
	})
}

// orderRole gives an engine its role. An engine that has not yet taken an order
// of this controller in its present life is told the role it has: from then on
// it refuses what earlier holders sent.
func (p *plan) orderRole(backend *Backend) {
	role := backend.Status.Role
	if wanted := p.standing[backend.ID].role; wanted != "" {
		role = wanted
	}
	fenced := p.memory(backend).fenced == backend.Status.Incarnation
	if fenced && role == backend.Status.Role {
		return
	}
	p.give(backend, enginewire.Order{Kind: enginewire.OrderSetRole, Role: role})
}
