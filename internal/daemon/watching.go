package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
	"github.com/lotusward/lotusward/internal/core/sighting"
	"github.com/lotusward/lotusward/internal/core/watch"
	"github.com/lotusward/lotusward/internal/daemon/backendwatch"
	"github.com/lotusward/lotusward/internal/daemon/control"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

const (
	// pollsPerSecond is how many status polls a daemon makes in a second before it
	// makes fewer to each back end, and longestPollInterval how few at least.
	pollsPerSecond      = 8
	longestPollInterval = 2 * time.Second
	// joinGrace is how long a daemon that starts waits for its first peer before it
	// takes itself for the only one, which watches all back ends.
	joinGrace = 500 * time.Millisecond
)

// wireWatching connects the watcher of back ends, the exchange of sightings that
// the control loop owns, and the network.
func (d *Daemon) wireWatching() {
	assignment := &watchAssignment{
		self: d.settings.Identity, members: d.members, startedAt: time.Now(),
		mayHavePeers: d.minimumMembers() > 1,
	}
	sink := countingSink{Loop: d.loop, shed: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "lotusward_cache_event_batches_shed_total",
		Help: "Batches of engines' cache events that were dropped because the control loop was behind.",
	})}
	d.metrics.MustRegister(sink.shed)
	options := backendwatch.Options{
		Machines:     d.platform.machines,
		Statuses:     d.engines,
		Sink:         sink,
		Assignment:   assignment,
		Log:          d.part("backends"),
		ListInterval: d.settings.Tuning.MachineListInterval,
		Pace: watch.Pace{
			Shortest: d.settings.Tuning.LoadPollInterval, PerSecond: pollsPerSecond,
			Longest: max(longestPollInterval, d.settings.Tuning.LoadPollInterval),
		},
	}
	if d.settings.CacheEvents == static.CacheEventsWatchers {
		options.CacheEvents = d.engines
	}
	time.AfterFunc(joinGrace, d.members.notify)
	d.watcher = backendwatch.New(options)
	d.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lotusward_backends_watched", Help: "Back ends that this daemon asks for their status itself.",
	}, func() float64 { return float64(d.watcher.Watched()) }))
	d.loop.SetWatching(control.Watching{
		Exchange: sighting.New(time.Now(), sighting.Identity{
			ID:          d.settings.Identity.Daemon,
			Zone:        d.settings.Identity.Zone,
			Address:     d.advertisedPeerAddress(),
			Incarnation: d.incarnation,
		}, newRandom(), sighting.DefaultOptions()),
		Send:    d.transport.SendSightings,
		Recheck: d.watcher.Recheck,
	})
}

// countingSink counts the batches of cache events that the loop drops.
type countingSink struct {
	*control.Loop
	shed prometheus.Counter
}

// ObserveCacheEvents implements backendwatch.Sink.
func (s countingSink) ObserveCacheEvents(id identity.BackendID, batch enginewire.CacheEventBatch) bool {
	taken := s.Loop.ObserveCacheEvents(id, batch)
	if !taken {
		s.shed.Inc()
	}
	return taken
}

// watchAssignment assigns back ends by the published member list. It is for the
// watcher's goroutine.
type watchAssignment struct {
	self         static.Identity
	members      *memberDirectory
	startedAt    time.Time
	mayHavePeers bool

	planned *memberPicture
	plan    *watch.Plan
}

// Changed implements backendwatch.Assignment.
func (a *watchAssignment) Changed() <-chan struct{} { return a.members.changed }

// Rank implements backendwatch.Assignment.
func (a *watchAssignment) Rank(machine platformwire.Machine) (int, bool) {
	picture := a.members.picture.Load()
	if a.mayHavePeers && len(picture.live) == 0 && time.Since(a.startedAt) < joinGrace {
		return 0, false
	}
	if picture != a.planned {
		a.planned = picture
		a.plan = watch.NewPlan(watchersOf(a.self, picture.all))
	}
	return a.plan.Rank(a.self.Daemon, machine.ID, machine.Zone)
}

func watchersOf(self static.Identity, members []membership.Member) []watch.Daemon {
	daemons := []watch.Daemon{{ID: self.Daemon, Zone: self.Zone}}
	for _, member := range members {
		if member.ID != self.Daemon && member.Live() {
			daemons = append(daemons, watch.Daemon{ID: member.ID, Zone: member.Zone})
		}
	}
	return daemons
}
