package controller

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// TestFleetConverges drives a fleet through lost, late, crossed and repeated
// orders, crashes, takeovers, stale holders and changes of configuration. The
// limit of concurrent loads holds all along, and in the end the fleet reaches
// what is wanted and stays there.
func TestFleetConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(t, "limit")
		models := []identity.ModelName{"a", "b"}[:rapid.IntRange(1, 2).Draw(t, "models")]
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "engines"), limit, models...)
		f.hidden = rapid.Bool().Draw(t, "hidden")
		pick := func(t *rapid.T) *engine { return f.engines[rapid.IntRange(0, len(f.engines)-1).Draw(t, "engine")] }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(*rapid.T) { f.run(20 * time.Second) },
			"plan": func(t *rapid.T) {
				var unreachable []*engine
				if one := pick(t); f.holder.engines[one.id] != nil && rapid.Bool().Draw(t, "unreachable") {
					unreachable = append(unreachable, one)
				}
				f.plan(f.holder, unreachable...)
			},
			"stale plan": func(t *rapid.T) {
				if len(f.earlier) > 0 {
					f.plan(f.earlier[rapid.IntRange(0, len(f.earlier)-1).Draw(t, "earlier")])
				}
			},
			"letter":  func(t *rapid.T) { f.fate(t) },
			"letters": func(t *rapid.T) { f.fate(t); f.fate(t); f.fate(t) },
			"advance": func(t *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
			"crash":    func(t *rapid.T) { f.crash(pick(t)) },
			"takeover": func(*rapid.T) { f.takeOver() },
			"crossed takeover": func(t *rapid.T) {
				f.change(t, models)
				earlier := f.holder
				f.takeOver()
				f.advance(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
				f.plan(earlier)
				f.change(t, models)
				f.plan(f.holder)
				for len(f.letters) > 0 {
					f.deliver(0)
				}
			},
			"change": func(t *rapid.T) { f.change(t, models) },
			"":       func(t *rapid.T) { f.checkLimits(t, limit) },
		})
		f.settle(t, limit)
	})
}

// checkLimits checks what holds at any time.
func (f *fleet) checkLimits(t *rapid.T, limit int) {
	assert.Assert(t, f.loading() <= limit, "%d loads at once", f.loading())
	assert.Equal(t, f.flaps, 0, "moves within the dwell time")
}

// fate decides what becomes of one order on its way.
func (f *fleet) fate(t *rapid.T) {
	if len(f.letters) == 0 {
		return
	}
	index := rapid.IntRange(0, len(f.letters)-1).Draw(t, "letter")
	switch rapid.SampledFrom([]string{"deliver", "deliver", "answer lost", "repeat", "delay"}).Draw(t, "fate") {
	case "deliver":
		f.deliver(index)
	case "answer lost":
		one := f.take(index)
		f.arrive(one)
		f.tell(one, OutcomeUnknown)
	case "repeat":
		copied := f.letters[index]
		copied.repeated = true
		f.letters = append(f.letters, copied)
	case "delay":
		f.tell(f.letters[index], OutcomeUnknown)
		f.letters[index].reported = true
	}
}

