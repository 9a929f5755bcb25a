package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/adapter/httpexchange"
	"github.com/lotusward/lotusward/internal/cachewatch"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/lease"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/retry"
	"github.com/lotusward/lotusward/internal/daemon/leasekeeper"
	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/eventlog"
	"github.com/lotusward/lotusward/internal/loadshare"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/members"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/relay"
	"github.com/lotusward/lotusward/internal/requestlog"
	"github.com/lotusward/lotusward/internal/rollout"
	"github.com/lotusward/lotusward/platform"
)

// Shares of the bounds in the settings that the daemon allows itself.
const (
	// confirmationShare of the time in which a revoked key must stop working: later,
	// callers earn nothing for requests that this daemon lets in.
	confirmationShare = 0.8
	// denialShare of the time in which a configuration must be in force.
	denialShare = 0.6
	// versionMargin is taken off the time in which a named version must be in use:
	// this daemon may have heard of the version that much later.
	versionMargin = time.Second
	// budgetShare of the retries that all daemons may make together.
	budgetShare = 0.7
	// leaseShare of the time that must lie between two holders' orders: a new holder
	// waits for that time anyway, so the lease itself may be shorter.
	leaseShare = 0.7
	// maximumDrift bounds how much steady clocks differ in rate.
	maximumDrift = 0.02
	retryAfter   = 250 * time.Millisecond
	sweepTime    = time.Second
)

// wired is the daemon's parts.
type wired struct {
	settings  platform.Settings
	pool      *httpexchange.Pool
	directory *directory.Directory
	keeper    *leasekeeper.Keeper
	rollout   *rollout.Keeper
	follower  *rollout.Follower
	members   *members.List
	loads     *loadshare.Sharer
	store     *cachewatch.Watcher
	metrics   *metrics
	serving   *serving
}

func wire(settings platform.Settings, metricsPort int, logger *logrus.Logger, writer *eventlog.Writer) *wired {
	part := func(name string) logrus.FieldLogger { return logging.Part(logger, name) }
	registry := prometheus.NewRegistry()
	counters := requestlog.NewCounters(registry)
	registerState(registry, writer)
	connections := httpexchange.NewPool(httpexchange.Options{LocalAddress: settings.IP})
	watch := &storeObserver{counters: counters}
	store := platform.NewStore(connections, settings.Store.Address, watch)
	runners := platform.NewRunners(connections)
	backends := backendpool.New(settings.Zone)
	bounds := settings.Bounds
	budgets := relay.NewBudgets(retry.Limits{
		Window: platform.Seconds(bounds.BudgetWindowS),
		Ratio:  bounds.RetryBudgetRatio * budgetShare,
	})
	others := members.New(members.Options{
		Self: settings.NodeName, Address: settings.InternalAddress(), Table: store, Log: part("members"),
		Changed: func(count int) { budgets.SetFloor(int(budgetShare * bounds.RetryBudgetSlack / float64(count))) },
	})
	known := directory.New(directory.Options{
		Daemons: others.Count,
		Source:  store, Pool: backends, Log: part("directory"),
		SteadyTime:       platform.Milliseconds(bounds.ContactMs),
		VersionHeadStart: versionGrace(bounds) - platform.Milliseconds(bounds.ContactMs),
	})
	storeWatch := cachewatch.NewWatcher(runners, known.PromptStoreAddress, part("promptstore"))
	watch.directory = known
	memory := promptcache.New()
	relaying := relay.New(relay.Options{
		Control: known, Pool: backends, Backends: runners, Budgets: budgets,
		Policy: policy(bounds), Memory: memory, Store: storeWatch.Cache, Journal: requestlog.New(part("relay"), counters),
	})
	candidate := &leasekeeper.Candidate{Count: others.Count}
	serving := newServing(settings, relaying, known, part("front"))
	keeper := leasekeeper.New(leasekeeper.Options{
		Table: store, Log: part("lease"), Eligible: func() bool {
			mayBecome := known.Complete() && !serving.stopping.Load()
			return candidate.Held() || (mayBecome && candidate.Eligible(time.Now()))
		},
		Settings: lease.Settings{
			Key: rollout.KeyLease, Holder: settings.NodeName, Incarnation: identity.Incarnation(rand.Uint64()),
			SoleIncarnation: true, // a machine runs one process of a role
			Duration:        time.Duration(leaseShare * float64(platform.Milliseconds(bounds.LeaseMs))), MaximumDrift: maximumDrift,
		},
	})
	candidate.Held = func() bool {
		_, held := keeper.Held()
		return held
	}
	return &wired{
		settings:  settings,
		pool:      connections,
		directory: known,
		keeper:    keeper,
		rollout: rollout.New(rollout.Options{
			Holder: settings.NodeName, Lease: keeper, Table: store, Pool: backends, Named: known,
			Orders: runners, Quiet: quiet(bounds), Log: part("rollout"),
		}),
		follower: &rollout.Follower{Table: store, Changes: store, Pool: backends, Lease: keeper, Learn: known.LearnSeen, Log: part("rollout")},
		members:  others,
		loads:    loadshare.New(loadshare.Options{Address: settings.InternalAddress(), Others: others.Others, Pool: backends, Memory: memory}),
		store:    storeWatch,
		metrics:  newMetrics(settings, metricsPort, registry),
		serving:  serving,
	}
}

