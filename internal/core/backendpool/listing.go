package backendpool

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// Update replaces the list of back ends. The state of those that remain is kept.
func (p *Pool) Update(backends []Backend) Change {
	return p.changeList(backends, func() []identity.BackendID { return p.unlisted(backends) })
}

// Apply changes the list incrementally: it adds or updates the changed back ends and removes the gone ones. It doesn't
// look at the others, apart from keeping the ordered groups sorted (type group).
func (p *Pool) Apply(changed []Backend, gone []identity.BackendID) Change {
	return p.changeList(changed, func() []identity.BackendID { return gone })
}

// OnListChanged sets the callback for each call of Update and Apply. It gets the back ends of the new list (Update) or
// of the change (Apply), and the IDs to be removed, some of which may not have been listed. It is called without the
// mutex, must be set before the pool is used, and must not block.
func (p *Pool) OnListChanged(callback func(changed []Backend, gone []identity.BackendID)) {
	p.onListChanged = callback
}

// changeList changes the list and invokes the callbacks: one for the change, and those of notifyEnded for each back end
// that was removed or whose address another back end has taken over. It calls removedIDs with the mutex held.
func (p *Pool) changeList(changed []Backend, removedIDs func() []identity.BackendID) Change {
	p.mutex.Lock()
	gone := removedIDs()
	change, ended := p.apply(changed, gone)
	p.mutex.Unlock()
	p.onListChanged(changed, gone)
	for _, each := range ended {
		p.notifyEnded(each)
	}
	return change
}

