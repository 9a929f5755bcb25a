package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/relay"
)

// Times and numbers of asking other daemons.
const (
	// askTimeout bounds one question: the answer of a few dozen kilobytes takes some
	// 40 ms on the slowest links, and the asked daemon may wait for it itself.
	askTimeout = 500 * time.Millisecond
	// serveWait is how long an asked daemon waits for what the asker lacks.
	serveWait  = 250 * time.Millisecond
	serveCheck = 10 * time.Millisecond
	// askedAtOnce is how many daemons a starting one asks at the same time.
	askedAtOnce = 2
	// askPause lies between two rounds of questions.
	askPause = 60 * time.Millisecond
	// A starting daemon reads the store itself after a drawn time of up to joinSpread and
	// joinPerDaemon times the number of daemons, longestJoin at most: where all start at
	// once, one of them is first, and the others hear of it and ask it.
	joinSpread    = 50 * time.Millisecond
	joinPerDaemon = 20 * time.Millisecond
	longestJoin   = 1500 * time.Millisecond
	// joinExtension is how much longer it waits once it has heard of a daemon that reads.
	joinExtension = time.Second
	// otherAsks is how many other daemons are asked where those that surely know are busy.
	otherAsks = 4
	// treeWidth is how many daemons ask the same one for a new configuration, so that a
	// slow link carries no more.
	treeWidth = 8
)

// Have says what an asker has, and what it needs to be told at least.
type Have struct {
	// RowVersion is of the configuration that the asker has; NeedRowVersion is what it
	// has heard of.
	RowVersion, NeedRowVersion uint64
	// BackendsTo is up to where the asker knows the list of back ends, and NeedBackendsTo
	// up to where it has heard of changes.
	BackendsTo, NeedBackendsTo uint64
}

// Snapshot is what a daemon believes.
type Snapshot struct {
	// Complete is false while the daemon doesn't know a configuration or the back ends;
	// nothing else is told then.
	Complete bool
	// ClockLeast and ClockMost bound what the store's clock shows now.
	ClockLeast, ClockMost time.Duration
	// Confirmed is a time of the store's clock at which the configuration was the newest.
	Confirmed time.Duration
	// StoreVersion is the store's version up to which changes of what is declared are
	// known, and RowVersion the version of the configuration's row.
	StoreVersion, RowVersion uint64
	// Configuration is nil where the asker has it.
	Configuration *routing.Configuration
	Versions      []Seen
	// BackendsTo is up to where the list is known; without a change for the asker,
	// Backends is left out.
	BackendsTo   uint64
	HasBackends  bool
	Backends     []backendpool.Backend
	MembersTo    uint64
	Members      []string
	MemberDigest listDigest
}

// shownLists are the lists that other daemons may be given.
type shownLists struct {
	backendsTo uint64
	backends   []backendpool.Backend
	membersTo  uint64
	members    []string
	digest     listDigest
	// clock is of the goroutine of Run.
	clock freshness
}

// showBackends lets other daemons see the list as it is now, given as a whole if it
// changed.
func (d *Directory) showBackends(changed []backendpool.Backend) {
	shown := *d.shown.Load()
	shown.backendsTo = d.positions[tableBackends].Load()
	if changed != nil {
		shown.backends = changed
	}
	d.shown.Store(&shown)
}

// showRest lets other daemons see the members and the clock.
func (d *Directory) showRest() {
	shown := *d.shown.Load()
	shown.membersTo = d.positions[tableMembers].Load()
	shown.members = d.members.all()
	shown.digest = d.members.digest
	shown.clock = *d.freshness[tableDeclared]
	d.shown.Store(&shown)
}

// Snapshot returns what this daemon believes, as far as an asker lacks it. It waits a
// moment for what the asker needs. It is safe for use by several goroutines.
func (d *Directory) Snapshot(ctx context.Context, have Have) Snapshot {
	until := time.Now().Add(serveWait)
	for !d.satisfies(have) && time.Now().Before(until) && ctx.Err() == nil {
		pause.For(ctx, serveCheck)
	}
	state, shown := d.state.Load(), d.shown.Load()
	if state == nil || !d.listed.Load() {
		return Snapshot{}
	}
	now := time.Now()
	snapshot := Snapshot{
		Complete:     true,
		ClockLeast:   shown.clock.storeTime(now),
		ClockMost:    shown.clock.most(now),
		Confirmed:    shown.clock.storeTime(d.ConfirmedAt()),
		StoreVersion: d.positions[tableDeclared].Load(),
		RowVersion:   state.RowVersion,
		Versions:     allSeen(state),
		BackendsTo:   shown.backendsTo,
		MembersTo:    shown.membersTo,
		Members:      shown.members,
		MemberDigest: shown.digest,
	}
	if state.RowVersion != have.RowVersion {
		snapshot.Configuration = state.Table.Configuration()
	}
	if shown.backendsTo != have.BackendsTo || have.NeedBackendsTo > 0 {
		snapshot.HasBackends = true
		snapshot.Backends = shown.backends
	}
	return snapshot
}

