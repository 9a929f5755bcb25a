package controller

import (
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Slot is a model at one version of its weights.
type Slot struct {
	Model   identity.ModelName
	Version identity.WeightsVersion
}

// Backend is a back end as it last reported itself.
type Backend struct {
	scheduler.Backend
	Status enginewire.Status
	// AskedAt is when the report was asked for: what happened before is in it.
	AskedAt time.Time
}

// Snapshot is what the controller decides on. It is not modified.
type Snapshot struct {
	Document *dynamic.Document
	// Backends are those that can be reached.
	Backends []Backend
	// Demand is how many requests run or wait.
	Demand map[DemandKey]int
}

// DemandKey is what demand is counted by.
type DemandKey struct {
	Service identity.ServiceName
	Model   identity.ModelName
}

// Directive is an order to one back end.
type Directive struct {
	Backend identity.BackendID
	Address string
	Order   enginewire.Order
}

// Outcome is what became of an order.
type Outcome int

// The outcomes of an order.
const (
	// OutcomeAccepted means that the back end has carried it out or begun to.
	OutcomeAccepted Outcome = iota
	// OutcomeRefused means that the back end refused it, or was not reached.
	OutcomeRefused
	// OutcomeUnknown means that the answer was lost.
	OutcomeUnknown
	// OutcomeStale means that the back end has seen a newer fencing token.
	OutcomeStale
)

// SumDemand adds up the requests that run or wait on the engines. An engine with
// several models doesn't tell them apart and counts for each.
func SumDemand(backends []Backend) map[DemandKey]int {
	demand := make(map[DemandKey]int)
	for index := range backends {
		status := &backends[index].Status
		requests := status.Load.Running + status.Load.Waiting
		for _, loaded := range status.Models {
			demand[DemandKey{Service: backends[index].Service, Model: loaded.Model}] += requests
		}
	}
	return demand
}

// holds tells whether the back end holds or loads any version of a model. While
// an engine replaces a version it may report both.
func (b *Backend) holds(model identity.ModelName) bool {
	return slices.ContainsFunc(b.Status.Models, func(loaded enginewire.LoadedModel) bool {
		return loaded.Model == model
	})
}

// has tells whether the back end holds or loads a slot.
func (b *Backend) has(slot Slot) bool {
	return slices.ContainsFunc(b.Status.Models, func(loaded enginewire.LoadedModel) bool {
		return slotOf(loaded) == slot
	})
}

// serving returns what the back end reports of a slot that it serves, or nil.
func (b *Backend) serving(slot Slot) *enginewire.LoadedModel {
	for index := range b.Status.Models {
		if loaded := &b.Status.Models[index]; loaded.Ready && slotOf(*loaded) == slot {
			return loaded
		}
	}
	return nil
}

// ready tells whether the back end serves a slot.
func (b *Backend) ready(slot Slot) bool { return b.serving(slot) != nil }

// replaces tells whether the back end loads another version of a slot's model.
func (b *Backend) replaces(slot Slot) bool {
	return slices.ContainsFunc(b.Status.Models, func(loaded enginewire.LoadedModel) bool {
		return !loaded.Ready && loaded.Model == slot.Model && loaded.Version != slot.Version
	})
}

// loading tells whether the back end loads weights.
func (b *Backend) loading() bool {
	return slices.ContainsFunc(b.Status.Models, func(loaded enginewire.LoadedModel) bool { return !loaded.Ready })
}

// slotOf returns the slot of a loaded model.
func slotOf(loaded enginewire.LoadedModel) Slot {
	return Slot{Model: loaded.Model, Version: loaded.Version}
}
