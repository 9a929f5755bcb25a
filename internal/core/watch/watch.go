// Package watch decides which daemons ask which back ends for their status, and
// when. A back end is watched by the two best live daemons of its own zone, by
// rendezvous hashing, so that all daemons with the same member list agree and a
// daemon that comes or goes moves only its own back ends. With two daemons or
// fewer in a zone each of them watches all back ends there. The package is pure.
package watch

import (
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// WatchersPerBackend is how many daemons watch one back end.
const WatchersPerBackend = 2

// Daemon is a live daemon that can watch.
type Daemon struct {
	ID   identity.DaemonID
	Zone identity.Zone
}

// Plan assigns back ends to the daemons of one member list.
type Plan struct {
	all   []identity.DaemonID
	zones map[identity.Zone][]identity.DaemonID
}

// NewPlan makes the plan for the live daemons.
func NewPlan(daemons []Daemon) *Plan {
	plan := &Plan{zones: make(map[identity.Zone][]identity.DaemonID)}
	for _, daemon := range daemons {
		plan.all = append(plan.all, daemon.ID)
		plan.zones[daemon.Zone] = append(plan.zones[daemon.Zone], daemon.ID)
	}
	return plan
}

// Watchers returns who watches a back end of a zone, best first. The daemons of
// all zones take over a zone that has none of its own.
func (p *Plan) Watchers(backend identity.BackendID, zone identity.Zone) []identity.DaemonID {
	candidates := p.zones[zone]
	if len(candidates) == 0 {
		candidates = p.all
	}
	return rendezvous.Top(rendezvous.Key(string(backend)), candidates, WatchersPerBackend)
}

// Rank returns the place of a daemon among the watchers of a back end, from zero;
// the second result is false when it is none of them.
func (p *Plan) Rank(self identity.DaemonID, backend identity.BackendID, zone identity.Zone) (int, bool) {
	local := p.zones[zone]
	if len(local) > 0 && !slices.Contains(local, self) {
		return 0, false
	}
	rank := slices.Index(p.Watchers(backend, zone), self)
	return rank, rank >= 0
}

// Pace bounds how often a daemon asks back ends.
type Pace struct {
	// Shortest is the time between two questions to one back end when there are
	// few, Longest when there are many.
	Shortest time.Duration
	Longest  time.Duration
	// PerSecond is how many questions a daemon asks in a second before it asks
	// each back end less often.
	PerSecond int
}

// Interval returns the time between two questions to one of watched back ends.
func (p Pace) Interval(watched int) time.Duration {
	if p.PerSecond <= 0 {
		return p.Shortest
	}
	even := time.Duration(watched) * time.Second / time.Duration(p.PerSecond)
	return max(p.Shortest, min(even, p.Longest))
}

// Next returns when a watcher of a rank asks a back end next, after now. The
// times of the two watchers lie half an interval apart as far as their clocks
// agree, and those of different back ends are spread.
func Next(now time.Time, backend identity.BackendID, rank int, interval time.Duration) time.Time {
	phase := time.Duration(rendezvous.Key(string(backend)) % uint64(interval))
	phase += time.Duration(rank) * interval / WatchersPerBackend
	passed := time.Duration(now.UnixNano()-int64(phase)) % interval
	if passed < 0 {
		passed += interval
	}
	return now.Add(interval - passed)
}
