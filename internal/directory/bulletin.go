package directory

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// Bounds of what one bulletin tells of back ends.
const (
	// maxLoggedBatches is how many readings of changes a bulletin repeats, so that a lost
	// one costs nothing.
	maxLoggedBatches   = 3
	maxBulletinChanges = 48
	// maxChangePages is into how many bulletins a reading with more changes is cut. Of more still only the version is told, and
	// who hears of it asks for what changed: dozens of datagrams to hundreds of daemons at once fill a link.
	maxChangePages = 8
)

// Bulletin is what a daemon that reads the store tells the others: what it has
// just read, and of which moment that is by the store's own clock. One of the
// parts is set.
type Bulletin struct {
	Declared *DeclaredNews
	Backends *BackendNews
	Members  *MemberNews
	// Trying says that the sender's calls of the store fail.
	Trying bool
}

// DeclaredNews says what operators had declared at a moment.
type DeclaredNews struct {
	// Clock is what the store's clock showed at a moment at which this was the newest.
	Clock time.Duration
	// StoreVersion is the store's version then.
	StoreVersion uint64
	// RowVersion is the store's version of the configuration's row; zero tells that there
	// is no configuration yet.
	RowVersion uint64
	// Versions are the remembered named versions of the models' weights, oldest first.
	// Their times are zero where they were guessed.
	Versions []SeenVersion
	// Software is nil where the teller doesn't know of software versions.
	Software *SoftwareNews `msgpack:",omitempty"`
}

// BackendNews says how the list of back ends changed up to a version of the store.
type BackendNews struct {
	// To is the version after all the changes.
	To      uint64
	Changed []backendpool.Backend
	Gone    []identity.BackendName
	// Digest is of the whole list at that version. What changed and changed back
	// between two readings of the teller is not among the changes, and a hearer that
	// knows the list of a moment in between finds that out by the digest.
	Digest listDigest
}

// batch is what one reading changed.
type batch struct {
	changed []backendpool.Backend
	gone    []identity.BackendName
}

func (b *batch) size() int { return len(b.changed) + len(b.gone) }

// changePage is changes up to a version of the store.
type changePage struct {
	batch
	to uint64
}

// pagesOf cuts what one reading changed into pages that fit into a bulletin each. The pages before the last one get
// versions of their own between those of the reading: each change is a version of the store.
func pagesOf(read batch, from, to uint64) []changePage {
	count := (read.size() + maxBulletinChanges - 1) / maxBulletinChanges
	if count <= 1 || count > maxChangePages || to-from < uint64(count) {
		return []changePage{{read, to}}
	}
	var pages []changePage
	for index := range count {
		page := changePage{to: from + uint64(index) + 1}
		page.changed, read.changed = cut(read.changed, maxBulletinChanges)
		page.gone, read.gone = cut(read.gone, maxBulletinChanges-len(page.changed))
		pages = append(pages, page)
	}
	pages[count-1].to = to
	return pages
}

// cut returns the first elements of a list, and the others.
func cut[Element any](list []Element, count int) (first, rest []Element) {
	count = min(count, len(list))
	return list[:count:count], list[count:]
}

// changeLog keeps the last changes of the list for bulletins. The zero value knows
// none.
type changeLog struct {
	batches []batch
	// last is the store's version after the newest batch.
	last uint64
}

// note adds what a reading changed between two versions. A reading that doesn't
// follow on the one before it starts the log anew.
func (l *changeLog) note(from, to uint64, changed []backendpool.Backend, gone []identity.BackendName) {
	if from != l.last || l.last == 0 {
		l.batches = nil
	}
	l.last = to
	l.batches = append(l.batches, batch{changed: changed, gone: gone})
	for len(l.batches) > maxLoggedBatches || (len(l.batches) > 1 && l.size() > maxBulletinChanges) {
		l.batches = l.batches[1:]
	}
	if l.size() > maxBulletinChanges {
		l.batches = nil
	}
}

func (l *changeLog) size() int {
	total := 0
	for index := range l.batches {
		total += l.batches[index].size()
	}
	return total
}

// news is what the log tells others of a list with a digest.
func (l *changeLog) news(digest listDigest) *BackendNews {
	var merged Changes
	for _, kept := range l.batches {
		for _, backend := range kept.changed {
			merged.Put(backend)
		}
		for _, name := range kept.gone {
			merged.Remove(name)
		}
	}
	return &BackendNews{To: l.last, Changed: merged.Changed, Gone: merged.Gone, Digest: digest}
}

// ReceiveBulletin takes in what another daemon has read. It never blocks: a bulletin that
// finds no room is dropped.
func (d *Directory) ReceiveBulletin(from string, bulletin Bulletin) {
	select {
	case d.bulletins <- heardBulletin{from: from, bulletin: bulletin}:
	default:
	}
}

// broadcastDeclared tells the others what operators have declared as of a time of the
// store's clock, if this daemon reads for all.
func (d *Directory) broadcastDeclared(now time.Time, clock time.Duration) {
	if !d.role.noteOwnNews(now) || clock == 0 {
		return
	}
	state := d.state.Load()
	d.declaredTold, d.declaredToldTo = &DeclaredNews{
		Clock: clock, StoreVersion: d.positions[tableDeclared].Load(), RowVersion: state.RowVersion, Versions: seenVersions(state),
		Software: d.softwareNews(),
	}, len(d.members.known)
	d.options.Broadcast(Bulletin{Declared: d.declaredTold})
}

// broadcastNothingDeclared tells the others that this daemon reads the store, where operators have
// declared nothing yet.
func (d *Directory) broadcastNothingDeclared(now time.Time, clock time.Duration) {
	if d.role.noteOwnNews(now) {
		d.options.Broadcast(Bulletin{Declared: &DeclaredNews{Clock: clock}})
	}
}