// change makes one change of the configuration or of demand.
func (f *fleet) change(t *rapid.T, models []identity.ModelName) {
	model := rapid.SampledFrom(models).Draw(t, "model")
	version := rapid.SampledFrom([]identity.WeightsVersion{"1", "2", "3"}).Draw(t, "version")
	backend := f.engines[rapid.IntRange(0, len(f.engines)-1).Draw(t, "backend")].id
	document := f.document
	switch rapid.SampledFrom([]string{"version", "event", "drain", "order", "demand"}).Draw(t, "what") {
	case "version":
		document.Models = slices.Clone(document.Models)
		index := slices.IndexFunc(document.Models, func(one dynamic.Model) bool { return one.Name == model })
		document.Models[index].Version = version
	case "event":
		start := f.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "start")) * time.Second)
		length := rapid.SampledFrom([]time.Duration{time.Minute, 1000 * time.Hour}).Draw(t, "length")
		engines := rapid.IntRange(1, 4).Draw(t, "engines")
		document.Events = []dynamic.Event{{Name: "race", Start: start, End: start.Add(length), Models: []dynamic.EventModel{
			{Service: testService, Model: model, Version: version, Engines: engines},
		}}}
	case "drain":
		document.Drains = []dynamic.Drain{{Backend: backend}}[:rapid.IntRange(0, 1).Draw(t, "drains")]
		document.History = append(slices.Clone(document.History), dynamic.Touch{Item: dynamic.DrainItem(backend), At: f.now})
	case "order":
		unload := rapid.Bool().Draw(t, "unload")
		document.Orders = []dynamic.StandingOrder{
			{Backend: backend, Model: model, Version: version, Unload: unload}, {Backend: backend, Role: "prefill"},
		}[:rapid.IntRange(0, 2).Draw(t, "orders")]
	case "demand":
		f.demand[DemandKey{Service: testService, Model: model}] = rapid.IntRange(0, 60).Draw(t, "demand")
	}
	f.document = document
}

// settle ends the faults, gives the fleet time, and checks where it comes to rest.
func (f *fleet) settle(t *rapid.T, limit int) {
	for range 300 {
		f.run(2 * time.Second)
		f.checkLimits(t, limit)
	}
	assert.Equal(t, len(f.runAt(10*time.Second, 10*time.Minute)), 0, "orders after the fleet came to rest")
	f.checkRest(t)
	f.takeOver()
	for _, directive := range f.runAt(10*time.Second, 10*time.Minute) {
		assert.Equal(t, directive.Order.Kind, enginewire.OrderSetRole, "order of a new holder of a fleet at rest")
	}
}

// checkRest compares a fleet at rest with what is wanted of it.
func (f *fleet) checkRest(t *rapid.T) {
	held, free := map[Slot]int{}, map[Slot]int{}
	for _, one := range f.engines {
		orders := standingOrders(&f.document)[one.id]
		drained := slices.ContainsFunc(f.document.Drains, func(drain dynamic.Drain) bool { return drain.Backend == one.id })
		assert.Equal(t, one.state == enginewire.StateLeaving, drained, "%s leaves", one.id)
		if orders.role != "" {
			assert.Equal(t, one.role, orders.role)
		}
		if drained {
			continue
		}
		for _, slot := range orders.slots {
			assert.Equal(t, one.ready[slot.Model], slot.Version, "%s by standing order", one.id)
		}
		for model, version := range one.ready {
			assert.Assert(t, !orders.forbids(model), "%s holds a forbidden model", one.id)
			held[Slot{Model: model, Version: version}]++
		}
		if len(orders.slots) == 0 && len(orders.forbidden) == 0 {
			assert.Equal(t, len(one.ready), 1, "models on %s", one.id)
			for model, version := range one.ready {
				free[Slot{Model: model, Version: version}]++
			}
		}
	}
	// No engine that no order concerns has what is less urgent than what is lacking.
	needs := f.holder.needsOf(f.now, Snapshot{Document: &f.document, Demand: f.demand}, &f.document.Services[0])
	for _, lacking := range needs {
		if held[lacking.slot] >= lacking.count {
			continue
		}
		for slot, count := range free {
			assert.Assert(t, count <= urgent(needs, slot, lacking.priority), "%v has %d engines, %v lacks some", slot, count, lacking)
		}
	}
}

// urgent is how many engines the needs of at least a priority ask for with a slot.
func urgent(needs []need, slot Slot, least priority) int {
	count := 0
	for _, need := range needs {
		if need.slot == slot && need.priority <= least {
			count = max(count, need.count)
		}
	}
	return count
}