// satisfies tells whether this daemon has what an asker needs.
func (d *Directory) satisfies(have Have) bool {
	state := d.state.Load()
	if state == nil || !d.listed.Load() {
		return have.NeedRowVersion == 0 && have.NeedBackendsTo == 0
	}
	return state.RowVersion >= have.NeedRowVersion && d.shown.Load().backendsTo >= have.NeedBackendsTo
}

// adoption is a snapshot with when it was asked for and answered.
type adoption struct {
	from            string
	asked, answered time.Time
	snapshot        Snapshot
	// done is closed once it has been taken in; nil tells nobody.
	done chan struct{}
}

// adopt takes in what another daemon believes. Nothing that this daemon knows is
// replaced by something older.
func (d *Directory) adopt(got *adoption) {
	if got.done != nil {
		defer close(got.done)
	}
	snapshot := got.snapshot
	d.freshness[tableDeclared].adopt(got.asked, got.answered, snapshot.ClockLeast, snapshot.ClockMost)
	d.adoptDeclared(got)
	d.adoptBackends(&snapshot)
	d.learnMembers(snapshot.Members)
	if d.members.digest == snapshot.MemberDigest {
		advance(d.positions[tableMembers], snapshot.MembersTo)
	}
	d.showRest()
	d.options.Log.WithFields(logrus.Fields{
		"from": got.from, "store_version": snapshot.StoreVersion, "back_ends": len(snapshot.Backends),
		"daemons": len(snapshot.Members), "configuration_age_ms": time.Since(d.ConfirmedAt()).Milliseconds(),
	}).Info("Another daemon's belief was taken in.")
}

// adoptDeclared takes in the configuration and the versions of weights.
func (d *Directory) adoptDeclared(got *adoption) {
	snapshot := got.snapshot
	state := d.state.Load()
	known := state != nil && snapshot.RowVersion <= state.RowVersion
	if !known && snapshot.Configuration == nil {
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
	if at, clear := d.freshness[tableDeclared].localTime(snapshot.Confirmed); clear && !at.After(got.answered) {
		d.confirm(at)
		d.turn.adopted(at, got.from)
	}
}

// adoptVersions takes in the named versions of weights, all with the times at which they
// were first seen where this daemon knows none.
func (d *Directory) adoptVersions(got *adoption) {
	news := &DeclaredNews{Clock: got.snapshot.ClockLeast, Versions: got.snapshot.Versions}
	if d.started {
		if d.takeVersions(got.answered, news) && d.state.Load() != nil {
			renewed := *d.state.Load()
			renewed.Versions = d.copyVersions()
			d.state.Store(&renewed)
		}
		return
	}
	for _, seen := range news.Versions {
		found := relay.NamedVersion{Version: seen.Version, SeenAt: got.asked.Add(-d.options.VersionHeadStart), Guessed: true}
		if at, known := d.freshness[tableDeclared].localTime(seen.StoreClock); known {
			found = relay.NamedVersion{Version: seen.Version, SeenAt: at, StoreClock: seen.StoreClock}
		}
		d.nameVersion(got.answered, seen.Model, found)
	}
}

// adoptBackends takes in the list of back ends.
func (d *Directory) adoptBackends(snapshot *Snapshot) {
	position := d.positions[tableBackends]
	if !snapshot.HasBackends || (d.listed.Load() && snapshot.BackendsTo < position.Load()) {
		return
	}
	changed, gone := d.backends.difference(snapshot.Backends)
	d.alter(changed, gone)
	advance(position, snapshot.BackendsTo)
	d.updatePool(snapshot.BackendsTo)
	d.listed.Store(true)
}

// lag is what this daemon lacks of a table, and who told so.
type lag struct {
	from  string
	table table
	need  Have
}

// fallBehind has another daemon asked for what this one lacks.
func (d *Directory) fallBehind(lacking lag) {
	d.lag.Store(&lacking)
	select {
	case d.behind <- struct{}{}:
	default:
	}
}

// Noticed tells of a daemon that is alive, which one that knows nothing yet can ask.
func (d *Directory) Noticed(address string) {
	if !d.Complete() {
		d.fallBehind(lag{from: address})
	}
}

// catchUp asks other daemons whenever this one has fallen behind, and reads the store
// itself where none of them helps.
func (d *Directory) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-d.behind:
		}
		lacking := d.lag.Load()
		if !d.askInTurn(ctx, lacking) && d.Complete() && lacking.table != "" {
			d.turn.want(lacking.table)
		}
		pause.For(ctx, askPause)
	}
}

