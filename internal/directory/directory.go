package directory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/relay"
)

// Times and sizes of reading.
const (
	// readInterval is how often rows are read as a whole though no change was told.
	readInterval = 900 * time.Millisecond
	// bytesPerSecond bounds what the whole readings of large tables cost: those are
	// read less often, and followed by their changes in between.
	bytesPerSecond      = 8 << 10
	longestReadInterval = 30 * time.Second
	// declaredWait and backendWait are how long calls for changes are held. The first
	// also confirms the configuration.
	declaredWait = 750 * time.Millisecond
	backendWait  = 3 * time.Second
	// readPerDaemon and waitPerDaemon space the readings of the configuration where
	// there are many daemons, since the store bounds the calls of all together.
	readPerDaemon = 8 * time.Millisecond
	waitPerDaemon = 4 * time.Millisecond
	// leastInterval lies between two calls, however fast changes come.
	leastInterval = 100 * time.Millisecond
	failurePause  = 150 * time.Millisecond
	// longestRetryPause bounds the pause after refusals for now.
	longestRetryPause = 2 * time.Second
	callTimeout       = 1500 * time.Millisecond
	// listTimeout bounds a reading of the whole list of back ends, page by page.
	listTimeout = 15 * time.Second
	// silentTime is how long the store may keep changes to itself before it drops
	// its history, which a call for changes is then told.
	silentTime = 1200 * time.Millisecond
	// disturbanceWindow is the time within which two failed calls are a disturbance.
	disturbanceWindow = 3 * time.Second
	// clockSlack covers steady clocks that run at different rates.
	clockSlack = 100 * time.Millisecond
	// keptVersions is how many named versions of a model are remembered.
	keptVersions = 8
)

// Options are what a Directory works with.
type Options struct {
	Source Source
	Pool   *backendpool.Pool
	Log    logrus.FieldLogger
	// VersionHeadStart is how long ago versions count as named that this daemon
	// finds at its start.
	VersionHeadStart time.Duration
	// Daemons returns how many daemons there may be; nil means one.
	Daemons func() int
	// SteadyTime is how long after a failed call the store counts as disturbed.
	SteadyTime time.Duration
}

// Directory implements relay.Control.
type Directory struct {
	options   Options
	messages  chan message
	state     atomic.Pointer[relay.State]
	confirmed atomic.Pointer[time.Time]
	// steady is when the store had last been steady for SteadyTime since a failure.
	steady atomic.Pointer[time.Time]
	// failedAt is when a call of the store last failed.
	failedAt atomic.Pointer[time.Time]
	listed   atomic.Bool

	// What follows belongs to the goroutine of Run.
	versions map[identity.ModelName][]relay.NamedVersion
	backends map[identity.BackendID]backendpool.Backend
	// started is set after the first reading: a version that is found later was named
	// since, also if it is a model's first.
	started bool
	// told are what other daemons saw last, by model.
	told      map[identity.ModelName][]Seen
	freshness map[table]*freshness
	reachable map[table]bool
}

// table names a group of rows that are read together.
type table string

const (
	tableDeclared table = "declared"
	tableBackends table = "back_ends"
)

// message is what a reader posts. One of the pointers is set unless the call
// failed or showed no change.
type message struct {
	table    table
	began    time.Time
	ended    time.Time
	declared *Declared
	listed   *Listed
	changes  *Changes
	seen     []Seen
	err      error
}

// New makes a Directory that knows nothing until it runs.
func New(options Options) *Directory {
	if options.Daemons == nil {
		options.Daemons = func() int { return 1 }
	}
	directory := &Directory{
		options:   options,
		messages:  make(chan message),
		versions:  map[identity.ModelName][]relay.NamedVersion{},
		backends:  map[identity.BackendID]backendpool.Backend{},
		told:      map[identity.ModelName][]Seen{},
		freshness: map[table]*freshness{tableDeclared: {}, tableBackends: {}},
		reachable: map[table]bool{},
	}
	directory.confirmed.Store(&time.Time{})
	directory.steady.Store(&time.Time{})
	return directory
}

// State implements relay.Control.
func (d *Directory) State() *relay.State { return d.state.Load() }

// ConfirmedAt implements relay.Control.
func (d *Directory) ConfirmedAt() time.Time { return *d.confirmed.Load() }

// Disturbed notes that a call of the store failed, by whichever part of the daemon.
// One failure alone may be a connection's; two within a short time are the store's.
func (d *Directory) Disturbed(now time.Time) {
	before := d.failedAt.Swap(&now)
	if before == nil || now.Sub(*before) > disturbanceWindow {
		return
	}
	steady := now.Add(d.options.SteadyTime)
	d.steady.Store(&steady)
}

// SteadySince implements relay.Control.
func (d *Directory) SteadySince() time.Time { return *d.steady.Load() }

// Complete tells whether a configuration and the back ends are known.
func (d *Directory) Complete() bool { return d.state.Load() != nil && d.listed.Load() }

