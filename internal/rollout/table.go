package rollout

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// Status is the state of a service's versions at this daemon, for operators.
type Status struct {
	Service identity.ServiceName
	// Stable and Target are versions; Target is that of the newest order that was begun.
	Stable, Target identity.SoftwareVersion
	Order          uint64
	Stage          rollout.Stage
	Reason         string
	// Exposing is set while the target under trial may get requests.
	Exposing bool
	// ShareNow and ShareTotal are the target's shares (0 to 1) of the requests that this daemon has sent, over
	// the last seconds and since the order began.
	ShareNow, ShareTotal float64
	// Routes are the answers by route: at a collector those of all daemons (Pooled), elsewhere this daemon's own.
	Routes []RouteStatus
	Pooled bool
}

// RouteStatus holds the results of both versions on a route. Slow answers count as bad.
type RouteStatus struct {
	Route                                        string
	StableGood, StableBad, TargetGood, TargetBad int
}

// Table returns the state of all services.
func (c *Coordinator) Table() []Status {
	now := c.options.Now()
	var table []Status
	for _, service := range c.options.Directory.Services() {
		table = append(table, c.status(now, service))
	}
	return table
}

func (c *Coordinator) status(now time.Time, service identity.ServiceName) Status {
	state := c.options.Directory.Software(service)
	standing, shared := state.Standing, c.traffic(service)
	stable := c.stableVersion(service, state, shared)
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	status := Status{
		Service: service, Stable: stable, Target: standing.Target, Order: standing.Order, Stage: standing.Stage, Reason: standing.Reason,
		Exposing: standing.Stage == rollout.StageTrial && shared.exposing(now, standing.Order),
		ShareNow: shared.sent.share(shared.marks[0].sent), ShareTotal: shared.sent.share(sentCounts{}), Pooled: shared.pooled != nil,
	}
	evidence := shared.evidence
	if shared.pooled != nil {
		evidence = *shared.pooled
	}
	for _, route := range evidence.Routes {
		status.Routes = append(status.Routes, routeStatus(route))
	}
	return status
}

func routeStatus(evidence rollout.RouteEvidence) RouteStatus {
	target := evidence.TargetCounts()
	return RouteStatus{
		Route:      evidence.Route,
		StableGood: int(evidence.Stable.Good), StableBad: evidence.Stable.BadOrSlow(),
		TargetGood: int(target.Good), TargetBad: target.BadOrSlow(),
	}
}
