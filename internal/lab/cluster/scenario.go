package cluster

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/lab/credential"
	"github.com/lotusward/lotusward/internal/lab/load"
	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/standin/app"
	"github.com/lotusward/lotusward/internal/standin/engine"
)

// contextTokens is the context of each scenario's model.
const contextTokens = 65536

// PolicyMaker makes the policy of one daemon, counted from 0. It returns nil for
// the daemon's own scheduler.
type PolicyMaker func(index int, zone identity.Zone) scheduler.Policy

// OptionsOf describes the deployment of a scenario. Every daemon has its own
// scheduler when makePolicy is nil.
func OptionsOf(run *scenario.Scenario, makePolicy PolicyMaker, logger *logrus.Logger) Options {
	deployment := run.Deployment
	options := Options{
		Logger:    logger,
		Document:  documentOf(deployment),
		Operators: []static.Operator{credential.Operator()},
	}
	for index := range deployment.Engines {
		options.Engines = append(options.Engines, engineOf(run, index))
	}
	for index := range deployment.AppRunners {
		options.Apps = append(options.Apps, appOf(deployment, index))
	}
	for index := range deployment.Daemons {
		daemon := DaemonOptions{
			ID:   identity.DaemonID(fmt.Sprintf("daemon-%d", index+1)),
			Zone: zoneOf(deployment, index),
		}
		if makePolicy != nil {
			daemon.Policy = makePolicy(index, daemon.Zone)
		}
		options.Daemons = append(options.Daemons, daemon)
	}
	return options
}

func zoneOf(deployment scenario.Deployment, index int) identity.Zone {
	return deployment.Zones[index%len(deployment.Zones)]
}

func engineOf(run *scenario.Scenario, index int) EngineOptions {
	deployment := run.Deployment
	return EngineOptions{
		Service: deployment.ModelService,
		Zone:    zoneOf(deployment, index),
		Options: engine.Options{
			ID:                  identity.BackendID(fmt.Sprintf("%s-%d", deployment.ModelService, index+1)),
			Models:              []engine.ModelVersion{{Model: deployment.Model, Version: deployment.Version}},
			Model:               deployment.Engine,
			LoadLag:             run.LoadLag,
			EventLateness:       run.EventLateness,
			EventGapProbability: run.EventGapProbability,
			Seed:                uint64(index + 1),
		},
	}
}

func appOf(deployment scenario.Deployment, index int) AppOptions {
	return AppOptions{
		Service: deployment.AppService,
		Zone:    zoneOf(deployment, index),
		Options: app.Options{
			ID:          identity.BackendID(fmt.Sprintf("%s-%d", deployment.AppService, index+1)),
			ServiceTime: deployment.AppServiceTime,
			Concurrency: deployment.AppConcurrency,
		},
	}
}

func documentOf(deployment scenario.Deployment) *dynamic.Document {
	document := &dynamic.Document{
		Services: []dynamic.Service{
			{
				Name: deployment.ModelService, Kind: identity.KindEngine,
				Models: []identity.ModelName{deployment.Model}, ConcurrentLoads: deployment.ConcurrentLoads,
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