// unlisted returns the known back ends that a complete list lacks. The caller holds the mutex.
func (p *Pool) unlisted(backends []Backend) []identity.BackendID {
	listed := make(map[identity.BackendID]bool, len(backends))
	for index := range backends {
		listed[backends[index].ID] = true
	}
	var gone []identity.BackendID
	for id := range p.byID {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	return gone
}

// apply adds or updates the changed back ends and removes the gone ones. It returns the effects, and the back ends that
// were removed or whose address now belongs to another back end. The caller holds the mutex.
func (p *Pool) apply(changed []Backend, gone []identity.BackendID) (change Change, ended []Backend) {
	p.updates++
	delta := indexDelta{addresses: map[string]bool{}}
	for _, backend := range changed {
		found := p.byID[backend.ID]
		switch {
		case found == nil:
			found = p.createEntry(backend)
			change.Added = append(change.Added, backend.ID)
			delta.add(found)
		case backend.Draining && !found.backend.Draining:
			change.Draining = append(change.Draining, backend.ID)
		}
		if found.backend.Service != backend.Service || found.backend.Zone != backend.Zone || found.backend.Address != backend.Address {
			delta.move(found, backend)
		}
		found.backend = backend
		for model, version := range backend.Weights {
			p.newest[model] = max(p.newest[model], version)
		}
		found.far = p.distances.Between(p.zone, backend.Zone) == distance.OtherRegion
	}
	for _, id := range gone {
		found := p.byID[id]
		if found == nil {
			continue
		}
		change.Removed = append(change.Removed, id)
		ended = append(ended, found.backend)
		delta.remove(found)
		if found.requests() > 0 {
			p.departed[found] = true // unlisted, with requests of this daemon in flight
		}
	}
	p.reindex(delta)
	return change, append(ended, p.updateReplaced(delta.addresses)...)
}

// indexDelta is the effect of an update on the indexes. Its methods only note changes; Pool.reindex applies them.
type indexDelta struct {
	// added entries are to be indexed by their backend as it is when reindex is called; removed ones are still indexed
	// by removal.was.
	added   []*entry
	removed []removal
	// addresses holds the addresses of all of them, before and after the update.
	addresses map[string]bool
}

// removal is an entry with the Backend by which it was indexed.
type removal struct {
	entry *entry
	was   Backend
	// unlisted is set if the back end is no longer listed, rather than moved.
	unlisted bool
}

func (d *indexDelta) add(found *entry) {
	d.added = append(d.added, found)
	d.addresses[found.backend.Address] = true
}

func (d *indexDelta) remove(found *entry) {
	d.removed = append(d.removed, removal{found, found.backend, true})
	d.addresses[found.backend.Address] = true
}

// move notes that a back end's service, zone or address changes to those of now. The entry still holds the old ones;
// the caller replaces them before reindex.
func (d *indexDelta) move(found *entry, now Backend) {
	d.removed = append(d.removed, removal{found, found.backend, false})
	d.added = append(d.added, found)
	d.addresses[found.backend.Address], d.addresses[now.Address] = true, true
}

// createEntry creates the entry of a back end whose ID was not listed, and takes over the notices that apply to it. The
// same incarnation may have been listed under another ID (see inheritNotices). The caller holds the mutex.
func (p *Pool) createEntry(backend Backend) *entry {
	created := newEntry(backend)
	created.notices = p.inheritNotices(created)
	created.leaving = p.leavingOf(created)
	created.listedInUpdate = p.updates
	return created
}

// reindex applies a delta to the indexes. The caller holds the mutex.
func (p *Pool) reindex(delta indexDelta) {
	out := map[*group]map[*entry]bool{}
	for _, each := range delta.removed {
		for _, grp := range p.groupsOf(each.was) {
			if out[grp] == nil {
				out[grp] = map[*entry]bool{}
			}
			out[grp][each.entry] = true
		}
		p.removeFromIndexes(each)
	}
	for grp, entries := range out {
		grp.remove(entries)
	}
	for _, each := range delta.added {
		p.addToIndexes(each)
	}
	p.group(delta.added)
	p.dropEmptyGroups(delta.removed)
}

// group adds entries to their groups. The caller holds the mutex.
func (p *Pool) group(added []*entry) {
	in := map[*group][]*entry{}
	for _, each := range added {
		for _, grp := range p.groupsOf(each.backend) {
			in[grp] = append(in[grp], each)
		}
	}
	for grp, entries := range in {
		grp.add(entries)
	}
}

// groupsOf returns the groups that a back end belongs to, its service's and its service's in its region, and creates
// those that don't exist. The caller holds the mutex.
func (p *Pool) groupsOf(backend Backend) [2]*group {
	key := regionKey{backend.Service, p.RegionOf(backend.Zone)}
	if p.services[backend.Service] == nil {
		p.services[backend.Service] = &group{}
	}
	if p.byRegion[key] == nil {
		p.byRegion[key] = &group{}
	}
	return [2]*group{p.services[backend.Service], p.byRegion[key]}
}

// dropEmptyGroups deletes the groups of removed entries that have become empty. The caller holds the mutex.
func (p *Pool) dropEmptyGroups(removed []removal) {
	for _, each := range removed {
		key := regionKey{each.was.Service, p.RegionOf(each.was.Zone)}
		if grp := p.byRegion[key]; grp != nil && len(grp.entries) == 0 {
			delete(p.byRegion, key)
		}
		if grp := p.services[each.was.Service]; grp != nil && len(grp.entries) == 0 {
			delete(p.services, each.was.Service)
		}
	}
}

// addToIndexes adds an entry to the indexes by ID, key, name and address. The caller holds the mutex.
func (p *Pool) addToIndexes(added *entry) {
	p.byID[added.backend.ID] = added
	p.byKey[added.key] = added
	p.byNameKey[added.nameKey] = added
	address := added.backend.Address
	p.byAddress[address] = append(p.byAddress[address], added)
}

// removeFromIndexes removes an entry from the index by address and, if it is no longer listed, from all others and from
// p.watched and p.peerLoaded. An entry that only moved keeps its ID and name. The caller holds the mutex.
func (p *Pool) removeFromIndexes(removed removal) {
	address := removed.was.Address
	p.byAddress[address] = slices.DeleteFunc(p.byAddress[address], func(other *entry) bool { return other == removed.entry })
	if len(p.byAddress[address]) == 0 {
		delete(p.byAddress, address)
	}
	if !removed.unlisted {
		return
	}
	delete(p.byID, removed.was.ID)
	delete(p.watched, removed.entry)
	delete(p.peerLoaded, removed.entry)
	if p.byKey[removed.entry.key] == removed.entry {
		delete(p.byKey, removed.entry.key)
	}
	if p.byNameKey[removed.entry.nameKey] == removed.entry {
		delete(p.byNameKey, removed.entry.nameKey)
	}
}

// updateReplaced sets for each back end at the given addresses whether it is replaced, that is, whether the same
// address has a back end whose ID was first listed in a later update. It returns those that have newly become
// replaced. The caller holds the mutex.
func (p *Pool) updateReplaced(addresses map[string]bool) (replaced []Backend) {
	for address := range addresses {
		newest := uint64(0)
		for _, found := range p.byAddress[address] {
			newest = max(newest, found.listedInUpdate)
		}
		for _, found := range p.byAddress[address] {
			wasReplaced := found.replaced
			found.replaced = newest > found.listedInUpdate
			if found.replaced && !wasReplaced {
				replaced = append(replaced, found.backend)
			}
		}
	}
	return replaced
}
