package simulation

import (
	"fmt"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// runnerNode is one web-app runner: some slots and a queue.
type runnerNode struct {
	backend scheduler.Backend
	busy    int
	waiting []func()
}

func (w *world) addRunners() {
	for index := range w.scenario.Deployment.AppRunners {
		id := identity.BackendID(fmt.Sprintf("runner-%02d", index))
		w.runners = append(w.runners, &runnerNode{backend: scheduler.Backend{
			ID: id, Kind: identity.KindApp, Service: w.scenario.Deployment.AppService,
			Zone: w.zone(index), Address: string(id), Incarnation: 1,
		}})
	}
}

// startPage sends a page's request to its runner.
func (w *world) startPage(started *flight) {
	runner := w.runnerOf(started.backend.ID)
	delay := w.delay(started.daemon.zone, runner.backend.Zone)
	w.after(delay, func() {
		w.takeSlot(runner, func() { w.servePage(started, runner) })
	})
}

func (w *world) runnerOf(id identity.BackendID) *runnerNode {
	for _, runner := range w.runners {
		if runner.backend.ID == id {
			return runner
		}
	}
	return nil
}

func (w *world) takeSlot(runner *runnerNode, run func()) {
	if runner.busy >= w.scenario.Deployment.AppConcurrency {
		runner.waiting = append(runner.waiting, run)
		return
	}
	runner.busy++
	run()
}

func (w *world) servePage(started *flight, runner *runnerNode) {
	answered := w.current(started, func() { w.finishPage(started) })
	w.after(w.scenario.Deployment.AppServiceTime, func() {
		runner.busy--
		if len(runner.waiting) > 0 {
			next := runner.waiting[0]
			runner.waiting = runner.waiting[1:]
			w.takeSlot(runner, next)
		}
		w.after(w.delay(started.daemon.zone, runner.backend.Zone), answered)
	})
}

func (w *world) finishPage(started *flight) {
	w.act(started.daemon, started.daemon.policy.FirstToken(w.now, scheduler.FirstToken{
		RequestID: started.request.ID, Backend: started.backend.ID,
		Incarnation: started.backend.Incarnation, CachedTokens: -1,
	}))
	w.after(w.scenario.Deployment.ToClient, func() { w.answer(started) })
	w.finishAtDaemon(started)
}
