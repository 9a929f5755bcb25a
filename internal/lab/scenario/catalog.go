package scenario

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// The names of the scenarios.
const (
	FinishLine     = "finish-line"
	DinnerHour     = "dinner-hour"
	HotPrefixShift = "hot-prefix-shift"
	EngineLoss     = "engine-loss"
	EventGaps      = "event-gaps"
	HerdRestart    = "herd-restart"
	LargeTenant    = "large-tenant"
)

// The load that scenarios share: a quiet time, the event, and its fading.
const (
	duration = 30 * time.Second
	eventAt  = 6 * time.Second
	fade     = 15 * time.Second
)

// Requests a second at each engine, before the event and at its start.
const (
	baseRatePerEngine = 3
	peakRatePerEngine = 16
)

// Reports of today's platform.
const (
	loadPeriod    = 100 * time.Millisecond
	loadLag       = 100 * time.Millisecond
	eventLateness = 200 * time.Millisecond
	eventGaps     = 0.02
)

// Catalog lists all scenarios, each with its deployment.
func Catalog() []Scenario {
	var all []Scenario
	for _, deployment := range []Deployment{Foulee(), KalahariPot()} {
		all = append(all, scenariosOf(deployment)...)
	}
	return all
}

func scenariosOf(deployment Deployment) []Scenario {
	start := named(startName(deployment), deployment)

	shifting := named(HotPrefixShift, deployment)
	shifting.HotShifts = []time.Duration{10 * time.Second, 15 * time.Second, 20 * time.Second}

	losing := named(EngineLoss, deployment)
	for index := range deployment.Engines / 5 {
		crash := Crash{Engine: index, At: eventAt + time.Duration(index+1)*time.Second, DownFor: 2 * time.Second}
		losing.Crashes = append(losing.Crashes, crash)
	}

	gappy := named(EventGaps, deployment)
	gappy.EventGapProbability = 0.5
	gappy.EventLateness = 2 * time.Second

	restarted := named(HerdRestart, deployment)
	restarted.Restarts = []time.Duration{eventAt}

	flooded := named(LargeTenant, deployment)
	flooded.Flood = &Flood{From: eventAt, Tenant: 0, Share: 60}
	return []Scenario{start, shifting, losing, gappy, restarted, flooded}
}

func startName(deployment Deployment) string {
	if deployment.Name == Foulee().Name {
		return FinishLine
	}
	return DinnerHour
}

// named is the plain event start under a name.
func named(name string, deployment Deployment) Scenario {
	made := Scenario{
		Name:                name,
		Deployment:          deployment,
		Duration:            duration,
		EventAt:             eventAt,
		BaseRate:            baseRatePerEngine * float64(deployment.Engines),
		PeakRate:            peakRatePerEngine * float64(deployment.Engines),
		Fade:                fade,
		LoadPeriod:          loadPeriod,
		LoadLag:             loadLag,
		EventLateness:       eventLateness,
		EventGapProbability: eventGaps,
	}
	for _, tenant := range deployment.Tenants {
		made.Limits = append(made.Limits, scheduler.TenantLimit{Tenant: tenant.Name, Weight: 1})
	}
	return made
}
