package directory

import (
	"cmp"
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/member"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/crashwatch"
	"github.com/lotusward/lotusward/internal/pause"
)

// Timing of answers to other daemons.
const (
	// serveWait is how long an asked daemon waits for data that it doesn't have yet, checking every serveCheck.
	serveWait  = 250 * time.Millisecond
	serveCheck = 10 * time.Millisecond
)

// Have describes what an asking daemon has, and what it needs at least.
type Have struct {
	// RowVersion is the version of the asker's configuration; NeedRowVersion is the newest one it has heard of.
	RowVersion, NeedRowVersion uint64
	// BackendsTo is the version up to which the asker knows the list of back ends, and NeedBackendsTo the one up to
	// which it has heard of changes.
	BackendsTo, NeedBackendsTo uint64
	// MembersTo is the version up to which the asker knows the daemons. Requests for a Snapshot don't carry it.
	MembersTo uint64
}

// Snapshot is the data of a daemon.
type Snapshot struct {
	// Complete is false while the daemon lacks a configuration or the back ends; the other fields are not set then.
	Complete bool
	// ClockLeast and ClockMost bound the store's present clock.
	ClockLeast, ClockMost time.Duration
	// Confirmed is a time of the store's clock at which the configuration was the newest.
	Confirmed time.Duration
	// StoreVersion is the store's version up to which changes of what operators declared are known, and RowVersion
	// the version of the configuration's row.
	StoreVersion, RowVersion uint64
	// Configuration is nil if the asker has it.
	Configuration *routing.Configuration
	Versions      []SeenVersion
	// Software is nil if the daemon doesn't support software versions.
	Software *SoftwareNews `msgpack:",omitempty"`
	// BackendsTo is the version up to which the list is known. Backends is omitted if nothing changed for the
	// asker.
	BackendsTo   uint64
	HasBackends  bool
	Backends     []backendpool.Backend
	MembersTo    uint64
	Members      []member.Descriptor
	MemberDigest listDigest
	// Crashes are the evidence against quarantined requests.
	Crashes []crashwatch.Evidence
}

// Quarantine holds the evidence against quarantined requests, which is part of each snapshot.
type Quarantine interface {
	Quarantined() []crashwatch.Evidence
	Adopt(source string, told []crashwatch.Evidence)
}

// publishedLists are the lists that other daemons may be given.
type publishedLists struct {
	backendsTo uint64
	membersTo  uint64
	members    []member.Descriptor
	digest     listDigest
	software   *SoftwareNews
	// clock is a copy of the freshness that the goroutine of Run owns.
	clock freshness
}

// publishBackendPosition publishes the position of the list of back ends for snapshots.
func (d *Directory) publishBackendPosition() {
	shown := *d.published.Load()
	shown.backendsTo = d.positions[tableBackends].Load()
	d.published.Store(&shown)
}

// publishMembersAndClock publishes the members and the clock for snapshots.
func (d *Directory) publishMembersAndClock() {
	shown := *d.published.Load()
	shown.membersTo = d.positions[tableMembers].Load()
	shown.members = d.members.all()
	shown.digest = d.members.digest
	shown.clock = *d.freshness[tableDeclared]
	d.published.Store(&shown)
}

// Snapshot returns the data that an asker lacks, and waits up to serveWait for what it needs. It serves builds that
// don't support Update. It is safe for use by several goroutines.
func (d *Directory) Snapshot(ctx context.Context, have Have) Snapshot {
	snapshot, complete := d.snapshot(ctx, have)
	if !complete || (snapshot.BackendsTo == have.BackendsTo && have.NeedBackendsTo == 0) {
		return snapshot
	}
	list, answered := d.askList(ctx, nil)
	if !answered {
		return Snapshot{}
	}
	snapshot.HasBackends, snapshot.Backends, snapshot.BackendsTo = true, list.changed, list.to
	return snapshot
}

