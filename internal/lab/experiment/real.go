package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/lab/cluster"
	"github.com/lotusward/lotusward/internal/lab/load"
	"github.com/lotusward/lotusward/internal/lab/machine"
	"github.com/lotusward/lotusward/internal/lab/report"
	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/lab/simulation"
	"github.com/lotusward/lotusward/internal/logging"
)

// startTimeout bounds the start of one real deployment.
const startTimeout = time.Minute

// RealCommand is the command line of an experiment on real daemons, for go-flags.
type RealCommand struct {
	Deployment string       `long:"deployment" default:"foulee" description:"Deployment of the scenario, foulee or kalahari-pot"`
	Scenario   string       `long:"scenario" default:"finish-line" description:"Scenario to play"`
	Policies   []PolicyName `long:"policy" description:"Policy to play; may be given several times (default: lotusward, least-outstanding, rendezvous)"`
	Engines    int          `long:"engines" default:"8" description:"Stand-in engines"`
	Apps       int          `long:"apps" default:"2" description:"Stand-in web-app runners"`
	Daemons    int          `long:"daemons" default:"3" description:"Daemons"`
	RateFactor float64      `long:"rate-factor" default:"1" description:"Multiply the requests a second at each engine"`
	Seed       uint64       `long:"seed" default:"1" description:"Seed of the workload"`
	Log        string       `long:"log-level" default:"error" description:"Level of the daemons' logs on standard error"`
}

// UnplayableError says that a scenario cannot be played on real daemons.
type UnplayableError struct{ Scenario, Reason string }

// Error implements error.
func (e *UnplayableError) Error() string {
	return fmt.Sprintf("scenario %s cannot be played on real daemons: %s", e.Scenario, e.Reason)
}

// Execute implements flags.Commander.
func (c *RealCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	logger, err := logging.New(os.Stderr, logging.FormatText, c.Log)
	if err != nil {
		return err
	}
	return c.run(ctx, os.Stdout, logger)
}

// run plays the scenario in simulated time and on real daemons, under each
// policy, and prints one row for each.
func (c *RealCommand) run(ctx context.Context, output io.Writer, logger *logrus.Logger) error {
	scaled, err := c.scaled()
	if err != nil {
		return err
	}
	if len(c.Policies) == 0 {
		c.Policies = []PolicyName{PolicyLotusward, PolicyLeastOutstanding, PolicyRendezvous}
	}
	var summaries []report.Summary
	wrong := 0
	for _, policy := range c.Policies {
		simulated, err := c.simulate(ctx, scaled, policy)
		if err != nil {
			return err
		}
		before := machine.LoadAverage()
		played, err := c.play(ctx, scaled, policy, logger)
		if err != nil {
			return err
		}
		fmt.Fprintf(output, "%s: load average of the machine %s before, %s after\n", policy, before, machine.LoadAverage())
		for _, finding := range played.Wrong {
			fmt.Fprintln(output, "  wrong:", finding)
		}
		wrong += len(played.Wrong)
		summaries = append(summaries,
			c.summary(scaled, string(policy)+", simulated", simulated),
			c.summary(scaled, string(policy)+", real", played.Result))
	}
	report.WriteTable(output, summaries)
	if wrong > 0 {
		return fmt.Errorf("%d answers were wrong or cut", wrong)
	}
	return nil
}

func (c *RealCommand) summary(scaled *scenario.Scenario, name string, result simulation.Result) report.Summary {
	return report.Summarize([]report.Run{{Scenario: scaled, Policy: name, Seed: c.Seed, Result: result}})
}

// scaled finds the scenario and fits it to the machine. The network of loopback
// has no delays to speak of, so the simulated one gets none either.
func (c *RealCommand) scaled() (*scenario.Scenario, error) {
	chosen, err := choose(Options{
		Deployments: []string{c.Deployment}, Scenarios: []string{c.Scenario}, Policies: c.Policies, RateFactor: c.RateFactor,
	})
	if err != nil {
		return nil, err
	}
	if len(chosen) != 1 {
		return nil, &UnknownNameError{Kind: "scenario of " + c.Deployment, Name: c.Scenario}
	}
	if len(chosen[0].Restarts) > 0 {
		return nil, &UnplayableError{Scenario: c.Scenario, Reason: "daemons restart in it"}
	}
	scaled := chosen[0].Scaled(scenario.Size{Engines: c.Engines, AppRunners: c.Apps, Daemons: c.Daemons})
	scaled.Deployment.BetweenZones, scaled.Deployment.WithinZone, scaled.Deployment.ToClient = 0, 0, 0
	return scaled, nil
}

func (c *RealCommand) simulate(ctx context.Context, scaled *scenario.Scenario, policy PolicyName) (simulation.Result, error) {
	factory, _ := factoryOf(policy) // choose has checked the name
	return simulation.Run(ctx, scaled, c.Seed, factory)
}

// play plays the scenario on a fresh deployment in this process.
func (c *RealCommand) play(ctx context.Context, scaled *scenario.Scenario, policy PolicyName, logger *logrus.Logger) (load.Report, error) {
	maker, err := c.policyMaker(policy)
	if err != nil {
		return load.Report{}, err
	}
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	running, err := cluster.Start(limited, cluster.OptionsOf(scaled, maker, logger))
	if err != nil {
		return load.Report{}, fmt.Errorf("experiment on real daemons: %w", err)
	}
	defer running.Close()
	for _, crash := range scaled.Crashes {
		timer := time.AfterFunc(crash.At, func() { running.Engines[crash.Engine].Crash(crash.DownFor) })
		defer timer.Stop()
	}
	played := load.Play(ctx, load.Options{Scenario: scaled, Seed: c.Seed, Daemons: running.CallerAddresses()})
	return played, ctx.Err()
}

// policyMaker returns nil for the daemon's own scheduler.
func (c *RealCommand) policyMaker(policy PolicyName) (cluster.PolicyMaker, error) {
	switch policy {
	case PolicyLotusward:
		return nil, nil
	case PolicyClairvoyant:
		return nil, &UnplayableError{Scenario: c.Scenario, Reason: "no real daemon is clairvoyant"}
	}
	factory, _ := factoryOf(policy) // choose has checked the name
	return func(index int, zone identity.Zone) scheduler.Policy {
		return factory(simulation.DaemonInfo{Index: index, Zone: zone, Seed: c.Seed<<16 + uint64(index)})
	}, nil
}
