package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/lease"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

const testService = identity.ServiceName("coach-llm")

// engine is a simulated engine: one version of each model, a fence, and loads
// that take time. While it loads it goes on serving the version before.
type engine struct {
	id          identity.BackendID
	zone        identity.Zone
	incarnation identity.Incarnation
	state       enginewire.State
	role        string
	ready       map[identity.ModelName]identity.WeightsVersion
	loads       map[identity.ModelName]load
	fence       lease.Fence
}

// load is a load under way.
type load struct {
	slot Slot
	ends time.Time
	// foreign loads are those that the present holder can't know of.
	foreign bool
}

// letter is an order on its way to an engine.
type letter struct {
	directive Directive
	sender    *Controller
	expires   time.Time
	// repeated marks a copy, and reported a letter whose sender has been told that
	// its outcome is unknown.
	repeated bool
	reported bool
}

// fleet is the simulated world: engines, the network, and the holders.
type fleet struct {
	now      time.Time
	settings Settings
	document dynamic.Document
	demand   map[DemandKey]int
	engines  []*engine
	loadTime time.Duration
	// hidden engines don't report a load that replaces what they serve.
	hidden  bool
	holder  *Controller
	earlier []*Controller
	fence   identity.FencingToken
	letters []letter
	moves   map[moveKey]move
	// flaps counts engines that were given another model within their dwell time.
	flaps int
}

// moveKey and move record which slot a holder last gave an engine, and when.
type moveKey struct {
	holder  *Controller
	backend identity.BackendID
}

type move struct {
	slot Slot
	at   time.Time
}

func newFleet(count, limit int, models ...identity.ModelName) *fleet {
	f := &fleet{
		now:      time.Unix(1_700_000_000, 0),
		settings: DefaultSettings(),
		demand:   map[DemandKey]int{},
		loadTime: 3 * time.Second,
		moves:    map[moveKey]move{},
	}
	f.settings.WithdrawDelay = time.Minute
	f.document.Services = []dynamic.Service{{
		Name: testService, Kind: identity.KindEngine, Models: models, ConcurrentLoads: limit,
	}}
	for _, model := range models {
		f.document.Models = append(f.document.Models, dynamic.Model{Name: model, Version: "1"})
	}
	for index := range count {
		one := &engine{
			id:   identity.BackendID(fmt.Sprintf("engine-%d", index)),
			zone: identity.Zone(fmt.Sprintf("zone-%d", index%3)),
		}
		f.engines = append(f.engines, one)
		f.crash(one)
	}
	f.takeOver()
	return f
}

// crash restarts an engine, which comes back empty and without a fence.
func (f *fleet) crash(one *engine) {
	one.incarnation++
	one.state = enginewire.StateServing
	one.ready = map[identity.ModelName]identity.WeightsVersion{}
	one.loads = map[identity.ModelName]load{}
	one.fence = lease.Fence{}
}

// takeOver makes a new holder, which knows nothing.
func (f *fleet) takeOver() {
	if f.holder != nil {
		f.earlier = append(f.earlier, f.holder)
	}
	f.fence++
	f.holder = New(f.settings, f.fence, f.now)
}

// advance moves time on; loads end, and old letters are lost for good.
func (f *fleet) advance(by time.Duration) {
	f.now = f.now.Add(by)
	for _, one := range f.engines {
		for model, load := range one.loads {
			if !load.ends.After(f.now) {
				one.ready[model] = load.slot.Version
				delete(one.loads, model)
			}
		}
	}
	f.letters = slices.DeleteFunc(f.letters, func(one letter) bool {
		expired := !f.now.Before(one.expires)
		if expired {
			f.tell(one, OutcomeUnknown)
		}
		return expired
	})
}

// plan lets a controller plan on fresh reports of the reachable engines.
func (f *fleet) plan(controller *Controller, unreachable ...*engine) []Directive {
	snapshot := Snapshot{Document: &f.document, Demand: f.demand}
	for _, one := range f.engines {
		if !slices.Contains(unreachable, one) {
			snapshot.Backends = append(snapshot.Backends, f.report(one))
		}
	}
	directives := controller.Plan(f.now, snapshot)
	for _, directive := range directives {
		f.noteMove(controller, directive)
		f.letters = append(f.letters, letter{
			directive: directive, sender: controller, expires: f.now.Add(f.settings.OrderLifetime),
		})
	}
	return directives
}

// noteMove records a load order and counts it if it comes within the dwell time
// of another. Empty engines and operators' orders don't count.
func (f *fleet) noteMove(controller *Controller, directive Directive) {
	order := directive.Order
	if order.Kind != enginewire.OrderLoadModel {
		return
	}
	key := moveKey{holder: controller, backend: directive.Backend}
	next := move{slot: Slot{Model: order.Model, Version: order.Version}, at: f.now}
	last, moved := f.moves[key]
	f.moves[key] = next
	pinned := len(standingOrders(&f.document)[directive.Backend].slots) > 0
	if moved && !pinned && last.slot != next.slot && f.now.Sub(last.at) < f.settings.MinimumDwell && f.holds(directive.Backend) {
		f.flaps++
	}
}

