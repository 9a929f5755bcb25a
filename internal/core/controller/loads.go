package controller

import (
	"maps"
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// loadWork is the work of ordering loads and unloads for one service.
type loadWork struct {
	plan *plan
	// loading is how many engines load now or may be about to.
	loading int
	// serving is how many engines serve a slot and will go on to.
	serving map[Slot]int
	// targeted is how many engines are meant to have a slot.
	targeted map[Slot]int
}

// orderModels gives the orders by which engines come to have what they are meant
// to have, in the order of the plan's back ends.
func (p *plan) orderModels() {
	work := &loadWork{
		plan:     p,
		loading:  p.controller.countLoading(p),
		serving:  make(map[Slot]int),
		targeted: make(map[Slot]int),
	}
	for _, backend := range p.backends {
		work.countServing(backend)
		for _, slot := range p.wanted(backend) {
			work.targeted[slot]++
		}
	}
	settled := p.controller.settled(p)
	for _, backend := range p.backends {
		work.unloadForbidden(backend)
		for _, slot := range p.wanted(backend) {
			if settled {
				work.load(backend, slot)
			}
			p.orderAdapters(backend, slot)
		}
		work.unloadUnneeded(backend)
	}
}

// wanted are the slots that an engine is meant to have.
func (p *plan) wanted(backend *Backend) []Slot {
	if pinned := p.standing[backend.ID].slots; len(pinned) > 0 {
		return pinned
	}
	if target := p.memory(backend).target; target != (Slot{}) && !p.standing[backend.ID].forbids(target.Model) {
		return []Slot{target}
	}
	return nil
}

// countLoading counts the engines of a service that load or may be about to,
// also those that can't be reached at this moment.
func (c *Controller) countLoading(p *plan) int {
	count := 0
	for _, known := range c.engines {
		if known.service != p.service.Name || p.now.Sub(known.seenAt) >= c.settings.OrderLifetime {
			continue
		}
		if _, coming := known.comingLoad(); coming || known.loading {
			count++
		}
	}
	return count
}

// settled tells whether no load of an earlier holder can begin any more, since
// every engine has taken an order of this one and reported afterwards. An earlier
// holder that was paused may send orders at any time, so waiting alone is not
// enough. Only an engine that takes no orders for the time of a load is no longer
// waited for.
func (c *Controller) settled(p *plan) bool {
	for _, known := range c.engines {
		reachable := p.now.Sub(known.seenAt) < c.settings.OrderLifetime
		awaited := p.now.Sub(known.firstSeen) < c.settings.LoadTimeout
		if known.service == p.service.Name && !known.settled && reachable && awaited {
			return false
		}
	}
	return true
}

// countServing adds what an engine serves and will go on to serve.
func (w *loadWork) countServing(backend *Backend) {
	for _, loaded := range backend.Status.Models {
		if w.plan.serves(backend, slotOf(loaded)) {
			w.serving[slotOf(loaded)]++
		}
	}
}

// serves tells whether an engine serves a slot and no order on its way ends that.
func (p *plan) serves(backend *Backend, slot Slot) bool {
	if !backend.ready(slot) || backend.replaces(slot) {
		return false
	}
	for order, sent := range p.memory(backend).pending {
		if order.Model != slot.Model || (sent.answered && sent.outcome == OutcomeRefused) {
			continue
		}
		if order.Kind == enginewire.OrderUnloadModel {
			return false
		}
		if order.Kind == enginewire.OrderLoadModel && order.Version != slot.Version {
			return false
		}
	}
	return true
}

// load orders an engine to load a slot, if it has not got it and limits allow.
func (w *loadWork) load(backend *Backend, slot Slot) {
	p := w.plan
	known := p.memory(backend)
	if _, coming := known.comingLoad(); coming || backend.has(slot) || backend.loading() {
		return
	}
	limit := p.service.ConcurrentLoads
	if limit > 0 && w.loading >= limit {
		return
	}
	pinned := len(p.standing[backend.ID].slots) > 0
	if !pinned && !w.mayMove(backend, slot) {
		return
	}
	// An engine has room for one model beyond what operators ask for.
	for _, loaded := range backend.Status.Models {
		switch {
		case loaded.Model == slot.Model:
			w.stopServing(backend, slotOf(loaded))
		case !pinned:
			w.unload(backend, loaded)
		}
	}
	p.give(backend, enginewire.Order{Kind: enginewire.OrderLoadModel, Model: slot.Model, Version: slot.Version})
	known.moveTo(p.now, slot)
	w.loading++
}

// mayMove tells whether an engine may now be given a slot by the controller's own
// wish. Giving it the same slot again is no move.
func (w *loadWork) mayMove(backend *Backend, slot Slot) bool {
	if w.plan.memory(backend).movedTo != slot && !w.plan.movable(backend) {
		return false
	}
	return w.mayTake(backend)
}

// mayTake tells whether enough engines go on serving what an engine serves if it
// stops.
func (w *loadWork) mayTake(backend *Backend) bool {
	return !slices.ContainsFunc(backend.Status.Models, func(loaded enginewire.LoadedModel) bool {
		slot := slotOf(loaded)
		return w.plan.serves(backend, slot) && w.protected(slot)
	})
}

// protected tells whether no engine that serves a slot may stop. While a model
// changes its version, the engines of old versions and of the new one together
// stay enough for what is needed of the new one. A model's only engine is not
// protected, since it could then never change.
func (w *loadWork) protected(slot Slot) bool {
	current := w.plan.currentSlot(slot.Model)
	if current == (Slot{}) || w.plan.neededCount(slot) > 0 {
		return false // the assignment has kept what is needed
	}
	together := w.serving[current]
	for other, count := range w.serving {
		if other.Model == slot.Model && other != current && w.plan.neededCount(other) == 0 {
			together += count
		}
	}
	enough := min(w.plan.neededCount(current), w.targeted[current]-1)
	return together-1 < enough
}

// currentSlot is the version of a model that requests run on; empty for a model
// that the service doesn't serve.
func (p *plan) currentSlot(model identity.ModelName) Slot {
	for _, slot := range currentSlots(p.document, p.service) {
		if slot.Model == model {
			return slot
		}
	}
	return Slot{}
}

// neededCount is how many engines the needs ask for with a slot.
func (p *plan) neededCount(slot Slot) int {
	count := 0
	for _, need := range p.needs {
		if need.slot == slot {
			count = max(count, need.count)
		}
	}
	return count
}

// stopServing notes that an engine will no longer serve a slot.
func (w *loadWork) stopServing(backend *Backend, slot Slot) {
	if w.plan.serves(backend, slot) {
		w.serving[slot]--
	}
}

// unload orders an engine to unload a model.
func (w *loadWork) unload(backend *Backend, loaded enginewire.LoadedModel) {
	w.stopServing(backend, slotOf(loaded))
	w.plan.give(backend, enginewire.Order{Kind: enginewire.OrderUnloadModel, Model: loaded.Model})
}

// unloadForbidden unloads what operators don't want on an engine.
func (w *loadWork) unloadForbidden(backend *Backend) {
	for _, loaded := range backend.Status.Models {
		if w.plan.standing[backend.ID].forbids(loaded.Model) {
			w.unload(backend, loaded)
		}
	}
}

// unloadUnneeded unloads what the controller has not wanted on an engine for the
// withdraw delay. What is on an engine that operators pin is left to them.
func (w *loadWork) unloadUnneeded(backend *Backend) {
	p := w.plan
	known := p.memory(backend)
	wanted := p.wanted(backend)
	if len(p.standing[backend.ID].slots) > 0 {
		clear(known.unneededSince)
		return
	}
	for slot := range known.unneededSince {
		if !backend.has(slot) || slices.Contains(wanted, slot) {
			delete(known.unneededSince, slot)
		}
	}
	for _, loaded := range backend.Status.Models {
		slot := slotOf(loaded)
		if slices.ContainsFunc(wanted, func(other Slot) bool { return other.Model == slot.Model }) {
			continue // the wanted version will take its place
		}
		since, noted := known.unneededSince[slot]
		switch {
		case !noted:
			known.unneededSince[slot] = p.now
		case p.now.Sub(since) >= p.controller.settings.WithdrawDelay && w.mayTake(backend):
			w.unload(backend, loaded)
		}
	}
}

// orderAdapters gives an engine the adapters of a model that it serves.
func (p *plan) orderAdapters(backend *Backend, slot Slot) {
	loaded := backend.serving(slot)
	if loaded == nil {
		return
	}
	for _, wish := range p.adapterWishes(backend, slot) {
		present := slices.Contains(loaded.Adapters, wish.adapter)
		if present == !wish.absent {
			continue
		}
		kind := enginewire.OrderLoadAdapter
		if wish.absent {
			kind = enginewire.OrderUnloadAdapter
		}
		p.give(backend, enginewire.Order{Kind: kind, Model: wish.model, Adapter: wish.adapter})
	}
}

// adapterWishes are the adapters that a model has by configuration, changed by
// the operators' orders for the engine.
func (p *plan) adapterWishes(backend *Backend, slot Slot) []adapterWish {
	wishes := make(map[identity.AdapterName]adapterWish)
	if model := findModel(p.document, slot.Model); model != nil {
		for _, adapter := range model.Adapters {
			wishes[adapter] = adapterWish{model: slot.Model, adapter: adapter}
		}
	}
	for _, wish := range p.standing[backend.ID].adapters {
		if wish.model == slot.Model {
			wishes[wish.adapter] = wish
		}
	}
	ordered := make([]adapterWish, 0, len(wishes))
	for _, name := range slices.Sorted(maps.Keys(wishes)) {
		ordered = append(ordered, wishes[name])
	}
	return ordered
}
