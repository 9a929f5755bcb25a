package directory

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// Limits on the size of one bulletin.
const (
	// maxLoggedBatches is how many batches of changes a bulletin repeats, so that a lost bulletin needs no
	// recovery.
	maxLoggedBatches   = 3
	maxBulletinChanges = 48
	// maxChangePages is the largest number of bulletins into which a batch of changes is split. For a larger batch
	// only the version is sent, and receivers ask for the changes: dozens of datagrams to hundreds of daemons at
	// once would saturate a link.
	maxChangePages = 8
)

// Bulletin is sent by a daemon that reads the store to the others. It carries what was just read and the store's
// clock at that moment. Exactly one of the fields is set.
type Bulletin struct {
	Declared *DeclaredNews
	Backends *BackendNews
	Members  *MemberNews
	// Trying is set if the sender's calls to the store fail.
	Trying bool
}

// DeclaredNews describes what operators had declared at a moment.
type DeclaredNews struct {
	// Clock is the store's clock at a moment at which this was the newest declaration.
	Clock time.Duration
	// StoreVersion is the store's version at that moment.
	StoreVersion uint64
	// RowVersion is the store's version of the configuration's row; zero if there is no configuration yet.
	RowVersion uint64
	// Versions are the remembered named versions of the models' weights, oldest first. The StoreClock of a guessed
	// one is zero.
	Versions []SeenVersion
	// Software is nil if the sender doesn't support software versions.
	Software *SoftwareNews `msgpack:",omitempty"`
}

// BackendNews describes how the list of back ends changed up to a version of the store.
type BackendNews struct {
	// To is the store's version after all the changes.
	To      uint64
	Changed []backendpool.Backend
	Gone    []identity.BackendName
	// Digest covers the whole list at that version. Changes that were undone between two reads of the sender are
	// not included, so a receiver that has an intermediate state of the list detects that by the digest.
	Digest listDigest
}

// batch holds the changes found by one read of the store.
type batch struct {
	changed []backendpool.Backend
	gone    []identity.BackendName
}

func (b *batch) size() int { return len(b.changed) + len(b.gone) }

// changePage is part of a batch, with the version of the store that its changes lead to.
type changePage struct {
	batch
	to uint64
}

// pagesOf splits a batch into pages that fit into one bulletin each. Pages before the last one get versions between
// from and to, of which there are enough: each change has a store version of its own.
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

// cut splits a list after at most count elements.
func cut[Element any](list []Element, count int) (first, rest []Element) {
	count = min(count, len(list))
	return list[:count:count], list[count:]
}

// changeLog keeps the latest changes of the list for bulletins. The zero value is an empty log.
type changeLog struct {
	batches []batch
	// last is the store's version after the newest batch.
	last uint64
}

// note adds a batch that leads from one version to another. If it doesn't start at the log's last version, the log
// is reset first.
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

// news returns the merged log as a bulletin for a list with the given digest.
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

// ReceiveBulletin queues a bulletin from another daemon. It never blocks: if the queue is full, the bulletin is
// dropped.
func (d *Directory) ReceiveBulletin(from string, bulletin Bulletin) {
	select {
	case d.bulletins <- heardBulletin{from: from, bulletin: bulletin}:
	default:
	}
}

// broadcastDeclared sends what operators have declared, as of a time of the store's clock, if this daemon is the
// reader.
func (d *Directory) broadcastDeclared(now time.Time, clock time.Duration) {
	if !d.role.noteOwnNews(now) || clock == 0 {
		return
	}
	state := d.state.Load()
	d.lastDeclared, d.lastDeclaredMembers = &DeclaredNews{
		Clock: clock, StoreVersion: d.positions[tableDeclared].Load(), RowVersion: state.RowVersion, Versions: seenVersions(state),
		Software: d.softwareNews(),
	}, len(d.members.known)
	d.options.Broadcast(Bulletin{Declared: d.lastDeclared})
}

// broadcastNothingDeclared announces that this daemon is the reader while operators have declared nothing yet.
func (d *Directory) broadcastNothingDeclared(now time.Time, clock time.Duration) {
	if d.role.noteOwnNews(now) {
		d.options.Broadcast(Bulletin{Declared: &DeclaredNews{Clock: clock}})
	}
}

