// Package daemon connects the parts of one daemon: the adapter to the users' platform, what
// the daemon believes, what serves callers and operators, and its duties. It is used by the
// program and by the tools that run daemons in their own process.
package daemon

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/adapter/httpexchange"
	"github.com/lotusward/lotusward/internal/administration"
	"github.com/lotusward/lotusward/internal/backendlimit"
	"github.com/lotusward/lotusward/internal/backendpath"
	"github.com/lotusward/lotusward/internal/cachewatch"
	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/retry"
	"github.com/lotusward/lotusward/internal/crashwatch"
	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/eventlog"
	"github.com/lotusward/lotusward/internal/forward"
	"github.com/lotusward/lotusward/internal/leasekeeper"
	"github.com/lotusward/lotusward/internal/loadhome"
	"github.com/lotusward/lotusward/internal/loadshare"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/members"
	"github.com/lotusward/lotusward/internal/namingrecord"
	"github.com/lotusward/lotusward/internal/openai"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/peersync"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/presence"
	"github.com/lotusward/lotusward/internal/prober"
	"github.com/lotusward/lotusward/internal/relay"
	"github.com/lotusward/lotusward/internal/requestlog"
	"github.com/lotusward/lotusward/internal/rollout"
	"github.com/lotusward/lotusward/internal/roomshare"
	"github.com/lotusward/lotusward/internal/sharedlimit"
	"github.com/lotusward/lotusward/internal/streamorigin"
	"github.com/lotusward/lotusward/internal/weightupdate"
	"github.com/lotusward/lotusward/platform"
)

// Daemon is one daemon with its parts. Make it with New.
type Daemon struct {
	settings platform.Settings
	options  Options
	logger   *logrus.Logger

	pool    *httpexchange.Pool
	store   *platform.Store
	runners *platform.Runners
	// paths sends requests to back ends, directly or through other daemons, whose requests forwards sends.
	paths    *backendpath.Router
	forwards *forward.Server
	backends *backendpool.Pool
	memory   *promptcache.Index
	budgets  *relay.RetryBudgets

	members   *members.List
	directory *directory.Directory
	namings   *namingrecord.Keeper
	promptsIn *cachewatch.Watcher
	cachesIn  *cachewatch.Watcher
	// cacheTargets says which back ends' caches are watched.
	cacheTargets *cachewatch.Assignment
	link         *peerlink.Link
	regions      distance.Map
	topology     peerlink.Topology
	broadcast    *peerlink.Broadcaster
	tree         *peerlink.Tree
	snapshots    *peersync.Server
	loads        *loadshare.Sharer
	presence     *presence.List
	homes        *loadhome.Homes
	rooms        *roomshare.Sharer
	limits       *sharedlimit.Limiter
	streams      *streamorigin.Registry
	// streamRecord keeps the software versions that were listed lately in the store, for daemons that start.
	streamRecord *streamorigin.Recorder
	// streamVerifier asks the store for versions of which this daemon may not have heard.
	streamVerifier *streamorigin.Verifier
	// streamArchive keeps the beginnings of streams in the store while a service has several versions.
	streamArchive *streamorigin.Archive
	incarnations  *incarnations
	prober        *prober.Prober
	crashes       *crashwatch.Watcher
	ledger        *buffers.Tracker
	serving       *serving
	keeper        *leasekeeper.Keeper
	// rollouts is nil where the settings offer none.
	rollouts   *rollout.Coordinator
	weights    *weightupdate.Keeper
	follower   *weightupdate.Follower
	metricsOut *metrics
}

// Options are what a daemon is made with, beside its settings.
type Options struct {
	// MetricsPort, OpenAIPort and AdminPort are ports of the daemon's address; zero serves
	// nothing.
	MetricsPort, OpenAIPort, AdminPort int
	// AdminToken authenticates operators.
	AdminToken string
	Logger     *logrus.Logger
	// Writer is what Logger writes to.
	Writer *eventlog.Writer
	// Started is when the process started; zero is when the daemon is made.
	Started time.Time
	// Placement is how back ends are chosen; empty is the usual way.
	Placement backendpool.Placement
	// Dial opens the daemon's TCP connections; nil uses the network directly.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens the socket for datagrams of other daemons; nil uses the network directly.
	Listen peerlink.ListenFunc
}

