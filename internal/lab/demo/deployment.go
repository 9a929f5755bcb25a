// Package demo runs an event start of both users' shapes against real daemons
// inside one process, under several policies, and sets their figures side by
// side.
package demo

import (
	"time"

	"github.com/lotusward/lotusward/internal/lab/scenario"
)

// Sizes of the demo's deployments, small enough for one machine.
const (
	demoEngines    = 6
	demoAppRunners = 2
	demoDaemons    = 3
	basePerEngine  = 3
	peakPerEngine  = 14
	demoDuration   = 6 * time.Second
	demoEventAt    = time.Second
	demoFade       = 4 * time.Second
)

// scaledDown makes a scenario that fits a demo out of a full one.
func scaledDown(full scenario.Scenario) *scenario.Scenario {
	small := full.Scaled(scenario.Size{Engines: demoEngines, AppRunners: demoAppRunners, Daemons: demoDaemons})
	small.BaseRate = basePerEngine * demoEngines
	small.PeakRate = peakPerEngine * demoEngines
	small.Duration = demoDuration
	small.EventAt = demoEventAt
	small.Fade = demoFade
	return small
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
