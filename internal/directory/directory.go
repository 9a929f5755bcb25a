package directory

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/relay"
)

// Times of reading.
const (
	// readInterval is how often rows are read though no change was told: the
	// store may tell of a change late or not at all.
	readInterval = 900 * time.Millisecond
	// leastInterval lies between two reads, however fast changes come.
	leastInterval = 120 * time.Millisecond
	failurePause  = 150 * time.Millisecond
	callTimeout   = 1500 * time.Millisecond
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
	listed atomic.Bool

	// What follows belongs to the goroutine of Run.
	versions  map[identity.ModelName][]relay.NamedVersion
	freshness map[Table]*freshness
	reachable map[Table]bool
}

// message is what a reader posts.
type message struct {
	table    Table
	began    time.Time
	ended    time.Time
	declared *Declared
	listed   *Listed
	err      error
}

// New makes a Directory that knows nothing until it runs.
func New(options Options) *Directory {
	directory := &Directory{
		options:   options,
		messages:  make(chan message),
		versions:  map[identity.ModelName][]relay.NamedVersion{},
		freshness: map[Table]*freshness{TableDeclared: {}, TableBackends: {}},
		reachable: map[Table]bool{},
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
func (d *Directory) Disturbed(now time.Time) {
	steady := now.Add(d.options.SteadyTime)
	d.steady.Store(&steady)
}

// SteadySince implements relay.Control.
func (d *Directory) SteadySince() time.Time { return *d.steady.Load() }

// Complete tells whether a configuration and the back ends are known.
func (d *Directory) Complete() bool { return d.state.Load() != nil && d.listed.Load() }

// Run reads the store until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	go d.read(ctx, TableDeclared, d.readDeclared)
	go d.read(ctx, TableBackends, d.readBackends)
	for {
		select {
		case <-ctx.Done():
			return nil
		case got := <-d.messages:
			d.apply(got)
		}
	}
}

// read reads one table again and again, at once when the store tells of a change.
func (d *Directory) read(ctx context.Context, table Table, once func(context.Context) (message, uint64)) {
	for ctx.Err() == nil {
		got, after := once(ctx)
		got.table = table
		select {
		case d.messages <- got:
		case <-ctx.Done():
			return
		}
		if got.err != nil {
			pause.For(ctx, failurePause)
			continue
		}
		pause.For(ctx, leastInterval)
		d.waitForChange(ctx, table, after)
	}
}

// waitForChange returns early when the store tells of a change.
func (d *Directory) waitForChange(ctx context.Context, table Table, after uint64) {
	bounded, cancel := context.WithTimeout(ctx, readInterval)
	defer cancel()
	if _, err := d.options.Source.Wait(bounded, table, after, readInterval-leastInterval); err != nil {
		pause.For(bounded, readInterval)
	}
}

func (d *Directory) readDeclared(ctx context.Context) (message, uint64) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	var known uint64
	if state := d.state.Load(); state != nil {
		known = state.RowVersion
	}
	declared, err := d.options.Source.Declared(bounded, known)
	return message{began: began, ended: time.Now(), declared: &declared, err: err}, declared.Version
}

func (d *Directory) readBackends(ctx context.Context) (message, uint64) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	listed, err := d.options.Source.Backends(bounded)
	return message{began: began, ended: time.Now(), listed: &listed, err: err}, listed.Version
}

// apply takes one message in.
func (d *Directory) apply(got message) {
	d.noteReachability(got)
	switch {
	case got.err != nil:
	case got.declared != nil:
		d.applyDeclared(got)
	case got.listed != nil:
		d.applyListed(got)
	}
}

// noteReachability logs when the store is lost and regained.
func (d *Directory) noteReachability(got message) {
	reachable := got.err == nil
	if before, known := d.reachable[got.table]; known && before == reachable {
		return
	}
	d.reachable[got.table] = reachable
	log := d.options.Log.WithField("table", got.table.String())
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
	if !d.freshness[TableDeclared].admit(got.began, got.ended, declared.Reading) {
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
	versionsChanged := d.nameVersions(now, declared.Versions)
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
		d.confirmed.Store(&got.began)
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

func (d *Directory) copyVersions() map[identity.ModelName][]relay.NamedVersion {
	copied := make(map[identity.ModelName][]relay.NamedVersion, len(d.versions))
	for model, named := range d.versions {
		copied[model] = slices.Clone(named)
	}
	return copied
}

// nameVersions remembers versions that were not known. It returns true when
// there were any.
func (d *Directory) nameVersions(now time.Time, versions map[identity.ModelName]uint64) bool {
	changed := false
	for _, model := range slices.Sorted(maps.Keys(versions)) {
		named := d.versions[model]
		if len(named) > 0 && named[len(named)-1].Version >= versions[model] {
			continue
		}
		seenAt := now
		if len(named) == 0 {
			seenAt = now.Add(-d.options.VersionHeadStart)
		}
		named = append(named, relay.NamedVersion{Version: versions[model], SeenAt: seenAt})
		d.versions[model] = named[max(len(named)-keptVersions, 0):]
		d.options.Log.WithFields(logrus.Fields{"model": model, "version": versions[model]}).Info("A version of weights is named.")
		changed = true
	}
	return changed
}

// applyListed takes in the list of back ends.
func (d *Directory) applyListed(got message) {
	listed := got.listed
	if !d.freshness[TableBackends].admit(got.began, got.ended, listed.Reading) {
		d.options.Log.WithField("store_version", listed.Version).Warn("An outdated list of back ends is passed over.")
		return
	}
	if listed.Malformed != nil {
		d.options.Log.WithError(listed.Malformed).Error("Some back ends cannot be read.")
	}
	change := d.options.Pool.Update(listed.Backends)
	d.listed.Store(true)
	if len(change.Added)+len(change.Removed)+len(change.Draining) == 0 {
		return
	}
	d.options.Log.WithFields(logrus.Fields{
		"added": change.Added, "removed": change.Removed, "draining": change.Draining, "store_version": listed.Version,
	}).Info("The list of back ends changed.")
}

// Targets returns the newest named version of each model, for the roll-out.
func (d *Directory) Targets() map[identity.ModelName]uint64 {
	targets := map[identity.ModelName]uint64{}
	state := d.state.Load()
	if state == nil {
		return targets
	}
	for model := range state.Versions {
		targets[model] = state.NewestVersion(model)
	}
	return targets
}

// PromptStoreAddress is where the store of prompt caches is; empty when there is none.
func (d *Directory) PromptStoreAddress() string {
	state := d.state.Load()
	if state == nil || state.Table.PromptStore() == nil {
		return ""
	}
	return state.Table.PromptStore().Address
}
