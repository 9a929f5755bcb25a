package simulation

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// daemonNode is one daemon with its policy.
type daemonNode struct {
	index      int
	zone       identity.Zone
	policy     scheduler.Policy
	generation uint64
	flights    map[identity.RequestID]*flight
	// known is what the daemon knows of each engine; the zero value is absent.
	known []engineReport
}

func (w *world) addDaemons() {
	for index := range w.scenario.Deployment.Daemons {
		daemon := &daemonNode{
			index: index, zone: w.zone(index),
			known: make([]engineReport, len(w.engines)),
		}
		for engineIndex, engine := range w.engines {
			daemon.known[engineIndex] = engine.report()
		}
		w.daemons = append(w.daemons, daemon)
		w.begin(daemon)
		// Daemons do not tick in step.
		offset := tickPeriod * time.Duration(index) / time.Duration(w.scenario.Deployment.Daemons)
		w.every(offset, tickPeriod, func() { w.act(daemon, daemon.policy.Tick(w.now)) })
		w.every(offset, sharePeriod, func() { w.share(daemon) })
	}
}

// begin starts a daemon's life with a fresh policy.
func (w *world) begin(daemon *daemonNode) {
	daemon.generation++
	daemon.flights = make(map[identity.RequestID]*flight)
	daemon.policy = w.factory(DaemonInfo{
		Index: daemon.index, Zone: daemon.zone, Cluster: w,
		Seed: w.seed<<16 + uint64(daemon.index)<<8 + daemon.generation,
	})
	daemon.policy.SetTenants(w.now, w.scenario.Limits)
	w.act(daemon, daemon.policy.SetBackends(w.now, w.backendsOf(daemon)))
}

// restart replaces a daemon's policy. Callers without a first token ask another
// daemon again; streams that ran are cut.
func (w *world) restart(daemon *daemonNode) {
	cut := w.flightsOf(daemon)
	w.begin(daemon)
	w.replayEvents(daemon)
	for _, lost := range cut {
		w.cancelAtBackend(lost, daemon.zone)
		if lost.outcome.Answered {
			w.settle(lost, RefusalNoAnswer)
			continue
		}
		retried := w.daemons[w.random.IntN(len(w.daemons))]
		id := lost.request.ID + "r"
		pause := callerRetryPause + time.Duration(w.random.Int64N(int64(callerRetryPause)))
		w.after(pause, func() { w.ask(lost, retried, id) })
	}
}

// flightsOf lists a daemon's requests in the order of their arrival.
func (w *world) flightsOf(daemon *daemonNode) []*flight {
	var found []*flight
	for _, candidate := range w.flights {
		if candidate.daemon == daemon && !candidate.settled && daemon.flights[candidate.request.ID] == candidate {
			found = append(found, candidate)
		}
	}
	return found
}

func (w *world) cancelAtBackend(lost *flight, from identity.Zone) {
	if !lost.placed {
		return
	}
	lost.placed = false
	engine := w.byID[lost.backend.ID]
	if engine == nil {
		return
	}
	w.arriveTravel(lost)
	key := lost.key()
	w.after(w.delay(from, engine.zone), func() {
		engine.model.Cancel(w.now, key)
		delete(engine.flights, key)
		w.drain(engine)
	})
}

// act carries out a policy's actions.
func (w *world) act(daemon *daemonNode, actions []scheduler.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case scheduler.Start:
			w.start(daemon, action)
		case scheduler.Refuse:
			w.refuse(daemon, action)
		}
	}
}

func (w *world) refuse(daemon *daemonNode, refusal scheduler.Refuse) {
	refused := daemon.flights[refusal.RequestID]
	if refused == nil || refused.placed {
		return
	}
	delete(daemon.flights, refusal.RequestID)
	w.settle(refused, refusal.Reason)
}

func (w *world) start(daemon *daemonNode, start scheduler.Start) {
	started := daemon.flights[start.RequestID]
	if started == nil || started.placed {
		return
	}
	started.backend = start.Backend
	started.placed = true
	if start.Backend.Kind == identity.KindApp {
		w.startPage(started)
		return
	}
	engine := w.byID[start.Backend.ID]
	w.noteTravel(started, engine)
	w.after(w.delay(daemon.zone, engine.zone), w.current(started, func() { w.reachEngine(started, engine, start.ImportFrom) }))
}

// backendsOf lists what a daemon knows, in the order of the engines.
func (w *world) backendsOf(daemon *daemonNode) []scheduler.Backend {
	var backends []scheduler.Backend
	deployment := &w.scenario.Deployment
	for index, report := range daemon.known {
		if !report.up {
			continue
		}
		engine := w.engines[index]
		backends = append(backends, scheduler.Backend{
			ID: engine.id, Kind: identity.KindEngine, Service: deployment.ModelService,
			Zone: engine.zone, Address: string(engine.id), Incarnation: report.incarnation,
			Models: []enginewire.LoadedModel{{Model: deployment.Model, Version: deployment.Version, Ready: report.ready}},
		})
	}
	for _, runner := range w.runners {
		backends = append(backends, runner.backend)
	}
	return backends
}