// New connects the daemon's parts; nothing runs yet.
func New(settings platform.Settings, options Options) *Daemon {
	if options.Started.IsZero() {
		options.Started = clock.Now()
	}
	registry := prometheus.NewRegistry()
	counters := requestlog.NewCounters(registry)
	registerState(registry, options.Writer)
	traffic := newPeerTraffic(registry)
	made := &Daemon{
		settings: settings, options: options, logger: options.Logger, regions: distance.NewMap(settings.Zones),
		metricsOut: newMetrics(settings, options.MetricsPort, registry),
	}
	made.wireLedger(registry)
	made.wireOutside(counters)
	made.wireBelief(traffic)
	made.wireForwards(registry)
	made.registerLinks(registry)
	registerMalformed(registry, made.directory.MalformedRows)
	made.wireRollouts(registry)
	made.wireTraffic(counters)
	made.wireDuty()
	return made
}

// Ready tells whether callers may come.
func (w *Daemon) Ready() bool { return w.serving.isReady() }

func (w *Daemon) part(name string) logrus.FieldLogger { return logging.Part(w.logger, name) }

// wireOutside makes the clients of the store and the runners.
func (w *Daemon) wireOutside(counters *requestlog.Counters) {
	w.pool = httpexchange.NewPool(httpexchange.Options{LocalAddress: w.settings.IP, Dial: w.options.Dial})
	w.store = platform.NewStore(w.pool, w.settings.Store.Address, &storeObserver{counters: counters, daemon: w})
	if w.settings.Bounds.OffersRollouts() {
		w.store.FollowRollouts()
	}
	w.runners = platform.NewRunners(w.pool, w.noteBackend)
}

// wireBelief makes what knows back ends, configuration and other daemons.
func (w *Daemon) wireBelief(traffic *peerTraffic) {
	bounds := w.settings.Bounds
	w.link = peerlink.New(w.settings.InternalAddress(), w.part("peers"))
	w.backends = backendpool.New(w.settings.Zone)
	w.backends.SetPlacement(w.options.Placement)
	w.backends.SetDistances(w.regions)
	w.memory = promptcache.New()
	w.budgets = relay.NewRetryBudgets(retry.Limits{
		Window: platform.Seconds(bounds.BudgetWindowS),
		Ratio:  bounds.RetryBudgetRatio * budgetShare,
	})
	w.members = members.New(members.Options{
		Self: w.settings.NodeName, Own: w.settings.Descriptor(), Table: w.store, Era: w.store.Era, Log: w.part("members"),
		New: w.settings.FirstStart,
		Changed: func(count int) {
			w.budgets.SetFloor(int(budgetShare * bounds.RetryBudgetSlack / float64(count)))
			w.backends.SetDaemons(count)
		},
	})
	crossing := w.wirePeers(traffic)
	w.crashes = crashwatch.New(crashwatch.Options{
		Link: w.link, Topology: w.topology, Crossing: crossing, Table: w.store, Log: w.part("quarantine"),
		Reads: func() bool { return w.directory.IsReader() }, Era: w.store.Era,
	})
	w.backends.OnReachability(w.noteReachability)
	w.backends.OnEnded(w.pool.Forget)
	w.wireDirectory(traffic)
	w.wirePaths()
	w.wireCaches()
	w.wireLoads()
}

// wirePeers makes what carries datagrams to other daemons.
func (w *Daemon) wirePeers(traffic *peerTraffic) *peerlink.Crossing {
	w.link.SetListen(w.options.Listen)
	w.link.Observe(w.hear)
	w.presence = presence.New()
	w.topology = newTopology(w.regions, w.members)
	w.link.ObserveSent(func(to string, datagram []byte) {
		traffic.sent(peerlink.KindOf(datagram).String(), w.distanceTo(to), len(datagram))
	})
	w.link.ObserveMalformed(func(kind peerlink.Kind) { traffic.malformed.WithLabelValues(kind.String()).Inc() })
	crossing := peerlink.NewCrossing(w.link, w.topology, presence.NewUnresponsive(w.presence))
	w.broadcast = peerlink.NewBroadcaster(w.link, w.topology, crossing)
	w.tree = peerlink.NewTree(w.link, w.topology, crossing)
	return crossing
}

