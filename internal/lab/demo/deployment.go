// Package demo runs an event start of both users' shapes against real daemons
// inside one process, under several policies, and sets their figures side by
// side.
package demo

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/lab/cluster"
	"github.com/lotusward/lotusward/internal/lab/load"
	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/standin/app"
	"github.com/lotusward/lotusward/internal/standin/engine"
)

// Sizes of the demo's deployments, small enough for one machine.
const (
	demoEngines     = 6
	demoAppRunners  = 2
	demoDaemons     = 3
	basePerEngine   = 3
	peakPerEngine   = 14
	demoDuration    = 6 * time.Second
	demoEventAt     = time.Second
	demoFade        = 4 * time.Second
	contextTokens   = 65536
	concurrentLoads = 3
)

// scaledDown makes a scenario that fits a demo out of a full one.
func scaledDown(full scenario.Scenario) *scenario.Scenario {
	small := full
	small.Deployment.Engines = demoEngines
	small.Deployment.AppRunners = demoAppRunners
	small.Deployment.Daemons = demoDaemons
	small.BaseRate = basePerEngine * demoEngines
	small.PeakRate = peakPerEngine * demoEngines
	small.Duration = demoDuration
	small.EventAt = demoEventAt
	small.Fade = demoFade
	return &small
}

// scenarios are the event starts of both users.
func scenarios() []*scenario.Scenario {
	var chosen []*scenario.Scenario
	for _, full := range scenario.Catalog() {
		if full.Name == scenario.FinishLine || full.Name == scenario.DinnerHour {
			chosen = append(chosen, scaledDown(full))
		}
	}
	return chosen
}

// policyMaker makes one daemon's policy; nil stands for the daemon's own.
type policyMaker func(seed uint64) scheduler.Policy

// clusterOptions describes the deployment of a scenario.
func clusterOptions(run *scenario.Scenario, makePolicy policyMaker, logger *logrus.Logger) cluster.Options {
	deployment := run.Deployment
	options := cluster.Options{Logger: logger, Document: documentOf(deployment)}
	for index := range deployment.Engines {
		options.Engines = append(options.Engines, cluster.EngineOptions{
			Service: deployment.ModelService,
			Zone:    deployment.Zones[index%len(deployment.Zones)],
			Options: engine.Options{
				ID:     identity.BackendID(fmt.Sprintf("%s-%d", deployment.ModelService, index+1)),
				Models: []engine.ModelVersion{{Model: deployment.Model, Version: deployment.Version}},
				Model:  deployment.Engine,
			},
		})
	}
	for index := range deployment.AppRunners {
		options.Apps = append(options.Apps, cluster.AppOptions{
			Service: deployment.AppService,
			Zone:    deployment.Zones[index%len(deployment.Zones)],
			Options: app.Options{
				ID:          identity.BackendID(fmt.Sprintf("%s-%d", deployment.AppService, index+1)),
				ServiceTime: deployment.AppServiceTime,
				Concurrency: deployment.AppConcurrency,
			},
		})
	}
	for index := range deployment.Daemons {
		daemon := cluster.DaemonOptions{
			ID:   identity.DaemonID(fmt.Sprintf("daemon-%d", index+1)),
			Zone: deployment.Zones[index%len(deployment.Zones)],
		}
		if makePolicy != nil {
			daemon.Policy = makePolicy(uint64(index + 1))
		}
		options.Daemons = append(options.Daemons, daemon)
	}
	return options
}

func documentOf(deployment scenario.Deployment) *dynamic.Document {
	document := &dynamic.Document{
		Services: []dynamic.Service{
			{
				Name: deployment.ModelService, Kind: identity.KindEngine,
				Models: []identity.ModelName{deployment.Model}, ConcurrentLoads: concurrentLoads,
			},
			{Name: deployment.AppService, Kind: identity.KindApp},
		},
		Models: []dynamic.Model{{Name: deployment.Model, Version: deployment.Version, ContextTokens: contextTokens}},
	}
	for _, tenant := range deployment.Tenants {
		document.Tenants = append(document.Tenants, dynamic.Tenant{
			Name: tenant.Name, KeyHashes: []string{view.HashKey(load.KeyOf(tenant.Name))},
		})
	}
	return document
}
