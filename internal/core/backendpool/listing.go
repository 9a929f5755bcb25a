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

// Apply changes the list incrementally: changed back ends are added or updated, gone ones are removed. The work for
// each back end doesn't depend on the length of the list.
func (p *Pool) Apply(changed []Backend, gone []identity.BackendID) Change {
	return p.changeList(changed, func() []identity.BackendID { return gone })
}

// OnListChanged sets the callback for each change of the list, with the back ends added or updated and those
// removed. It must be set before the pool is used, and must not block.
func (p *Pool) OnListChanged(listed func(changed []Backend, gone []identity.BackendID)) {
	p.onListChanged = listed
}

// changeList changes the list, and invokes the callbacks for the change and for back ends that have ended. It calls
// gone with the mutex held.
func (p *Pool) changeList(changed []Backend, gone func() []identity.BackendID) Change {
	p.mutex.Lock()
	ids := gone()
	done, ended := p.apply(changed, ids)
	p.mutex.Unlock()
	p.onListChanged(changed, ids)
	for _, each := range ended {
		p.notifyEnded(each)
	}
	return done
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

// apply returns what changed, and the back ends that are no longer listed or whose address now belongs to another
// one. The caller holds the mutex.
func (p *Pool) apply(changed []Backend, gone []identity.BackendID) (change Change, ended []Backend) {
	p.updates++
	delta := indexDelta{addresses: map[string]bool{}}
	for _, backend := range changed {
		found := p.byID[backend.ID]
		switch {
		case found == nil:
			found = p.entryOf(backend)
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
		if found.inFlight > 0 {
			p.departed[found] = true
		}
	}
	p.reindex(delta)
	return change, append(ended, p.findReplaced(delta.addresses)...)
}

// indexDelta is the effect of an update on the indexes.
type indexDelta struct {
	// added entries are indexed by their current description; removed ones were indexed by a former one.
	added   []*entry
	removed []removal
	// addresses holds the addresses of all of them, before and after the update.
	addresses map[string]bool
}

// removal is an entry with the description by which it was indexed.
type removal struct {
	entry *entry
	was   Backend
	// gone is set if the back end is no longer listed.
	gone bool
}

func (d *indexDelta) add(found *entry) {
	d.added = append(d.added, found)
	d.addresses[found.backend.Address] = true
}

func (d *indexDelta) remove(found *entry) {
	d.removed = append(d.removed, removal{found, found.backend, true})
	d.addresses[found.backend.Address] = true
}

// move reindexes a back end whose description has changed.
func (d *indexDelta) move(found *entry, now Backend) {
	d.removed = append(d.removed, removal{found, found.backend, false})
	d.added = append(d.added, found)
	d.addresses[found.backend.Address], d.addresses[now.Address] = true, true
}

// entryOf creates the entry of a back end that was not listed under its ID. The caller holds the mutex.
func (p *Pool) entryOf(backend Backend) *entry {
	created := newEntry(backend)
	created.notices = p.inheritNotices(created)
	created.leaving = p.leavingOf(created)
	created.listedAt = p.updates
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
		p.removeKeys(each)
	}
	for grp, entries := range out {
		grp.remove(entries)
	}
	for _, each := range delta.added {
		p.addKeys(each)
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

// groupsOf returns the groups that a back end belongs to. The caller holds the mutex.
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

func (p *Pool) addKeys(added *entry) {
	p.byID[added.backend.ID] = added
	p.byKey[added.key] = added
	p.byNameKey[added.nameKey] = added
	address := added.backend.Address
	p.byAddress[address] = append(p.byAddress[address], added)
}

func (p *Pool) removeKeys(each removal) {
	address := each.was.Address
	p.byAddress[address] = slices.DeleteFunc(p.byAddress[address], func(found *entry) bool { return found == each.entry })
	if len(p.byAddress[address]) == 0 {
		delete(p.byAddress, address)
	}
	if !each.gone {
		return
	}
	delete(p.byID, each.was.ID)
	delete(p.watched, each.entry)
	delete(p.peerLoaded, each.entry)
	if p.byKey[each.entry.key] == each.entry {
		delete(p.byKey, each.entry.key)
	}
	if p.byNameKey[each.entry.nameKey] == each.entry {
		delete(p.byNameKey, each.entry.nameKey)
	}
}

// findReplaced marks the back ends at some addresses that were listed before another one there, and returns those
// newly marked. The caller holds the mutex.
func (p *Pool) findReplaced(addresses map[string]bool) (gone []Backend) {
	for address := range addresses {
		newest := uint64(0)
		for _, found := range p.byAddress[address] {
			newest = max(newest, found.listedAt)
		}
		for _, found := range p.byAddress[address] {
			wasReplaced := found.replaced
			found.replaced = newest > found.listedAt
			if found.replaced && !wasReplaced {
				gone = append(gone, found.backend)
			}
		}
	}
	return gone
}