// wireDirectory makes what reads the store, or hears who does.
func (w *Daemon) wireDirectory(traffic *peerTraffic) {
	bounds := w.settings.Bounds
	w.directory = directory.New(directory.Options{
		Quarantine: w.crashes, Software: bounds.OffersRollouts(),
		Source: w.store, Pool: w.backends, Log: w.part("directory"),
		Self: w.link.Address(), Broadcast: w.tell,
		Interval: checkInterval(bounds), NewsBound: newsBound(bounds), Others: w.members.Others, OnMembers: w.members.Set,
		Peers: peersync.NewClient(w.pool, w.link.Address(), func(address string, bytes int) {
			traffic.sent(kindSnapshot, w.distanceTo(address), bytes)
		}),
		Contacts:      w.members,
		Topology:      w.topology,
		IsOwnZone:     func(address string) bool { return w.members.Zone(address) == w.settings.Zone },
		StoreTime:     w.members.StoreTime,
		Started:       w.options.Started,
		SteadyTime:    platform.Milliseconds(bounds.ContactMs),
		QuietTime:     quietTime(bounds),
		GuessedNaming: guessedNaming(w.options.Started, bounds),
	})
	w.namings = namingrecord.New(namingrecord.Options{Table: w.store, Directory: w.directory, Log: w.part("namings"), Era: w.store.Era})
	for _, kind := range []peerlink.Kind{peerlink.KindBulletin, peerlink.KindEraBulletin} {
		peerlink.HandleDecoded(w.link, kind, w.directory.ReceiveBulletin)
	}
	for _, kind := range []peerlink.Kind{peerlink.KindPackedBulletin, peerlink.KindPackedEraBulletin} {
		peerlink.HandleDecoded(w.link, kind, w.directory.ReceivePackedBulletin)
	}
	w.snapshots = peersync.NewServer(w.link.Address(), w.directory, w.part("peersync"))
}

// wireCaches makes what follows the caches of back ends and stores.
func (w *Daemon) wireCaches() {
	w.cacheTargets = cachewatch.NewAssignment(w.link.Address(), cacheWatchers, w.backends.Backends, w.members.Zone)
	w.promptsIn = cachewatch.NewWatcher(cachewatch.Options{
		Source: w.runners, Targets: w.promptStores, Log: w.part("promptstore"),
	})
	w.cachesIn = cachewatch.NewWatcher(cachewatch.Options{
		Source: w.runners, Targets: w.watchedBackends, Rest: cacheRest, Observe: w.observeCache, Log: w.part("caches"),
		Unreached: func(target cachewatch.Target) { w.backends.RequestProbe(clock.Now(), identity.BackendID(target.Name)) },
	})
}

// wireLoads makes what daemons tell and ask each other of loads, room and limits.
func (w *Daemon) wireLoads() {
	w.homes = loadhome.New(loadhome.Options{
		Link: w.link, Others: w.members.Others, Pool: w.backends, Memory: w.memory, Presence: w.presence,
		Zone: w.members.Zone, OwnZone: w.settings.Zone, Distances: w.regions, Log: w.part("loads"),
	})
	w.backends.OnListChanged(func(changed []backendpool.Backend, gone []identity.BackendID) {
		w.cacheTargets.Listed(changed, gone)
		w.homes.NotifyBackendsListed()
		w.streams.NotifyBackendsListed(changed, gone)
	})
	w.incarnations = &incarnations{report: w.runners.Report, log: w.part("streams")}
	w.streams = streamorigin.New(streamorigin.Options{
		Link: w.link, Topology: w.topology, Presence: w.presence, Confirm: w.incarnations.confirm, Log: w.part("streams"),
		Stopping: func() bool { return w.serving.stopping.Load() },
		Verify:   func(ctx context.Context, since time.Time) error { return w.streamVerifier.Verify(ctx, since) },
		Archive:  func() *streamorigin.Archive { return w.streamArchive },
	})
	w.streamArchive = streamorigin.NewArchive(streamorigin.ArchiveOptions{
		Table: w.store, Self: string(w.settings.NodeName), Registry: w.streams, Ready: w.directory.Complete, Daemons: w.members.Count, Log: w.part("streams"),
	})
	w.streamVerifier = streamorigin.NewVerifier(streamorigin.VerifierOptions{
		Table: w.store, Refresh: w.directory.RefreshBackends, Registry: w.streams, Era: w.store.Era, Daemons: w.members.Count, Log: w.part("streams"),
	})
	w.streamRecord = streamorigin.NewRecorder(streamorigin.RecorderOptions{
		Table: w.store, Directory: w.directory, Registry: w.streams, Log: w.part("streams"), Era: w.store.Era,
		Daemons: w.members.Count, RemovedLately: w.store.BackendsRemovedLately, Refresh: w.directory.RefreshBackends,
	})
	w.loads = loadshare.New(loadshare.Options{
		Link: w.link, Others: w.members.Others, Pool: w.backends, Memory: w.memory, PublishParts: w.homes.PublishParts,
	})
	w.rooms = roomshare.New(roomshare.Options{
		Link: w.link, Others: w.members.Others, Zone: w.members.Zone, Capacity: w.members.Capacity, OwnZone: w.settings.Zone,
		Distances: w.regions, Pool: w.backends, Refresh: w.refreshLoads,
	})
	w.limits = sharedlimit.New(sharedlimit.Options{
		Link: w.link, Topology: w.topology, Count: w.members.Count, Presence: w.presence,
		Margin: limitMarginShare * w.settings.Bounds.QuotaSlack, Log: w.part("limits"),
		BackendHomes: w.homes.LimitHomes, BackendLimit: backendlimit.NewestLimit(w.backends.RequestLimit),
	})
	w.prober = prober.New(prober.Options{Pool: w.backends, Reach: w.paths.Reach, Log: w.part("probe")})
}