// holds tells whether an engine serves or loads anything.
func (f *fleet) holds(id identity.BackendID) bool {
	index := slices.IndexFunc(f.engines, func(engine *engine) bool { return engine.id == id })
	return len(f.engines[index].ready)+len(f.engines[index].loads) > 0
}

// report is an engine's state as the controller gets it.
func (f *fleet) report(one *engine) Backend {
	status := enginewire.Status{
		Backend: one.id, Kind: identity.KindEngine, Incarnation: one.incarnation, State: one.state, Role: one.role,
	}
	for model, version := range one.ready {
		status.Models = append(status.Models, enginewire.LoadedModel{Model: model, Version: version, Ready: true})
	}
	for model, load := range one.loads {
		if _, replaces := one.ready[model]; !replaces || !f.hidden {
			status.Models = append(status.Models, enginewire.LoadedModel{Model: model, Version: load.slot.Version})
		}
	}
	slices.SortFunc(status.Models, func(a, b enginewire.LoadedModel) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return Backend{
		Backend: scheduler.Backend{
			ID: one.id, Kind: identity.KindEngine, Service: testService, Zone: one.zone, Incarnation: one.incarnation,
		},
		Status:  status,
		AskedAt: f.now.Add(time.Nanosecond),
	}
}

// take removes a letter from the network.
func (f *fleet) take(index int) letter {
	taken := f.letters[index]
	f.letters = slices.Delete(f.letters, index, index+1)
	return taken
}

// arrive brings a letter to its engine and returns the engine's answer.
func (f *fleet) arrive(one letter) Outcome {
	index := slices.IndexFunc(f.engines, func(engine *engine) bool { return engine.id == one.directive.Backend })
	engine, order := f.engines[index], one.directive.Order
	if !engine.fence.Admit(order.Fence) {
		return OutcomeStale
	}
	switch order.Kind {
	case enginewire.OrderLoadModel:
		slot := Slot{Model: order.Model, Version: order.Version}
		if engine.ready[order.Model] != order.Version && engine.loads[order.Model].slot != slot {
			foreign := one.repeated || (order.Fence != f.fence && f.unknowable(engine))
			engine.loads[order.Model] = load{slot: slot, ends: f.now.Add(f.loadTime), foreign: foreign}
		}
	case enginewire.OrderUnloadModel:
		delete(engine.ready, order.Model)
		delete(engine.loads, order.Model)
	case enginewire.OrderSetRole:
		engine.role = order.Role
	case enginewire.OrderLeave:
		engine.state = enginewire.StateLeaving
	case enginewire.OrderReturn:
		engine.state = enginewire.StateServing
	}
	return OutcomeAccepted
}

// unknowable tells whether the present holder may count without an earlier
// holder's load: a restarted engine has no fence and takes any order, some
// engines don't report loads, and none is waited for longer than a load.
func (f *fleet) unknowable(one *engine) bool {
	return f.hidden || one.incarnation > 1 || f.now.Sub(f.holder.startedAt) >= f.settings.LoadTimeout
}

// deliver brings a letter to its engine and the answer back.
func (f *fleet) deliver(index int) {
	one := f.take(index)
	f.tell(one, f.arrive(one))
}

// tell gives a sender the outcome of its order, once.
func (f *fleet) tell(one letter, outcome Outcome) {
	if !one.repeated && !one.reported {
		one.sender.OrderDone(f.now, one.directive, outcome)
	}
}

// run lets the holder work without faults for a time, and returns its orders.
func (f *fleet) run(duration time.Duration) []Directive {
	return f.runAt(2*time.Second, duration)
}

// runAt is run with another time between two plans.
func (f *fleet) runAt(step, duration time.Duration) []Directive {
	var given []Directive
	for end := f.now.Add(duration); f.now.Before(end); f.advance(step) {
		given = append(given, f.plan(f.holder)...)
		for len(f.letters) > 0 {
			f.deliver(0)
		}
	}
	return given
}

// loading counts the engines that load by orders that the present holder can
// know of.
func (f *fleet) loading() int {
	count := 0
	for _, one := range f.engines {
		for _, load := range one.loads {
			if !load.foreign {
				count++
				break
			}
		}
	}
	return count
}

// serving counts the engines that serve a model in any version and load none.
func (f *fleet) serving(model identity.ModelName) int {
	count := 0
	for _, one := range f.engines {
		if _, ready := one.ready[model]; ready && len(one.loads) == 0 {
			count++
		}
	}
	return count
}

// ready counts the engines that serve a slot.
func (f *fleet) ready(slot Slot) int {
	count := 0
	for _, one := range f.engines {
		if one.ready[slot.Model] == slot.Version {
			count++
		}
	}
	return count
}
