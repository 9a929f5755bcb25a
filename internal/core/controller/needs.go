package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// priority orders needs; a lower one is met first.
type priority int

// The priorities of needs.
const (
	// priorityPresence is for one engine of each model.
	priorityPresence priority = iota
	// priorityEvent is for what declared events need.
	priorityEvent
	// priorityDemand is for what requests ask for beyond that.
	priorityDemand
	priorityCount
)

// need asks for at least count engines with a slot. Within a priority, needs that
// come first in a list are met first.
type need struct {
	priority priority
	slot     Slot
	count    int
}

// eventKey names one window of an event. An event that is moved is a new one.
type eventKey struct {
	name  string
	start int64
}

// demandLevel is how many engines demand asks for. It rises at once, and falls
// after demand has stayed lower for the withdraw delay.
type demandLevel struct {
	engines    int
	lower      bool
	lowerSince time.Time
}

// needsOf lists what a service needs: first one engine for each of its models,
// then what events need, then what demand asks for beyond that.
func (c *Controller) needsOf(now time.Time, snapshot Snapshot, service *dynamic.Service) []need {
	var needs []need
	current := currentSlots(snapshot.Document, service)
	for _, slot := range current {
		needs = append(needs, need{priority: priorityPresence, slot: slot, count: 1})
	}
	needs = append(needs, c.eventNeeds(now, snapshot.Document, service)...)
	for _, slot := range current {
		key := DemandKey{Service: service.Name, Model: slot.Model}
		engines := c.level(now, key, snapshot.Demand[key])
		needs = append(needs, need{priority: priorityDemand, slot: slot, count: engines})
	}
	return needs
}

// currentSlots are the models of a service at the versions that requests run on.
func currentSlots(document *dynamic.Document, service *dynamic.Service) []Slot {
	var slots []Slot
	for _, name := range service.Models {
		if model := findModel(document, name); model != nil {
			slots = append(slots, Slot{Model: name, Version: model.Version})
		}
	}
	return slots
}

// findModel finds a model by name, or nil.
func findModel(document *dynamic.Document, name identity.ModelName) *dynamic.Model {
	index := slices.IndexFunc(document.Models, func(model dynamic.Model) bool { return model.Name == name })
	if index < 0 {
		return nil
	}
	return &document.Models[index]
}

// eventNeeds lists what events need now, the earliest event first. Events at the
// same time each need their own engines.
func (c *Controller) eventNeeds(now time.Time, document *dynamic.Document, service *dynamic.Service) []need {
	events := slices.Clone(document.Events)
	slices.SortFunc(events, func(a, b dynamic.Event) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Name, b.Name))
	})
	var needs []need
	sums := make(map[Slot]int)
	for index := range events {
		if !c.eventOpen(now, &events[index], service) {
			continue
		}
		for _, model := range events[index].Models {
			if model.Service != service.Name {
				continue
			}
			slot := Slot{Model: model.Model, Version: model.Version}
			sums[slot] += model.Engines
			needs = append(needs, need{priority: priorityEvent, slot: slot, count: sums[slot]})
		}
	}
	return needs
}

// eventOpen tells whether an event's models are to be held now: from the lead
// time before its start until the withdraw delay after its end.
func (c *Controller) eventOpen(now time.Time, event *dynamic.Event, service *dynamic.Service) bool {
	key := eventKey{name: event.Name, start: event.Start.UnixNano()}
	if !now.Before(event.End.Add(c.settings.WithdrawDelay)) {
		delete(c.opened, key)
		return false
	}
	// Once opened it stays open, although the lead time changes with load times.
	if c.opened[key] {
		return true
	}
	if now.Before(event.Start.Add(-c.leadTime(event, service))) {
		return false
	}
	c.opened[key] = true
	return true
}

// leadTime is how long before its start an event's models begin to be loaded.
func (c *Controller) leadTime(event *dynamic.Event, service *dynamic.Service) time.Duration {
	// Loads may come out slower than the estimate.
	const reserve = 2
	engines := 0
	for _, model := range event.Models {
		if model.Service == service.Name {
			engines += model.Engines
		}
	}
	rounds := 1
	if service.ConcurrentLoads > 0 {
		rounds = (engines + service.ConcurrentLoads - 1) / service.ConcurrentLoads
	}
	loads := time.Duration(reserve*rounds) * c.loadTime(service.Name)
	// An engine may have to stay where it is for its dwell time, and a new holder
	// waits for the orders of the one before.
	return c.settings.PreloadMargin + c.settings.MinimumDwell + c.settings.OrderLifetime + loads
}

// level returns how many engines demand asks for.
func (c *Controller) level(now time.Time, key DemandKey, requests int) int {
	engines := (requests + c.settings.RequestsPerEngine - 1) / c.settings.RequestsPerEngine
	known := c.demand[key]
	if known == nil {
		known = &demandLevel{}
		c.demand[key] = known
	}
	switch {
	case engines >= known.engines:
		known.engines = engines
		known.lower = false
	case !known.lower:
		known.lower = true
		known.lowerSince = now
	case now.Sub(known.lowerSince) >= c.settings.WithdrawDelay:
		known.engines = engines
		known.lower = false
	}
	return known.engines
}