// wireTraffic makes what serves callers.
func (w *Daemon) wireTraffic(counters *requestlog.Counters) {
	relaying := relay.New(relay.Options{
		Control: w.directory, Pool: w.backends, Backends: w.paths, Budgets: w.budgets,
		Policy: policy(w.settings.Bounds), Memory: w.memory, Stores: w.promptsIn.Cache,
		Daemons: w.members.Count, Limits: w.limits, BackendLimits: backendlimit.New(w.limits, w.members.Count, counters.BackendLimit), Loads: w.homes, Rooms: w.rooms, Crashes: w.crashes,
		Versions: w.versions(), StreamOrigins: w.streams,
		Observer: requestlog.New(w.part("relay"), counters),
	})
	w.serving = newServing(w.settings, relaying, w.directory, w.crashes.Informed, w.ledger, w.part("front"))
	w.serving.waitForwarded = w.forwards.Wait
	w.addInterfaces(relaying)
}

// addInterfaces adds the listeners beside the platform's own, where they are asked for.
func (w *Daemon) addInterfaces(relaying *relay.Relay) {
	if port := w.options.OpenAIPort; port > 0 {
		w.serving.addCallers(w.address(port), openai.New(openai.Options{
			Relay: relaying, Control: w.directory, MaximumBody: w.serving.maximumBody, Stopping: w.serving.stopping.Load, Ledger: w.ledger,
		}))
	}
	if port := w.options.AdminPort; port > 0 {
		tables := &administration.Snapshot{
			Control: w.directory, Pool: w.backends, Self: w.link.Address(), Others: w.members.Others, Quarantines: w.crashes.Blamed,
			Rollouts: w.rolloutTable(), Limits: w.limits.Uses, Held: w.ledger.Usage,
		}
		w.serving.addOperators(w.address(port), administration.New(tables, w.options.AdminToken, w.part("administration")))
	}
}

// address is a port of this daemon's address.
func (w *Daemon) address(port int) string { return net.JoinHostPort(w.settings.IP, strconv.Itoa(port)) }

// storeObserver counts the store's calls and tells the directory of failed ones.
type storeObserver struct {
	counters *requestlog.Counters
	daemon   *Daemon
}

// StoreEra implements platform.CallObserver.
func (o *storeObserver) StoreEra(era, version uint64) {
	o.daemon.part("store").WithFields(logrus.Fields{"era": era, "store_version": version}).Info("The store tells its era.")
}

// StoreCall implements platform.CallObserver.
func (o *storeObserver) StoreCall(call, result string, began time.Time, err error) {
	o.counters.StoreCall(call, result)
	var limited *port.RateLimitedError
	if err == nil || errors.As(err, &limited) || errors.Is(err, context.Canceled) {
		return
	}
	var unavailable *port.UnavailableError
	refused := errors.As(err, &unavailable) && unavailable.Refused
	o.daemon.directory.NoteFailedCall(directory.FailedCall{Began: began, Ended: clock.Now(), Refused: refused})
}
