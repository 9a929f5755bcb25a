// Package simulation runs a scenario in simulated time: several daemons, each
// with a policy of its own, in front of engine models, with network delays,
// lagging load reports, late and incomplete cache events, crashes and restarts.
package simulation

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
)

const (
	// tickPeriod is how often a daemon calls its policy.
	tickPeriod = 20 * time.Millisecond
	// drainTime is how long a run goes on after the last arrival.
	drainTime = 10 * time.Second
	// attemptsAllowed bounds the attempts of a request.
	attemptsAllowed = 3
	// contextCheckInterval is how many timers run between looks at the context.
	contextCheckInterval = 1024
)

// startOfTime is the simulated time at which runs begin.
var startOfTime = time.Unix(1_700_000_000, 0)

// DaemonInfo is what a policy is made from.
type DaemonInfo struct {
	Index int
	Zone  identity.Zone
	// Seed is for policies that draw.
	Seed uint64
	// Cluster shows the exact state of all engines. Only the clairvoyant
	// baseline may look at it.
	Cluster Cluster
}

// PolicyFactory makes the policy of one daemon. It is called again when the
// daemon restarts.
type PolicyFactory func(info DaemonInfo) scheduler.Policy

// Cluster is the exact state of the engines, requests on their way included.
type Cluster interface {
	// EngineOptions are the sizes and costs of each engine.
	EngineOptions() model.Options
	// Outlook tells what an engine would do with a prompt.
	Outlook(id identity.BackendID, chain prefix.Chain, tokens int) Outlook
}

// Outlook is what an engine would do with a prompt.
type Outlook struct {
	Up bool
	// QueuedTokens are computed before the prompt, UncachedTokens for it.
	QueuedTokens   int
	UncachedTokens int
	// Requests is how many requests the engine has or will have.
	Requests int
}

// world is one run.
type world struct {
	scenario *scenario.Scenario
	random   *rand.Rand
	seed     uint64
	factory  PolicyFactory
	now      time.Time
	queue    timerQueue
	engines  []*engineNode
	byID     map[identity.BackendID]*engineNode
	runners  []*runnerNode
	daemons  []*daemonNode
	loads    model.LoadClock
	flights  []*flight
	computed map[prefix.Hash]struct{}
	result   Result
}

// Run runs a scenario with a seed under the policies that the factory makes. It
// fails only when the context ends first.
func Run(ctx context.Context, run *scenario.Scenario, seed uint64, factory PolicyFactory) (Result, error) {
	w := newWorld(run, seed, factory)
	end := startOfTime.Add(run.Duration + drainTime)
	for steps := 0; w.queue.Len() > 0; steps++ {
		if steps%contextCheckInterval == 0 && ctx.Err() != nil {
			return Result{}, ctx.Err()
		}
		next := w.queue.next()
		if next.at.After(end) {
			break
		}
		w.now = next.at
		next.run()
	}
	w.now = end
	return w.collect(), nil
}

func newWorld(run *scenario.Scenario, seed uint64, factory PolicyFactory) *world {
	w := &world{
		scenario: run,
		random:   rand.New(rand.NewPCG(seed, 0)),
		seed:     seed,
		factory:  factory,
		now:      startOfTime,
		byID:     make(map[identity.BackendID]*engineNode),
		loads:    model.LoadClock{Time: run.Deployment.WeightsTime, Limit: run.Deployment.ConcurrentLoads},
		computed: make(map[prefix.Hash]struct{}),
	}
	w.addEngines()
	w.addRunners()
	w.addDaemons()
	w.scheduleFaults()
	for _, arrival := range run.Arrivals(seed) {
		w.scheduleArrival(arrival)
	}
	return w
}

// after runs a function after a delay.
func (w *world) after(delay time.Duration, run func()) { w.queue.add(w.now.Add(delay), run) }

// at runs a function at an offset from the start.
func (w *world) at(offset time.Duration, run func()) { w.queue.add(startOfTime.Add(offset), run) }

// every runs a function now and then once in each period.
func (w *world) every(offset, period time.Duration, run func()) {
	w.at(offset, func() {
		run()
		w.every(w.now.Sub(startOfTime)+period, period, run)
	})
}

// delay is the one-way delay between a daemon and a back end.
func (w *world) delay(from, to identity.Zone) time.Duration {
	if from == to {
		return w.scenario.Deployment.WithinZone
	}
	return w.scenario.Deployment.BetweenZones
}

func (w *world) zone(index int) identity.Zone {
	zones := w.scenario.Deployment.Zones
	return zones[index%len(zones)]
}

func (w *world) scheduleFaults() {
	for _, crash := range w.scenario.Crashes {
		w.at(crash.At, func() { w.crash(w.engines[crash.Engine], crash.DownFor) })
	}
	for _, restartAt := range w.scenario.Restarts {
		w.at(restartAt, func() {
			for _, daemon := range w.daemons {
				w.restart(daemon)
			}
		})
	}
}

// collect closes what is still open and returns the run's result.
func (w *world) collect() Result {
	for _, open := range w.flights {
		if !open.settled {
			w.settle(open, RefusalNoAnswer)
		}
		w.result.Outcomes = append(w.result.Outcomes, open.outcome)
	}
	return w.result
}
