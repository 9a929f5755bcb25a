package directory

import (
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// applyListed applies the list of back ends. A list older than the known changes is ignored: it would undo them
// until they are read again.
func (d *Directory) applyListed(got message) {
	listed := got.listed
	position := d.positions[tableBackends]
	fresh := d.freshness[tableBackends].admit(got.began, got.ended, listed.Reading)
	if !fresh || listed.Version < position.Load() {
		d.options.Log.WithFields(logrus.Fields{"store_version": listed.Version, "known_to": position.Load()}).
			Warn("An outdated list of back ends is passed over.")
		return
	}
	d.logMalformed(d.malformed.noteAll(tableBackends, listed.Malformed), "Some back ends cannot be read.")
	changed, gone := d.backends.difference(listOfAll(listed.Backends))
	d.changeLog.note(position.Load(), listed.Version, backendsOf(changed), gone)
	d.advanceList(listed.Version)
	d.applyListChange(changed, gone, listed.Version)
	d.listed.Store(true)
	d.repeats = bulletinRepeats
	d.broadcastBackends(got)
}

// applyChanges applies changes of the list since it was read. Changes no newer than the known position came from
// another daemon meanwhile.
func (d *Directory) applyChanges(got message) {
	changes := got.changes
	d.clockSamples.note(changes.Reading)
	d.logMalformed(d.malformed.noteChanged(tableBackends, changes.Malformed), "Some back ends cannot be read.")
	position := d.positions[tableBackends]
	if changes.Last > position.Load() {
		changed := backendsOf(d.backends.differing(changes.Changed))
		// What is left out here is known up to the position, not merely since the call began: other daemons must
		// not treat the remaining changes as complete since then.
		d.applyPages(got, pagesOf(batch{changed: changed, gone: changes.Gone}, position.Load(), changes.Last))
		return
	}
	d.broadcastBackends(got)
}

// applyPages applies and broadcasts changes, page by page.
func (d *Directory) applyPages(got message, pages []changePage) {
	for _, page := range pages {
		d.changeLog.note(d.positions[tableBackends].Load(), page.to, page.changed, page.gone)
		d.change(page.changed, page.gone, page.to)
		d.repeats = 0
		if len(pages) == 1 {
			d.repeats = bulletinRepeats
		}
		d.broadcastBackends(got)
	}
}

// change applies changes up to a version of the store.
func (d *Directory) change(changed []backendpool.Backend, gone []identity.BackendName, to uint64) {
	d.changeListed(digested(changed), gone, to)
}

// changeListed applies changes, with their digests, up to a version of the store.
func (d *Directory) changeListed(changed []listedBackend, gone []identity.BackendName, to uint64) {
	d.advanceList(to)
	d.applyListChange(changed, gone, to)
}

// advanceList advances the position of the list. A store restored from a backup may list draining back ends as not
// draining: the pool keeps those draining.
func (d *Directory) advanceList(to uint64) {
	position := d.positions[tableBackends]
	before := position.Load()
	advance(position, to)
	if before == 0 || port.EraOf(to) == port.EraOf(before) {
		return
	}
	d.options.Pool.PinDraining(clock.Now())
	d.options.Log.WithFields(logrus.Fields{"era": port.EraOf(to), "store_version": port.VersionOf(to), "known_to": port.VersionOf(before)}).
		Warn("The store has come back from a copy; its list of back ends is taken over.")
}

// maxLoggedIDs is how many back ends one log line names.
const maxLoggedIDs = 16

// applyListChange applies changes to the local list and to the pool.
func (d *Directory) applyListChange(changed []listedBackend, gone []identity.BackendName, to uint64) {
	ended := d.backends.applyChange(changed, gone, to)
	if !d.listed.Load() {
		d.backends.history.begin(to)
	}
	d.publishBackendPosition()
	change := d.options.Pool.Apply(backendsOf(changed), ended)
	if len(change.Added)+len(change.Removed)+len(change.Draining) == 0 {
		return
	}
	d.options.Log.WithFields(logrus.Fields{
		"added": firstOf(change.Added), "added_count": len(change.Added),
		"removed": firstOf(change.Removed), "removed_count": len(change.Removed),
		"draining": firstOf(change.Draining), "draining_count": len(change.Draining), "store_version": to,
	}).Info("The list of back ends changed.")
}

func firstOf(ids []identity.BackendID) []identity.BackendID { return ids[:min(len(ids), maxLoggedIDs)] }