// storeObserver counts the store's calls and tells the directory of failed ones.
type storeObserver struct {
	counters  *requestlog.Counters
	directory *directory.Directory
}

// StoreCall implements platform.CallObserver.
func (o *storeObserver) StoreCall(call, result string, err error) {
	o.counters.StoreCall(call, result, err)
	var limited *port.RateLimitedError
	if err != nil && !errors.As(err, &limited) && !errors.Is(err, context.Canceled) {
		o.directory.Disturbed(time.Now())
	}
}

// versionGrace is how long requests may begin on older weights after a version was
// named.
func versionGrace(bounds platform.Bounds) time.Duration {
	named := platform.Milliseconds(bounds.VersionMs)
	return max(named-versionMargin, named/2)
}

// quiet is how long a new holder of the roll-out waits. Where back ends check
// fencing tokens, orders of the holder before it cannot interleave with its own.
func quiet(bounds platform.Bounds) time.Duration {
	if bounds.FencingRequired {
		return 0
	}
	return platform.Milliseconds(bounds.LeaseMs)
}

func policy(bounds platform.Bounds) relay.Policy {
	share := func(share float64, milliseconds int) time.Duration {
		return time.Duration(share * float64(platform.Milliseconds(milliseconds)))
	}
	chosen := relay.Policy{
		ConfirmationForKeys:    time.Duration(1<<63 - 1),
		ConfirmationForDenials: share(denialShare, bounds.ConfigApplyMs),
		VersionGrace:           versionGrace(bounds),
		RetryAfter:             retryAfter,
	}
	if bounds.RevokeFailClosed && bounds.RevokeMs > 0 {
		chosen.ConfirmationForKeys = share(confirmationShare, bounds.RevokeMs)
	}
	return chosen
}

// addTo adds the daemon's parts to a group. All but the listeners go on until the
// last request has ended, since requests need a belief that is up to date, and the
// roll-out's holder keeps its duty for as long as it can.
func (w *wired) addTo(group *run.Group) {
	add := func(part func(context.Context) error) {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return part(ctx) }, func(error) {
			go func() {
				<-w.serving.stopped
				cancel()
			}()
		})
	}
	add(w.directory.Run)
	add(w.rollout.Run)
	add(w.follower.Run)
	add(w.members.Run)
	add(w.loads.Run)
	add(w.store.Run)
	add(w.sweep)
	add(w.keeper.Run)
	w.metrics.addTo(group)
	w.serving.addTo(group)
}

// sweep closes connections that are unused for too long.
func (w *wired) sweep(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, sweepTime)
		w.pool.Sweep(time.Now())
	}
	return nil
}
