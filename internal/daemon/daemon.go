// Package daemon wires the parts of one lotusward daemon: it connects the pure
// core through the runners to the adapters, and starts and stops them in order.
package daemon

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/adapter/callerhttp"
	"github.com/lotusward/lotusward/internal/adapter/datagram"
	"github.com/lotusward/lotusward/internal/adapter/enginehttp"
	"github.com/lotusward/lotusward/internal/adapter/healthhttp"
	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/registry"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/daemon/backendwatch"
	"github.com/lotusward/lotusward/internal/daemon/claims"
	"github.com/lotusward/lotusward/internal/daemon/configuration"
	"github.com/lotusward/lotusward/internal/daemon/control"
	"github.com/lotusward/lotusward/internal/daemon/fleetkeeper"
	"github.com/lotusward/lotusward/internal/daemon/gossip"
	"github.com/lotusward/lotusward/internal/daemon/leasekeeper"
	"github.com/lotusward/lotusward/internal/daemon/prewarmer"
	"github.com/lotusward/lotusward/internal/logging"
)

// Options are what a daemon is made of.
type Options struct {
	Settings *static.Settings
	Logger   *logrus.Logger
	// Registry takes the metrics; a new one when nil.
	Registry *prometheus.Registry
	// Policy decides placement; the real scheduler when nil. Experiments put
	// their baselines here.
	Policy scheduler.Policy
}

// Daemon is one daemon, wired and listening but not yet running.
type Daemon struct {
	settings    *static.Settings
	logger      *logrus.Logger
	metrics     *prometheus.Registry
	incarnation identity.Incarnation

	listeners listeners
	datagrams *datagram.Conn
	peers     *peer.Client
	rpc       *peer.Server
	platform  platformClients
	engines   *enginehttp.Client
	loop      *control.Loop
	callers   *callerhttp.Handler
	admin     http.Handler

	members       *memberDirectory
	transport     *gossip.Transport
	watcher       *backendwatch.Watcher
	configuration *configuration.Runner
	claims        *claims.Runner
	lease         *leasekeeper.Keeper
	fleet         *fleetkeeper.Keeper
	prewarmer     *prewarmer.Runner
	// votes is closed once this daemon votes on claims.
	votes chan struct{}
	// stopping is set when an orderly stop has begun.
	stopping atomic.Bool
}

// New wires a daemon and opens its addresses. On an error everything that was
// opened is closed again.
func New(options Options) (*Daemon, error) {
	daemon := &Daemon{
		settings:    options.Settings,
		logger:      options.Logger,
		metrics:     options.Registry,
		incarnation: identity.Incarnation(time.Now().UnixMicro()),
		votes:       make(chan struct{}),
	}
	if daemon.metrics == nil {
		daemon.metrics = prometheus.NewRegistry()
	}
	ring, err := keyring.New(options.Settings.PeerKeys()...)
	if err != nil {
		return nil, fmt.Errorf("peer keys: %w", err)
	}
	if err := daemon.listen(ring); err != nil {
		daemon.Close()
		return nil, err
	}
	daemon.wirePeers(ring)
	daemon.wirePlatform()
	daemon.wireClaims()
	daemon.wireTraffic(options.Policy)
	daemon.wireConfiguration()
	daemon.wireMembership()
	daemon.wireWatching()
	daemon.wireSharing()
	daemon.wireKnowledge()
	daemon.wireFleet()
	daemon.wirePrewarmer()
	daemon.wireAdministration()
	daemon.registerProcess()
	daemon.registerGauges()
	return daemon, nil
}

// part returns the log of one part of the daemon.
func (d *Daemon) part(name string) logrus.FieldLogger {
	return logging.Part(d.logger, name)
}

// Addresses returns the addresses that the daemon listens on.
func (d *Daemon) Addresses() static.Listen {
	return static.Listen{
		Callers: d.listeners.callers.Addr().String(),
		Admin:   d.listeners.admin.Addr().String(),
		Peer:    d.listeners.peer.Addr().String(),
		Health:  d.listeners.health.Addr().String(),
	}
}

// View returns the picture of configuration and back ends that callers are
// served with at this moment.
func (d *Daemon) View() *view.View { return d.loop.View() }

// Configuration returns the part that keeps the configuration.
func (d *Daemon) Configuration() *configuration.Runner { return d.configuration }

func (d *Daemon) wirePeers(ring *keyring.Ring) {
	d.peers = peer.NewClient(ring, d.settings.Identity.Daemon, time.Now)
	d.rpc = peer.NewServer(ring, time.Now, d.metrics)
	d.members = newMemberDirectory(d.settings.Identity.Daemon, d.minimumMembers())
}

func (d *Daemon) wireTraffic(policy scheduler.Policy) {
	if policy == nil {
		policy = scheduler.New(scheduler.Options{Zone: d.settings.Identity.Zone})
	}
	d.engines = enginehttp.New(enginehttp.Options{})
	d.loop = control.New(control.Options{
		Policy:   policy,
		Registry: registry.New(registry.DefaultOptions()),
	})
	d.callers = callerhttp.New(callerhttp.Options{
		Views:      d.loop,
		Scheduling: d.loop,
		Claims:     startingClaims{Claims: d.claims, ready: d.votes},
		Engines:    d.engines,
		Log:        d.part("callers"),
		Registerer: d.metrics,
		Limits:     d.callerLimits(),
		OnLeaving:  d.loop.ObserveLeaving,
	})
}

func (d *Daemon) callerLimits() callerhttp.Limits {
	limits := callerhttp.DefaultLimits()
	limits.MaxBodyBytes = d.settings.Limits.BodyBytes
	limits.BodyTimeout = d.settings.Limits.BodyReadTimeout
	limits.HeaderTimeout = d.settings.Limits.HeaderReadTimeout
	limits.MaxHeaderBytes = d.settings.Limits.HeaderBytes
	limits.IdleTimeout = d.settings.Limits.IdleTimeout
	return limits
}

// AddTo adds the daemon's parts to a run group. The group interrupts them in
// this order, so that callers are drained before what serves them stops.
func (d *Daemon) AddTo(group *run.Group) {
	d.addCallers(group)
	d.addServer(group, "admin", d.listeners.admin, d.admin)
	d.addBackgroundParts(group)
	addRunner(group, d.runMembership)
	d.addServer(group, "peer", d.listeners.peer, d.rpc)
	d.addServer(group, "health", d.listeners.health, healthhttp.New(d, d.metrics))
	d.addLoop(group)
	d.addConnections(group)
}

// Close frees what New opened. It is for a daemon that never ran; one that ran
// has closed everything itself.
func (d *Daemon) Close() {
	for _, listener := range []net.Listener{
		d.listeners.callers, d.listeners.admin, d.listeners.peer, d.listeners.health,
	} {
		if listener != nil {
			_ = listener.Close() // nothing was accepted yet
		}
	}
	if d.datagrams != nil {
		_ = d.datagrams.Close() // nothing was received yet
	}
}