// broadcastTrying tells the others, now and then, that this daemon's calls of the store fail.
func (d *Directory) broadcastTrying(now time.Time) {
	if d.options.Broadcast == nil || !d.role.readsForAll() || now.Sub(d.toldTryingAt) < d.options.Interval {
		return
	}
	d.toldTryingAt = now
	d.options.Broadcast(Bulletin{Trying: true})
}

// broadcastBackends tells the others how the list changed, if this daemon reads for all.
func (d *Directory) broadcastBackends(now time.Time) {
	if d.role.noteOwnRead(now, tableBackends) {
		d.options.Broadcast(Bulletin{Backends: d.changeLog.news(d.backends.digest)})
	}
}

// rebroadcast repeats the last changes of the list, since a datagram may have been lost, and tells from time to time up to
// which version it is known.
func (d *Directory) rebroadcast(now time.Time) {
	if !d.listed.Load() || !d.role.readsForAll() || d.options.Broadcast == nil {
		return
	}
	mark := d.listMark
	d.listMark = BackendNews{To: d.positions[tableBackends].Load(), Digest: d.backends.digest}
	if d.versionDue(now, mark.To) {
		d.versionToldAt, d.versionTold = now, mark.To
		d.options.Broadcast(Bulletin{Backends: &mark})
		return
	}
	if d.repeats > 0 {
		d.repeats--
		d.options.Broadcast(Bulletin{Backends: d.changeLog.news(d.backends.digest)})
	}
}

// versionDue tells whether a version of the list is to be told without its changes. Daemons that missed these, and those
// of builds that can't read them, find out by it that they have to ask or read. It is that of a moment ago: ahead of its
// changes it would have all daemons ask.
func (d *Directory) versionDue(now time.Time, version uint64) bool {
	since := now.Sub(d.versionToldAt)
	return version > 0 && (since >= versionInterval || (version > d.versionTold && since >= changedVersionInterval))
}

// applyBulletin takes in what another daemon has read.
func (d *Directory) applyBulletin(now time.Time, heard heardBulletin) {
	if heard.bulletin.Trying {
		d.role.noteFailedTry(now)
		return
	}
	news := heard.bulletin.Declared
	if news != nil && news.RowVersion == 0 && d.state.Load() == nil {
		d.role.noteNewsFrom(now, now, heard.from)
		d.waited.Store(&now)
		return
	}
	if !d.Complete() {
		if news != nil {
			d.contacts.reads(now, heard.from)
		}
		return
	}
	if news != nil {
		d.mergeDeclaredNews(now, heard.from, news)
	}
	if news := heard.bulletin.Backends; news != nil {
		d.mergeBackendNews(heard.from, news)
	}
	if news := heard.bulletin.Members; news != nil {
		d.mergeMemberNews(heard.from, news)
	}
}

// mergeDeclaredNews takes in what operators have declared. A configuration that this daemon
// doesn't have it asks for, and also where the store has come back from a copy: its clock may be another one then, which
// only an answer bounds. Orders and standings are taken in before anything is confirmed.
func (d *Directory) mergeDeclaredNews(now time.Time, from string, news *DeclaredNews) {
	d.mergeSoftware(news.Software, news.StoreVersion)
	state := d.state.Load()
	if port.EraOf(news.StoreVersion) > port.EraOf(d.positions[tableDeclared].Load()) {
		d.noteNews(now, now, from)
		d.requestMissing(missingData{from: from, table: tableDeclared, need: Have{NeedRowVersion: news.RowVersion}})
		return
	}
	at, known := d.freshness[tableDeclared].localTime(news.Clock)
	switch {
	case !known || news.RowVersion < state.RowVersion || !d.tellsSoftware(news.Software):
		return
	case at.After(now):
		// A time to come shows that the store's clock was last read from an outdated answer.
		d.role.requestRead(tableDeclared)
		return
	}
	d.noteNews(now, at, from)
	if news.RowVersion > state.RowVersion {
		d.requestMissing(missingData{from: from, table: tableDeclared, need: Have{NeedRowVersion: news.RowVersion}})
		return
	}
	if d.mergeVersions(now, news) {
		d.publishVersions()
	}
	advance(d.positions[tableDeclared], news.StoreVersion)
	d.confirm(at)
}

// noteNews notes that another daemon had read the store at a time. A bulletin that was held
// up on the way is news of that time alone.
func (d *Directory) noteNews(now, at time.Time, from string) {
	if d.role.noteNewsFrom(now, at, from) {
		d.options.Log.WithField("reader", from).Info("Another daemon reads the store for all.")
	}
}

// mergeVersions remembers the versions that were told. It returns true when any was
// not known, or was guessed before.
func (d *Directory) mergeVersions(now time.Time, news *DeclaredNews) bool {
	changed := false
	for _, seen := range news.Versions {
		changed = d.nameVersion(now, seen.Model, d.namedAsReported(now, seen, d.namedSinceConfirmed(seen.Version))) || changed
	}
	return d.replaceGuesses(now, news.Versions) || changed
}

// mergeBackendNews takes in how the list changed. Where the changes don't lead from what
// this daemon knows to the teller's list, it asks for the list.
func (d *Directory) mergeBackendNews(from string, news *BackendNews) {
	if !d.listed.Load() || d.positions[tableBackends].Load() >= news.To {
		return
	}
	changed := digested(news.Changed)
	if d.backends.digestAfter(changed, news.Gone) != news.Digest {
		d.requestMissing(missingData{from: from, table: tableBackends, need: Have{NeedBackendsTo: news.To}})
		return
	}
	d.changeListed(changed, news.Gone, news.To)
}