// snapshot returns this daemon's data without the list of back ends; false before it is complete.
func (d *Directory) snapshot(ctx context.Context, have Have) (Snapshot, bool) {
	until := clock.Now().Add(serveWait)
	for !d.satisfies(have) && clock.Now().Before(until) && ctx.Err() == nil {
		pause.For(ctx, serveCheck)
	}
	confirmed := d.ConfirmedAt() // read before the data that it confirms
	state, shown := d.state.Load(), d.published.Load()
	if state == nil || !d.listed.Load() {
		return Snapshot{}, false
	}
	now := clock.Now()
	snapshot := Snapshot{
		Complete:     true,
		ClockLeast:   shown.clock.storeTime(now),
		ClockMost:    shown.clock.maxAt(now),
		Confirmed:    shown.clock.storeTime(confirmed),
		StoreVersion: d.positions[tableDeclared].Load(),
		RowVersion:   state.RowVersion,
		Versions:     seenVersions(state),
		BackendsTo:   shown.backendsTo,
		MembersTo:    shown.membersTo,
		MemberDigest: shown.digest,
		Software:     shown.software,
	}
	if have.MembersTo == 0 || have.MembersTo != shown.membersTo {
		snapshot.Members = shown.members
	}
	if d.options.Quarantine != nil {
		snapshot.Crashes = d.options.Quarantine.Quarantined()
	}
	if state.RowVersion != have.RowVersion {
		snapshot.Configuration = state.Table.Configuration()
	}
	return snapshot, true
}

// satisfies reports whether this daemon has what an asker needs.
func (d *Directory) satisfies(have Have) bool {
	state := d.state.Load()
	if state == nil || !d.listed.Load() {
		return have.NeedRowVersion == 0 && have.NeedBackendsTo == 0
	}
	return state.RowVersion >= have.NeedRowVersion && d.published.Load().backendsTo >= have.NeedBackendsTo
}

// adoption is a snapshot with the times of its request and answer.
type adoption struct {
	from            string
	asked, answered time.Time
	snapshot        Snapshot
	// list holds the back ends from an update; nil if there were none.
	list *listDelta
	// done is closed once the snapshot was applied; may be nil.
	done chan struct{}
}

// adopt applies another daemon's snapshot. It never replaces local data by older data.
func (d *Directory) adopt(got *adoption) {
	if got.done != nil {
		defer close(got.done)
	}
	snapshot := got.snapshot
	if d.options.Quarantine != nil {
		d.options.Quarantine.Adopt(got.from, snapshot.Crashes)
	}
	d.freshness[tableDeclared].adopt(got.asked, got.answered, snapshot.StoreVersion, snapshot.ClockLeast, snapshot.ClockMost)
	d.mergeSoftware(snapshot.Software, snapshot.StoreVersion)
	d.adoptDeclared(got)
	list := cmp.Or(got.list, deltaOfSnapshot(&snapshot))
	d.adoptBackends(list)
	d.mergeMembers(snapshot.Members, snapshot.MembersTo)
	if d.members.digest == snapshot.MemberDigest {
		advance(d.positions[tableMembers], snapshot.MembersTo)
	}
	d.publishMembersAndClock()
	d.options.Log.WithFields(logrus.Fields{
		"from": got.from, "store_version": snapshot.StoreVersion, "back_ends": list.size(),
		"daemons": len(snapshot.Members), "configuration_age_ms": clock.Since(d.ConfirmedAt()).Milliseconds(),
	}).Info("Another daemon's belief was taken in.")
}

// adoptDeclared applies the configuration and the versions of weights.
func (d *Directory) adoptDeclared(got *adoption) {
	snapshot := got.snapshot
	state := d.state.Load()
	known := state != nil && snapshot.RowVersion <= state.RowVersion
	if !known && (snapshot.Configuration == nil || (state != nil && !supersedes(snapshot.Configuration, snapshot.RowVersion, state))) {
		return
	}
	if known && snapshot.RowVersion < state.RowVersion {
		return
	}
	d.adoptVersions(got)
	if !known {
		d.publish(&Declared{
			Reading: Reading{Version: snapshot.StoreVersion}, RowVersion: snapshot.RowVersion, Configuration: snapshot.Configuration,
		})
	}
	d.started = true
	advance(d.positions[tableDeclared], snapshot.StoreVersion)
	if !d.confirmsSoftware(snapshot.Software) {
		return
	}
	if at, clear := d.freshness[tableDeclared].localTime(snapshot.Confirmed); clear && !at.After(got.answered) {
		d.confirm(at)
		d.role.adopted(at, got.from)
	}
}

// adoptVersions applies the named versions of weights. Before the first read, a version without a reported time
// gets this daemon's guess.
func (d *Directory) adoptVersions(got *adoption) {
	news := &DeclaredNews{Clock: got.snapshot.ClockLeast, Versions: got.snapshot.Versions}
	if d.started {
		if d.mergeVersions(got.answered, news) {
			d.publishVersions()
		}
		return
	}
	for _, seen := range news.Versions {
		d.nameVersion(got.answered, seen.Model, d.namedAsReported(got.answered, seen, d.guessedNaming(seen.Version)))
	}
}