// TestVersionChangeKeepsServing changes a model's version while orders get lost.
func TestVersionChangeKeepsServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(2, 8).Draw(t, "engines")
		f := newFleet(engines, rapid.IntRange(1, 4).Draw(t, "limit"), "a")
		needed := rapid.IntRange(1, 8).Draw(t, "needed")
		f.demand[DemandKey{Service: testService, Model: "a"}] = needed * f.settings.RequestsPerEngine
		f.run(3 * time.Minute)
		assert.Equal(t, f.ready(Slot{Model: "a", Version: "1"}), engines)

		f.document.Models = []dynamic.Model{{Name: "a", Version: "2"}}
		for range 200 {
			f.plan(f.holder)
			for len(f.letters) > 0 {
				if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
					f.deliver(0)
				} else {
					f.tell(f.take(0), OutcomeUnknown)
				}
			}
			assert.Assert(t, f.serving("a") >= min(needed, engines-1), "%d engines serve", f.serving("a"))
			f.advance(2 * time.Second)
		}
		assert.Equal(t, f.ready(Slot{Model: "a", Version: "2"}), engines)
	})
}

// TestEventWindow checks that an event's engines are ready in time for its
// prefixes, that nothing moves while it lasts, and that they go back after it.
func TestEventWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(3, 8).Draw(t, "engines")
		wanted := rapid.IntRange(1, engines-1).Draw(t, "wanted")
		f := newFleet(engines, rapid.IntRange(1, 3).Draw(t, "limit"), "a")
		f.run(2 * time.Minute)
		before, during := Slot{Model: "a", Version: "1"}, Slot{Model: "a", Version: "race"}
		start := f.now.Add(10 * time.Minute)
		f.document.Events = []dynamic.Event{{
			Name: "race", Start: start, End: start.Add(10 * time.Minute),
			Models: []dynamic.EventModel{{Service: testService, Model: "a", Version: "race", Engines: wanted}},
		}}
		f.runAt(5*time.Second, 5*time.Minute)
		assert.Equal(t, f.ready(during), 0, "engines loaded long before the event")
		f.run(5*time.Minute - f.settings.PreloadMargin)
		assert.Equal(t, f.ready(during), wanted, "engines ready before the event")
		assert.Equal(t, len(f.runAt(5*time.Second, f.settings.PreloadMargin+10*time.Minute+f.settings.WithdrawDelay-10*time.Second)), 0)
		f.run(10 * time.Minute)
		assert.Equal(t, f.ready(before), engines, "engines after the event")
	})
}

// TestOnlyOperatorsReturnABackend checks that a back end in a planned stop is not
// asked back, and one whose drain an operator ended is.
func TestOnlyOperatorsReturnABackend(t *testing.T) {
	f := newFleet(2, 1, "a")
	stopping, drained := f.engines[0], f.engines[1]
	stopping.state = enginewire.StateLeaving
	f.document.Drains = []dynamic.Drain{{Backend: drained.id}}
	f.run(time.Minute)
	assert.Equal(t, drained.state, enginewire.StateLeaving)

	f.document.Drains = nil
	f.document.History = []dynamic.Touch{{Item: dynamic.DrainItem(drained.id), At: f.now}}
	f.run(time.Minute)
	assert.Equal(t, drained.state, enginewire.StateServing)
	assert.Equal(t, stopping.state, enginewire.StateLeaving)
}

// TestStaleHolderStops checks that a holder stops at its first refused order.
func TestStaleHolderStops(t *testing.T) {
	f := newFleet(3, 1, "a")
	f.run(time.Minute)
	f.takeOver()
	f.run(time.Minute)
	stale := f.earlier[0]
	f.document.Models = []dynamic.Model{{Name: "a", Version: "2"}}
	assert.Assert(t, len(f.plan(stale)) > 0)
	f.deliver(0)
	assert.Assert(t, stale.Superseded())
	assert.Equal(t, len(f.plan(stale)), 0)
	assert.Equal(t, f.ready(Slot{Model: "a", Version: "1"}), 3)
}
