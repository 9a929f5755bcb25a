package scenario

import (
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// Scenario is a deployment with a workload and faults.
type Scenario struct {
	Name       string
	Deployment Deployment
	Duration   time.Duration
	// EventAt is when everyone arrives. BaseRate is the requests a second before,
	// PeakRate at the event; the peak fades to the base with the time constant Fade.
	EventAt  time.Duration
	BaseRate float64
	PeakRate float64
	Fade     time.Duration
	// HotShifts are the times at which the hot chapters change.
	HotShifts []time.Duration
	Flood     *Flood
	Crashes   []Crash
	// Restarts are the times at which all daemons restart at once.
	Restarts []time.Duration
	// Limits are each daemon's shares of tenant limits.
	Limits []scheduler.TenantLimit

	LoadPeriod    time.Duration
	LoadLag       time.Duration
	EventLateness time.Duration
	// EventGapProbability is the share of cache event batches that are lost.
	EventGapProbability float64
}

// Flood multiplies one tenant's share of the requests from a time on.
type Flood struct {
	From   time.Duration
	Tenant int
	Share  float64
}

// Crash is the loss of an engine, which comes back empty.
type Crash struct {
	Engine  int
	At      time.Duration
	DownFor time.Duration
}

// onset is how long the rate takes to rise at the event.
const onset = 300 * time.Millisecond

func (s *Scenario) peakRate() float64 { return max(s.BaseRate, s.PeakRate) * s.floodFactor(s.Duration) }

// rate is the requests a second at a time.
func (s *Scenario) rate(at time.Duration) float64 {
	return s.plainRate(at) * s.floodFactor(at)
}

func (s *Scenario) plainRate(at time.Duration) float64 {
	since := at - s.EventAt
	switch {
	case since < 0:
		return s.BaseRate
	case since < onset:
		return s.BaseRate + (s.PeakRate-s.BaseRate)*float64(since)/float64(onset)
	default:
		faded := 1 / (1 + float64(since-onset)/float64(s.Fade))
		return s.BaseRate + (s.PeakRate-s.BaseRate)*faded
	}
}

// floodFactor is by how much a flood raises the rate of all requests, so that
// the other tenants go on asking as before.
func (s *Scenario) floodFactor(at time.Duration) float64 {
	if s.Flood == nil || at < s.Flood.From {
		return 1
	}
	before, after := 0.0, 0.0
	for index, tenant := range s.Deployment.Tenants {
		before += tenant.Share
		if index == s.Flood.Tenant {
			after += s.Flood.Share
			continue
		}
		after += tenant.Share
	}
	return after / before
}

// shares are the tenants with the shares in force at a time.
func (s *Scenario) shares(at time.Duration) []Tenant {
	if s.Flood == nil || at < s.Flood.From {
		return s.Deployment.Tenants
	}
	flooded := slices.Clone(s.Deployment.Tenants)
	flooded[s.Flood.Tenant].Share = s.Flood.Share
	return flooded
}

// hotShift counts the shifts of the hot chapters up to a time.
func (s *Scenario) hotShift(at time.Duration) int {
	shifts := 0
	for _, shiftAt := range s.HotShifts {
		if at >= shiftAt {
			shifts++
		}
	}
	return shifts
}