// Run reads the store until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	go d.read(ctx, d.readDeclared)
	go d.read(ctx, d.readBackends)
	for {
		select {
		case <-ctx.Done():
			return nil
		case got := <-d.messages:
			d.apply(got)
		}
	}
}

// apply takes one message in.
func (d *Directory) apply(got message) {
	if got.table != "" {
		d.noteReachability(got)
	}
	switch {
	case got.err != nil:
	case got.declared != nil:
		d.applyDeclared(got)
	case got.listed != nil:
		d.applyListed(got)
	case got.changes != nil:
		d.applyChanges(got.changes)
	case got.seen != nil:
		d.applySeen(got.seen)
	case got.table == tableDeclared && d.state.Load() != nil:
		d.confirm(got.began)
	}
}

// confirm notes that a call which began at a time showed the belief to be the
// newest.
func (d *Directory) confirm(began time.Time) {
	if began.After(*d.confirmed.Load()) {
		d.confirmed.Store(&began)
	}
}

// noteReachability logs when the store is lost and regained.
func (d *Directory) noteReachability(got message) {
	reachable := got.err == nil
	if before, known := d.reachable[got.table]; known && before == reachable {
		return
	}
	d.reachable[got.table] = reachable
	log := d.options.Log.WithField("table", got.table)
	if reachable {
		log.Info("The store answers.")
		return
	}
	log.WithError(got.err).Warn("The store does not answer.")
}

// applyDeclared takes in what operators declared. A reading of an earlier moment
// than one before it confirms nothing, and no older configuration is ever applied.
func (d *Directory) applyDeclared(got message) {
	declared := got.declared
	if !d.freshness[tableDeclared].admit(got.began, got.ended, declared.Reading) {
		d.options.Log.WithField("store_version", declared.Version).Warn("An outdated reading is passed over.")
		return
	}
	if declared.Malformed != nil {
		d.options.Log.WithError(declared.Malformed).Error("What operators declared is malformed; the last good one stays in force.")
	}
	if !declared.Found {
		return
	}
	now := time.Now()
	versionsChanged := d.nameVersions(now, declared.Clock, declared.Versions)
	d.started = true
	state := d.state.Load()
	newer := declared.Configuration != nil && (state == nil || declared.Configuration.Version > state.Table.Version())
	switch {
	case newer:
		d.publish(declared)
	case state != nil && versionsChanged:
		changed := *state
		changed.Versions = d.copyVersions()
		d.state.Store(&changed)
	}
	if d.state.Load() != nil {
		d.confirm(got.began)
	}
}

// publish puts a configuration in force.
func (d *Directory) publish(declared *Declared) {
	d.state.Store(&relay.State{
		Table:      routing.Compile(declared.Configuration),
		RowVersion: declared.RowVersion,
		Versions:   d.copyVersions(),
	})
	d.options.Log.WithFields(logrus.Fields{
		"configuration": declared.Configuration.Version,
		"store_version": declared.Version,
		"routes":        len(declared.Configuration.Routes),
		"tenants":       len(declared.Configuration.Tenants),
	}).Info("A configuration is in force.")
}

// applyListed takes in the list of back ends.
func (d *Directory) applyListed(got message) {
	listed := got.listed
	if !d.freshness[tableBackends].admit(got.began, got.ended, listed.Reading) {
		d.options.Log.WithField("store_version", listed.Version).Warn("An outdated list of back ends is passed over.")
		return
	}
	if listed.Malformed != nil {
		d.options.Log.WithError(listed.Malformed).Error("Some back ends cannot be read.")
	}
	clear(d.backends)
	for _, backend := range listed.Backends {
		d.backends[backend.ID] = backend
	}
	d.updatePool(listed.Version)
	d.listed.Store(true)
}

// applyChanges takes in changes of the list since it was read.
func (d *Directory) applyChanges(changes *Changes) {
	if changes.Malformed != nil {
		d.options.Log.WithError(changes.Malformed).Error("Some back ends cannot be read.")
	}
	if len(changes.Changed)+len(changes.Gone) == 0 {
		return
	}
	for _, backend := range changes.Changed {
		d.backends[backend.ID] = backend
	}
	for _, id := range changes.Gone {
		delete(d.backends, id)
	}
	d.updatePool(changes.Last)
}

// updatePool gives the pool the list as it is believed to be.
func (d *Directory) updatePool(version uint64) {
	byID := func(left, right backendpool.Backend) int { return cmp.Compare(left.ID, right.ID) }
	change := d.options.Pool.Update(slices.SortedFunc(maps.Values(d.backends), byID))
	if len(change.Added)+len(change.Removed)+len(change.Draining) == 0 {
		return
	}
	d.options.Log.WithFields(logrus.Fields{
		"added": change.Added, "removed": change.Removed, "draining": change.Draining, "store_version": version,
	}).Info("The list of back ends changed.")
}

// PromptStoreAddress is where the store of prompt caches is; empty when there is none.
func (d *Directory) PromptStoreAddress() string {
	state := d.state.Load()
	if state == nil || state.Table.PromptStore() == nil {
		return ""
	}
	return state.Table.PromptStore().Address
}
