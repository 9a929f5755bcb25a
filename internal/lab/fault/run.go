package fault

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/lab/load"
	"github.com/lotusward/lotusward/internal/lab/process"
	"github.com/lotusward/lotusward/internal/standin/backend"
)

// The deployment of a fault run.
const (
	modelName         = identity.ModelName("coach")
	modelVersion      = identity.WeightsVersion("1")
	engineService     = identity.ServiceName("coach-llm")
	appService        = identity.ServiceName("results-app")
	nonRepeatablePath = "/finish"
	startTimeout      = time.Minute
	contextTokens     = 32768
	concurrentLoads   = 3
	enginesPerZone    = 2
)

var zones = []string{"rosehill", "ebene", "curepipe"}

// Options describe a fault run.
type Options struct {
	Seed      uint64
	Duration  time.Duration
	Binaries  string
	Directory string
	Log       func(format string, arguments ...any)
}

// Run runs a deployment under the faults of a seed and returns the figures.
func Run(ctx context.Context, options Options) (Figures, error) {
	startContext, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	deployment, err := process.Run(startContext, planOf(options))
	if err != nil {
		return Figures{}, fmt.Errorf("fault run: %w", err)
	}
	defer deployment.Kill()
	judge := newOracle()
	runFaults(ctx, options, deployment, judge)
	for _, target := range deployment.Backends {
		runs, err := runsOf(target)
		if err != nil {
			return Figures{}, fmt.Errorf("fault run: %s gives no record: %w", target.Plan.ID, err)
		}
		judge.record(runs)
	}
	judge.judge()
	return judge.figures(), nil
}

// runFaults sends the workload while the planned faults are applied.
func runFaults(ctx context.Context, options Options, deployment *process.Deployment, judge *oracle) {
	loadContext, stopLoad := context.WithTimeout(ctx, options.Duration)
	defer stopLoad()
	inject := newInjector(deployment, judge, options.Log)
	var running sync.WaitGroup
	running.Go(func() { newWorkload(deployment, judge).run(loadContext) })
	running.Go(func() { watchRevisions(loadContext, deployment, judge) })
	began := time.Now()
	for _, injection := range Plan(options.Seed, options.Duration) {
		select {
		case <-loadContext.Done():
		case <-time.After(time.Until(began.Add(injection.At))):
			running.Go(func() { inject.apply(injection) })
		}
	}
	running.Wait()
}

func planOf(options Options) process.Plan {
	plan := process.Plan{
		Directory: options.Directory, Binaries: options.Binaries,
		PlatformFlags: []string{"--machine-lag", "1s", "--weight-time", "300ms"},
		Document:      document(),
		Links:         true,
	}
	for number, zone := range zones {
		plan.Daemons = append(plan.Daemons, process.DaemonPlan{ID: fmt.Sprintf("daemon-%d", number+1), Zone: zone})
		plan.Backends = append(plan.Backends, process.BackendPlan{
			ID: fmt.Sprintf("app-%d", number+1), Service: string(appService), Zone: zone,
		})
		for engine := range enginesPerZone {
			plan.Backends = append(plan.Backends, process.BackendPlan{
				ID:      fmt.Sprintf("engine-%d", number*enginesPerZone+engine+1),
				Service: string(engineService), Zone: zone,
				Models: []string{string(modelName) + "@" + string(modelVersion)},
			})
		}
	}
	return plan
}

func document() *dynamic.Document {
	made := &dynamic.Document{
		Services: []dynamic.Service{
			{
				Name: engineService, Kind: identity.KindEngine,
				Models: []identity.ModelName{modelName}, ConcurrentLoads: concurrentLoads,
			},
			{Name: appService, Kind: identity.KindApp, NotRepeatable: []string{nonRepeatablePath}},
		},
		Models: []dynamic.Model{{Name: modelName, Version: modelVersion, ContextTokens: contextTokens}},
	}
	for _, tenant := range []identity.TenantName{"north-club", "south-club", "hill-club"} {
		made.Tenants = append(made.Tenants, dynamic.Tenant{
			Name: tenant, KeyHashes: []string{view.HashKey(load.KeyOf(tenant))},
		})
	}
	return made
}

// record takes a back end's record of what ran.
func (o *oracle) record(runs []backend.Run) {
	o.runs = append(o.runs, runs...)
}
