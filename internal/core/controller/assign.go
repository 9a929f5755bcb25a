package controller

import (
	"cmp"
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// fitness orders the engines that could take a slot; a lower one is better.
type fitness int

// The grades of fitness. Engines that have the slot come first, so that an
// assignment stays as it is while nothing changes.
const (
	fitKeeps fitness = iota
	fitReady
	fitComing
	fitEmpty
	fitOldVersion
	fitOther
	unfit
)

// zoneSlot counts the engines of a slot by zone.
type zoneSlot struct {
	slot Slot
	zone identity.Zone
}

// assignment is the work of giving each engine its target.
type assignment struct {
	plan   *plan
	free   []*Backend
	counts map[Slot]int
	zones  map[zoneSlot]int
}

// assign sets the target of each usable engine that operators don't pin. It
// reorders the plan's back ends by the priority of their loads.
func (p *plan) assign() {
	work := &assignment{plan: p, counts: make(map[Slot]int), zones: make(map[zoneSlot]int)}
	var ordered []*Backend
	for _, backend := range p.backends {
		if !p.usable(backend) {
			continue
		}
		pinned := p.standing[backend.ID].slots
		if len(pinned) == 0 {
			work.free = append(work.free, backend)
			continue
		}
		ordered = append(ordered, backend)
		for _, slot := range pinned {
			work.count(backend, slot)
		}
	}
	ordered = append(ordered, work.meetNeeds()...)
	for _, backend := range work.free {
		work.assignSpare(backend)
		ordered = append(ordered, backend)
	}
	p.backends = ordered
}

// count notes that an engine is meant to have a slot.
func (a *assignment) count(backend *Backend, slot Slot) {
	a.counts[slot]++
	a.zones[zoneSlot{slot: slot, zone: backend.Zone}]++
}

// meetNeeds takes engines for the needs and returns them. Within a priority,
// engines first stay where they are, so that no need takes what another has.
func (a *assignment) meetNeeds() []*Backend {
	var taken []*Backend
	for _, meet := range a.passes() {
		for _, need := range a.plan.needs {
			if need.priority == meet.priority {
				taken = append(taken, meet.pass(need)...)
			}
		}
	}
	return taken
}

// pass is one way to take engines for the needs of one priority.
type pass struct {
	priority priority
	pass     func(need) []*Backend
}

// passes lists the passes over the needs in their order.
func (a *assignment) passes() []pass {
	var passes []pass
	for level := range priorityCount {
		passes = append(passes, pass{priority: level, pass: a.keep}, pass{priority: level, pass: a.fill})
	}
	return passes
}

// keep takes engines that have a need's slot, or get it.
func (a *assignment) keep(need need) []*Backend {
	var graded [fitComing + 1][]*Backend
	for _, backend := range a.free {
		if fit := a.plan.fitness(backend, need.slot); fit <= fitComing {
			graded[fit] = append(graded[fit], backend)
		}
	}
	candidates := slices.Concat(graded[:]...)
	missing := max(0, need.count-a.counts[need.slot])
	candidates = candidates[:min(missing, len(candidates))]
	for _, backend := range candidates {
		a.take(backend, need.slot)
	}
	return candidates
}

// fill takes other engines until a need is met or none is left that may move.
func (a *assignment) fill(need need) []*Backend {
	var taken []*Backend
	for a.counts[need.slot] < need.count {
		backend := a.best(need.slot)
		if backend == nil {
			break
		}
		a.take(backend, need.slot)
		taken = append(taken, backend)
	}
	return taken
}

// take gives an engine its target.
func (a *assignment) take(backend *Backend, slot Slot) {
	index := slices.Index(a.free, backend)
	a.free = slices.Delete(a.free, index, index+1)
	a.plan.memory(backend).target = slot
	a.count(backend, slot)
}

// best returns the free engine that is best for a slot, or nil.
func (a *assignment) best(slot Slot) *Backend {
	var best *Backend
	bestFitness := unfit
	for _, backend := range a.free {
		fit := a.plan.fitness(backend, slot)
		if fit == unfit || fit > bestFitness {
			continue
		}
		if fit < bestFitness || a.better(slot, backend, best) {
			best, bestFitness = backend, fit
		}
	}
	return best
}

// better compares two engines of equal fitness. New engines for a slot come from
// the zone that has the fewest of it, and those with little work first. The free
// engines are ordered by ID, which decides the rest.
func (a *assignment) better(slot Slot, one, other *Backend) bool {
	oneZone := a.zones[zoneSlot{slot: slot, zone: one.Zone}]
	otherZone := a.zones[zoneSlot{slot: slot, zone: other.Zone}]
	return cmp.Or(cmp.Compare(oneZone, otherZone), cmp.Compare(work(one), work(other))) < 0
}

// work is how many requests an engine runs or queues.
func work(backend *Backend) int { return backend.Status.Load.Running + backend.Status.Load.Waiting }

// fitness grades an engine for a slot.
func (p *plan) fitness(backend *Backend, slot Slot) fitness {
	known := p.memory(backend)
	switch {
	case p.standing[backend.ID].forbids(slot.Model):
		return unfit
	case p.serves(backend, slot) && known.target == slot:
		return fitKeeps
	case p.serves(backend, slot):
		return fitReady
	case known.target == slot || p.gets(backend, slot):
		return fitComing
	case !p.movable(backend):
		return unfit
	case len(backend.Status.Models) == 0:
		return fitEmpty
	case backend.holds(slot.Model) && !p.needed(backend):
		return fitOldVersion
	default:
		return fitOther
	}
}

// gets tells whether an engine loads a slot or may be about to.
func (p *plan) gets(backend *Backend, slot Slot) bool {
	coming, isComing := p.memory(backend).comingLoad()
	return (isComing && coming == slot) || (backend.has(slot) && !backend.ready(slot))
}

// movable tells whether an engine may be given another model.
func (p *plan) movable(backend *Backend) bool {
	known := p.memory(backend)
	if _, coming := known.comingLoad(); coming || backend.loading() {
		return false
	}
	return len(backend.Status.Models) == 0 || p.now.Sub(known.movedAt) >= p.controller.settings.MinimumDwell
}

// needed tells whether anything that an engine holds is needed.
func (p *plan) needed(backend *Backend) bool {
	return slices.ContainsFunc(p.needs, func(need need) bool { return backend.has(need.slot) })
}

// assignSpare sets the target of an engine that no need asks for: what it has as
// long as requests can run on it, and otherwise the model with the fewest engines.
func (a *assignment) assignSpare(backend *Backend) {
	known := a.plan.memory(backend)
	current := a.plan.allowedSlots(backend)
	target := known.target
	has := func(slot Slot) bool { return a.plan.serves(backend, slot) || a.plan.gets(backend, slot) }
	held := slices.IndexFunc(current, has)
	switch {
	case slices.Contains(current, target) && has(target):
	case held >= 0:
		target = current[held]
	case slices.Contains(current, target) || !a.plan.movable(backend):
	default:
		target = a.fewest(backend, current)
	}
	known.target = target
	if target != (Slot{}) {
		a.count(backend, target)
	}
}

// allowedSlots are the service's current slots that operators allow on an engine.
func (p *plan) allowedSlots(backend *Backend) []Slot {
	orders := p.standing[backend.ID]
	return slices.DeleteFunc(currentSlots(p.document, p.service), func(slot Slot) bool {
		return orders.forbids(slot.Model)
	})
}

// fewest returns another version of what the engine has, or else the slot with
// the fewest engines; the empty slot when there is none.
func (a *assignment) fewest(backend *Backend, slots []Slot) Slot {
	var best Slot
	for _, slot := range slots {
		if backend.holds(slot.Model) {
			return slot
		}
		if best == (Slot{}) || a.counts[slot] < a.counts[best] {
			best = slot
		}
	}
	return best
}
