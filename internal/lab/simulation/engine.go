package simulation

import (
	"fmt"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// engineNode is one engine.
type engineNode struct {
	id          identity.BackendID
	zone        identity.Zone
	model       *model.Engine
	incarnation identity.Incarnation
	up          bool
	flights     map[model.Key]*flight
	wakeAt      time.Time
	sequence    uint64
	// kept are the batches of cache events that a daemon can read again.
	kept []keptBatch
	// lagged is the newest load report that has left the engine.
	lagged enginewire.Load
	// coming are the blocks of requests that are on their way.
	coming       map[prefix.Hash]int
	comingTokens int
	comingCount  int
}

// engineReport is what a status report says beside the load.
type engineReport struct {
	up          bool
	ready       bool
	incarnation identity.Incarnation
}

func (w *world) addEngines() {
	for index := range w.scenario.Deployment.Engines {
		engine := &engineNode{id: identity.BackendID(fmt.Sprintf("engine-%02d", index)), zone: w.zone(index)}
		w.engines = append(w.engines, engine)
		w.byID[engine.id] = engine
		w.boot(engine)
		engine.model.SetLoaded(w.now, w.scenario.Deployment.Model, w.scenario.Deployment.Version)
		offset := w.scenario.LoadPeriod * time.Duration(index) / time.Duration(w.scenario.Deployment.Engines)
		w.every(offset, w.scenario.LoadPeriod, func() { w.reportStatus(engine, index) })
	}
}

// boot starts an engine's life with nothing cached and nothing loaded.
func (w *world) boot(engine *engineNode) {
	engine.model = model.New(w.scenario.Deployment.Engine)
	engine.incarnation++
	engine.up = true
	engine.sequence = 0
	engine.kept = nil
	engine.wakeAt = time.Time{}
	engine.flights = make(map[model.Key]*flight)
	if engine.coming == nil {
		engine.coming = make(map[prefix.Hash]int)
	}
}

func (e *engineNode) report() engineReport {
	report := engineReport{up: e.up, incarnation: e.incarnation}
	for _, loaded := range e.model.Models() {
		report.ready = report.ready || loaded.Ready
	}
	return report
}

// reportStatus samples an engine; the sample reaches all daemons after the lag.
func (w *world) reportStatus(engine *engineNode, index int) {
	report, load := engine.report(), engine.model.Load(w.now)
	w.drain(engine)
	w.after(w.scenario.LoadLag, func() {
		engine.lagged = load
		for _, daemon := range w.daemons {
			w.hearStatus(daemon, index, report, load)
		}
	})
}

func (w *world) hearStatus(daemon *daemonNode, index int, report engineReport, load enginewire.Load) {
	if daemon.known[index] != report {
		daemon.known[index] = report
		w.act(daemon, daemon.policy.SetBackends(w.now, w.backendsOf(daemon)))
	}
	if report.up && report.ready {
		daemon.policy.ObserveLoad(w.now, w.engines[index].id, report.incarnation, load)
	}
}

// reachEngine is the arrival of an attempt at an engine.
func (w *world) reachEngine(sent *flight, engine *engineNode, importFrom identity.BackendID) {
	if !engine.up || engine.incarnation != sent.backend.Incarnation {
		w.refuseAtEngine(sent, engine, !engine.up)
		return
	}
	source := w.byID[importFrom]
	if source == nil || !source.up {
		w.submitToEngine(sent, engine)
		return
	}
	chain := sent.request.Chain[:source.model.CachedTokens(sent.request.Chain, sent.request.PromptTokens)/prefix.BlockTokens]
	endsAt := engine.model.Import(w.now, chain)
	w.drain(engine)
	roundTrip := 2 * w.delay(source.zone, engine.zone)
	w.after(endsAt.Sub(w.now)+roundTrip, w.current(sent, func() { w.submitToEngine(sent, engine) }))
}

func (w *world) submitToEngine(sent *flight, engine *engineNode) {
	if !engine.up || engine.incarnation != sent.backend.Incarnation {
		w.refuseAtEngine(sent, engine, !engine.up)
		return
	}
	request := model.Request{
		Key:           sent.key(),
		Model:         sent.request.Model,
		Version:       sent.request.Version,
		Chain:         sent.request.Chain,
		ContextTokens: sent.request.PromptTokens + sent.given,
		FirstOffset:   sent.given,
		OutputTokens:  sent.request.OutputTokens,
		Priority:      int(sent.request.Class),
	}
	if code := engine.model.Submit(w.now, request); code != "" {
		w.drain(engine)
		w.refuseAtEngine(sent, engine, false)
		return
	}
	w.arriveTravel(sent)
	engine.flights[sent.key()] = sent
	w.drain(engine)
}

func (w *world) refuseAtEngine(sent *flight, engine *engineNode, unreachable bool) {
	w.arriveTravel(sent)
	w.after(w.delay(sent.daemon.zone, engine.zone), w.current(sent, func() { w.fail(sent, unreachable) }))
}

// drain takes an engine's results and cache events and wakes it when it next has
// something to do.
func (w *world) drain(engine *engineNode) {
	for _, result := range engine.model.Advance(w.now) {
		w.takeResult(engine, result)
	}
	if events := engine.model.TakeCacheEvents(); len(events) > 0 {
		w.publish(engine, events)
	}
	next, found := engine.model.NextEventAt()
	if !found || next.Equal(engine.wakeAt) {
		return
	}
	engine.wakeAt = next
	life := engine.model
	w.queue.add(next, func() {
		if engine.model == life && engine.wakeAt.Equal(w.now) {
			w.drain(engine)
		}
	})
}

func (w *world) takeResult(engine *engineNode, result model.Result) {
	switch result := result.(type) {
	case model.Started:
		if started := engine.flights[result.Key]; started != nil {
			w.account(engine, started, result.CachedTokens)
		}
	case model.Token:
		if owner := engine.flights[result.Key]; owner != nil {
			w.takeToken(engine, owner, result.Offset)
		}
	case model.Finished:
		owner := engine.flights[result.Key]
		delete(engine.flights, result.Key)
		if owner != nil {
			w.takeFinish(engine, owner)
		}
	}
}

func (w *world) takeToken(engine *engineNode, owner *flight, offset int) {
	first := offset == owner.given && !owner.firstReported()
	owner.given = offset + 1
	if !first {
		return
	}
	owner.reportedAttempt = owner.request.Attempt
	delay := w.delay(owner.daemon.zone, engine.zone)
	cached, load := owner.outcome.CachedTokens, engine.lagged
	w.after(delay, w.current(owner, func() {
		w.act(owner.daemon, owner.daemon.policy.FirstToken(w.now, scheduler.FirstToken{
			RequestID: owner.request.ID, Backend: engine.id, Incarnation: owner.backend.Incarnation,
			CachedTokens: cached, Load: &load,
		}))
	}))
	w.after(delay+w.scenario.Deployment.ToClient, func() { w.answer(owner) })
}

func (w *world) takeFinish(engine *engineNode, owner *flight) {
	delay := w.delay(owner.daemon.zone, engine.zone)
	w.after(delay, w.current(owner, func() { w.finishAtDaemon(owner) }))
}

// finishAtDaemon ends an attempt that gave its whole answer.
func (w *world) finishAtDaemon(owner *flight) {
	owner.placed = false
	delete(owner.daemon.flights, owner.request.ID)
	w.act(owner.daemon, owner.daemon.policy.Finish(w.now, scheduler.Finish{
		RequestID: owner.request.ID, Backend: owner.backend.ID, OutputTokens: owner.request.OutputTokens,
	}))
	w.after(w.scenario.Deployment.ToClient, func() { w.finish(owner) })
}

// publish sends a batch of cache events to all daemons, unless it is lost.
func (w *world) publish(engine *engineNode, events []enginewire.CacheEvent) {
	engine.sequence++
	if w.random.Float64() < w.scenario.EventGapProbability {
		return
	}
	batch := enginewire.CacheEventBatch{Sequence: engine.sequence, Incarnation: engine.incarnation, Events: events}
	engine.keep(batch, w.now.Add(w.scenario.EventLateness))
	w.after(w.scenario.EventLateness, func() {
		for _, daemon := range w.daemons {
			daemon.policy.ObserveCacheEvents(w.now, engine.id, batch)
		}
	})
}

// crash takes an engine down with all its requests. It comes back empty and
// loads its weights.
func (w *world) crash(engine *engineNode, downFor time.Duration) {
	w.drain(engine)
	engine.up = false
	for _, lost := range w.flights {
		if engine.flights[lost.key()] != lost {
			continue
		}
		w.after(w.delay(lost.daemon.zone, engine.zone), w.current(lost, func() { w.fail(lost, true) }))
	}
	engine.model = model.New(w.scenario.Deployment.Engine)
	engine.flights = make(map[model.Key]*flight)
	w.after(downFor, func() {
		w.boot(engine)
		deployment := &w.scenario.Deployment
		engine.model.SetLoading(deployment.Model, deployment.Version)
		readyAt := w.loads.Begin(w.now)
		w.queue.add(readyAt, func() { engine.model.SetLoaded(w.now, deployment.Model, deployment.Version) })
	})
}
