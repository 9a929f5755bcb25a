// Package experiment runs scenarios under several policies and seeds in
// simulated time and reports the measures side by side.
package experiment

import (
	"context"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/lotusward/lotusward/internal/lab/report"
	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/lab/simulation"
)

// The defaults of Options.
const (
	DefaultSeeds   = 3
	DefaultWorkers = 3
)

// Options choose what an experiment runs. Empty lists mean all.
type Options struct {
	Deployments []string
	Scenarios   []string
	Policies    []PolicyName
	// Seeds is how many seeds each policy runs, from seed 1 on.
	Seeds int
	// Workers is how many runs go on at once.
	Workers int
	// RateFactor multiplies the requests a second; zero means 1.
	RateFactor float64
	// EventGapProbability, when not nil, replaces that of each scenario.
	EventGapProbability *float64
}

// Results are an experiment's summaries in the order of the catalog, and the
// runs of the first seed, grouped by scenario, for plots.
type Results struct {
	Summaries []report.Summary
	FirstRuns [][]report.Run
}

// UnknownNameError says that a name in the options is none of those known.
type UnknownNameError struct {
	Kind string
	Name string
}

// Error implements error.
func (e *UnknownNameError) Error() string { return fmt.Sprintf("unknown %s %q", e.Kind, e.Name) }

// Run runs an experiment. It fails with *UnknownNameError before anything runs,
// or with the context's error.
func Run(ctx context.Context, options Options) (Results, error) {
	scenarios, err := choose(options)
	if err != nil {
		return Results{}, err
	}
	policies := options.Policies
	if len(policies) == 0 {
		policies = Policies()
	}
	seeds := options.Seeds
	if seeds <= 0 {
		seeds = DefaultSeeds
	}
	runs, err := runAll(ctx, scenarios, policies, seeds, options.Workers)
	if err != nil {
		return Results{}, err
	}
	return summarize(runs, len(policies), seeds), nil
}

// choose picks the scenarios of the options.
func choose(options Options) ([]scenario.Scenario, error) {
	catalog := scenario.Catalog()
	for _, name := range options.Deployments {
		if !slices.ContainsFunc(catalog, func(s scenario.Scenario) bool { return s.Deployment.Name == name }) {
			return nil, &UnknownNameError{Kind: "deployment", Name: name}
		}
	}
	for _, name := range options.Scenarios {
		if !slices.ContainsFunc(catalog, func(s scenario.Scenario) bool { return s.Name == name }) {
			return nil, &UnknownNameError{Kind: "scenario", Name: name}
		}
	}
	for _, name := range options.Policies {
		if _, known := factoryOf(name); !known {
			return nil, &UnknownNameError{Kind: "policy", Name: string(name)}
		}
	}
	chosen := slices.DeleteFunc(catalog, func(s scenario.Scenario) bool {
		return !wanted(options.Deployments, s.Deployment.Name) || !wanted(options.Scenarios, s.Name)
	})
	for index := range chosen {
		options.adjust(&chosen[index])
	}
	return chosen, nil
}

// adjust changes a scenario as the options ask.
func (o Options) adjust(chosen *scenario.Scenario) {
	if o.RateFactor > 0 {
		chosen.BaseRate *= o.RateFactor
		chosen.PeakRate *= o.RateFactor
	}
	if o.EventGapProbability != nil {
		chosen.EventGapProbability = *o.EventGapProbability
	}
}

func wanted(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }

// runAll runs every scenario under every policy with every seed. The order of
// the results does not depend on the number of workers.
func runAll(ctx context.Context, scenarios []scenario.Scenario, policies []PolicyName, seeds, workers int) ([]report.Run, error) {
	if workers <= 0 {
		workers = DefaultWorkers
	}
	runs := make([]report.Run, len(scenarios)*len(policies)*seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	for index := range runs {
		group.Go(func() error {
			chosen := &scenarios[index/(len(policies)*seeds)]
			policy := policies[index/seeds%len(policies)]
			seed := uint64(index%seeds + 1)
			factory, _ := factoryOf(policy)
			result, err := simulation.Run(ctx, chosen, seed, factory)
			runs[index] = report.Run{Scenario: chosen, Policy: string(policy), Seed: seed, Result: result}
			return err
		})
	}
	return runs, group.Wait()
}

func summarize(runs []report.Run, policies, seeds int) Results {
	var results Results
	for index := 0; index < len(runs); index += seeds {
		results.Summaries = append(results.Summaries, report.Summarize(runs[index:index+seeds]))
		if index/seeds%policies == 0 {
			results.FirstRuns = append(results.FirstRuns, nil)
		}
		last := len(results.FirstRuns) - 1
		results.FirstRuns[last] = append(results.FirstRuns[last], runs[index])
	}
	return results
}