// askInTurn asks the daemon whose turn it is to tell this one, then the one that is known
// to have what is lacking, and then any others: the first ones may be busy with many. It
// returns true when this daemon lacks it no longer.
func (d *Directory) askInTurn(ctx context.Context, lacking *lag) bool {
	if d.options.Peers == nil {
		return false
	}
	asked := []string{lacking.from}
	if parent := d.treeParent(lacking.from); parent != lacking.from && d.Complete() {
		asked = []string{parent, lacking.from}
	}
	if others := d.options.Others(); len(others) > 0 {
		for range otherAsks {
			asked = append(asked, others[rand.IntN(len(others))])
		}
	}
	for round, address := range asked {
		if round > 0 {
			pause.For(ctx, rand.N(2*askPause))
		}
		if (round > 0 && d.caughtUp(lacking)) || d.ask(ctx, address, lacking.need) {
			return true
		}
	}
	return false
}

// caughtUp tells whether bulletins have told meanwhile what was lacking.
func (d *Directory) caughtUp(lacking *lag) bool {
	if !d.Complete() {
		return false
	}
	switch lacking.table {
	case tableDeclared:
		return d.state.Load().RowVersion >= lacking.need.NeedRowVersion
	case tableBackends:
		return d.positions[tableBackends].Load() >= lacking.need.NeedBackendsTo
	default:
		return false
	}
}

// treeParent is whom this daemon asks for news of a reader: the daemons form a tree below
// it, so that each is asked by few.
func (d *Directory) treeParent(reader string) string {
	others := slices.DeleteFunc(slices.Clone(d.options.Others()), func(address string) bool { return address == reader })
	all := append(others, d.options.Self)
	ranked := rendezvous.Top(rendezvous.Key(reader), all, len(all))
	at := slices.Index(ranked, d.options.Self)
	if at < treeWidth {
		return reader
	}
	return ranked[at/treeWidth-1]
}

// ask takes in what one daemon believes. It returns true when that is what this daemon
// needs.
func (d *Directory) ask(ctx context.Context, address string, need Have) bool {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	have := d.have()
	have.NeedRowVersion, have.NeedBackendsTo = need.NeedRowVersion, need.NeedBackendsTo
	asked := time.Now()
	snapshot, err := d.options.Peers.Snapshot(bounded, address, have)
	if err != nil || !snapshot.Complete {
		return false
	}
	if need == (Have{}) && d.Complete() && have == (Have{}) {
		return true // another one has answered before
	}
	done := make(chan struct{})
	d.post(ctx, message{adopted: &adoption{from: address, asked: asked, answered: time.Now(), snapshot: snapshot, done: done}})
	select {
	case <-done:
	case <-ctx.Done():
		return false
	}
	return snapshot.RowVersion >= need.NeedRowVersion && snapshot.BackendsTo >= need.NeedBackendsTo
}

func (d *Directory) have() Have {
	var have Have
	if state := d.state.Load(); state != nil {
		have.RowVersion = state.RowVersion
	}
	if d.listed.Load() {
		have.BackendsTo = d.positions[tableBackends].Load()
	}
	return have
}

// join finds other daemons at the start, and takes over what they believe. A daemon that
// finds none that knows more reads the store itself.
func (d *Directory) join(ctx context.Context) {
	defer d.turn.open()
	if d.options.Contacts == nil {
		return
	}
	retries := d.newRetrying()
	retries.spread = joinFailurePause
	for ctx.Err() == nil {
		contacts, about, err := d.options.Contacts.Find(ctx)
		if err == nil {
			d.askUntil(ctx, contacts, time.Now().Add(joinDelay(len(contacts), about)))
			return
		}
		retries.after(ctx, err)
		if d.Complete() {
			d.turn.open()
		}
	}
}

// joinDelay is how long a starting daemon asks others before it reads the store.
func joinDelay(contacts, about int) time.Duration {
	if contacts == 0 {
		return rand.N(joinSpread)
	}
	return rand.N(min(joinSpread+time.Duration(about)*joinPerDaemon, longestJoin))
}

// askUntil asks daemons, a few at a time, until this one knows what they believe, or
// until a time. It waits longer once another daemon has told what it reads.
func (d *Directory) askUntil(ctx context.Context, contacts []string, until time.Time) {
	extended := false
	for ctx.Err() == nil && !d.Complete() {
		if waited := d.waited.Load(); waited != nil && time.Since(*waited) < joinExtension+d.options.Interval {
			pause.For(ctx, askPause) // there is nothing to ask for yet
			continue
		}
		if told := d.lag.Load(); told != nil && told.from != "" && !extended {
			extended = true
			until = until.Add(joinExtension)
			contacts = append(contacts, told.from)
		}
		if !time.Now().Before(until) {
			return
		}
		rand.Shuffle(len(contacts), func(left, right int) { contacts[left], contacts[right] = contacts[right], contacts[left] })
		if d.askAny(ctx, contacts[:min(askedAtOnce, len(contacts))]) {
			return
		}
		pause.For(ctx, min(askPause, time.Until(until)))
	}
}

// askAny asks daemons at the same time. It returns true as soon as one told what it
// believes.
func (d *Directory) askAny(ctx context.Context, addresses []string) bool {
	told := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { told <- d.ask(ctx, address, Have{}) }()
	}
	for range addresses {
		if <-told {
			return true
		}
	}
	return false
}