// broadcastTrying announces, at most once per interval, that this daemon's calls to the store fail.
func (d *Directory) broadcastTrying(now time.Time) {
	if d.options.Broadcast == nil || !d.role.isReader() || now.Sub(d.tryingSentAt) < d.options.Interval {
		return
	}
	d.tryingSentAt = now
	d.options.Broadcast(Bulletin{Trying: true})
}

// broadcastBackends sends the latest changes of the list, if this daemon is the reader.
func (d *Directory) broadcastBackends(got message) {
	reads := d.role.isReader() && d.options.Broadcast != nil
	if got.applied == nil { // a refresh makes no daemon read the table regularly
		reads = d.role.noteOwnRead(got.ended, tableBackends)
	}
	if reads {
		d.options.Broadcast(Bulletin{Backends: d.changeLog.news(d.backends.digest)})
	}
}

// rebroadcast repeats the latest changes of the list, since datagrams may be lost, and periodically announces the
// version of the list.
func (d *Directory) rebroadcast(now time.Time) {
	if !d.listed.Load() || !d.role.isReader() || d.options.Broadcast == nil {
		return
	}
	mark := d.previousList
	d.previousList = BackendNews{To: d.positions[tableBackends].Load(), Digest: d.backends.digest}
	if d.versionDue(now, mark.To) {
		d.versionSentAt, d.sentVersion = now, mark.To
		d.options.Broadcast(Bulletin{Backends: &mark})
		return
	}
	if d.repeats > 0 {
		d.repeats--
		d.options.Broadcast(Bulletin{Backends: d.changeLog.news(d.backends.digest)})
	}
}

// versionDue reports whether the version of the list is to be sent without its changes. Daemons that missed the
// changes, or whose build can't read them, learn from it that they have to ask or read. It is the version of the
// previous repeat: sent ahead of its changes, it would make all daemons ask.
func (d *Directory) versionDue(now time.Time, version uint64) bool {
	since := now.Sub(d.versionSentAt)
	return version > 0 && (since >= versionInterval || (version > d.sentVersion && since >= changedVersionInterval))
}

// applyBulletin applies a bulletin from another daemon.
func (d *Directory) applyBulletin(now time.Time, heard heardBulletin) {
	if heard.bulletin.Trying {
		d.role.noteFailedTry(now)
		return
	}
	news := heard.bulletin.Declared
	if news != nil && news.RowVersion == 0 && d.state.Load() == nil {
		d.role.noteNewsFrom(now, now, heard.from)
		d.nothingDeclaredAt.Store(&now)
		return
	}
	if !d.Complete() {
		if news != nil {
			d.contacts.noteReader(now, heard.from)
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

// mergeDeclaredNews applies what operators have declared according to another daemon. If this daemon doesn't have
// that configuration, it asks for it. It also asks if the store was restored from a backup: the store's clock may
// have changed, and only an answer to a request bounds it. Orders and standings are applied before anything is
// confirmed.
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
	case !known || news.RowVersion < state.RowVersion || !d.confirmsSoftware(news.Software):
		return
	case at.After(now):
		// A time in the future shows that the store's clock was last read from an outdated answer.
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

// noteNews records that another daemon had read the store at a time. A delayed bulletin only counts as news of that
// time.
func (d *Directory) noteNews(now, at time.Time, from string) {
	if d.role.noteNewsFrom(now, at, from) {
		d.options.Log.WithField("reader", from).Info("Another daemon reads the store for all.")
	}
}

// mergeVersions records named versions from a bulletin. It returns true if any was unknown, or replaced a guess.
func (d *Directory) mergeVersions(now time.Time, news *DeclaredNews) bool {
	changed := false
	for _, seen := range news.Versions {
		changed = d.nameVersion(now, seen.Model, d.namedAsReported(now, seen, d.namedSinceConfirmed(seen.Version))) || changed
	}
	return d.replaceGuesses(now, news.Versions) || changed
}

// mergeBackendNews applies changes of the list. If they don't lead from the local list to the sender's, it asks for
// the list.
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
