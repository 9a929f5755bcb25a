package backendpool

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// Update replaces the list of back ends. What is known of those that stay is kept.
func (p *Pool) Update(backends []Backend) Change {
	return p.alter(backends, func() []identity.BackendID { return p.unlisted(backends) })
}

// Apply changes the list: some back ends are listed anew or as they are described now, and some are gone. It takes the
// same work for a back end however many are listed.
func (p *Pool) Apply(changed []Backend, gone []identity.BackendID) Change {
	return p.alter(changed, func() []identity.BackendID { return gone })
}

// OnListChanged sets what is told of each change of the list: back ends that are listed anew or as described now, and those
// that are gone. It must be set before the pool is used, and must not block.
func (p *Pool) OnListChanged(listed func(changed []Backend, gone []identity.BackendID)) {
	p.listedAnew = listed
}

// alter changes the list, and tells of that and of back ends that have ended. Gone is called with the mutex.
func (p *Pool) alter(changed []Backend, gone func() []identity.BackendID) Change {
	p.mutex.Lock()
	ids := gone()
	done, ended := p.apply(changed, ids)
	p.mutex.Unlock()
	p.listedAnew(changed, ids)
	for _, each := range ended {
		p.tellEnded(each)
	}
	return done
}

// unlisted are the back ends that a whole list no longer has. The caller holds the mutex.
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

// apply returns what changed, and the back ends that are no longer listed or whose address another one has now. The
// caller holds the mutex.
func (p *Pool) apply(changed []Backend, gone []identity.BackendID) (change Change, ended []Backend) {
	p.updates++
	altered := alteration{addresses: map[string]bool{}}
	for _, backend := range changed {
		found := p.byID[backend.ID]
		switch {
		case found == nil:
			found = p.entryOf(backend)
			change.Added = append(change.Added, backend.ID)
			altered.add(found)
		case backend.Draining && !found.backend.Draining:
			change.Draining = append(change.Draining, backend.ID)
		}
		if found.backend.Service != backend.Service || found.backend.Zone != backend.Zone || found.backend.Address != backend.Address {
			altered.move(found, backend)
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
		altered.remove(found)
		if found.inFlight > 0 {
			p.departed[found] = true
		}
	}
	p.reindex(altered)
	return change, append(ended, p.findReplaced(altered.addresses)...)
}

// alteration is what an update does to the indexes.
type alteration struct {
	// added are indexed as they are described then; removed are as they were.
	added   []*entry
	removed []removal
	// addresses are those of all of them, before and after.
	addresses map[string]bool
}

// removal is a back end as it was indexed.
type removal struct {
	entry *entry
	was   Backend
	// gone is set where it is no longer listed.
	gone bool
}

func (a *alteration) add(found *entry) {
	a.added = append(a.added, found)
	a.addresses[found.backend.Address] = true
}

func (a *alteration) remove(found *entry) {
	a.removed = append(a.removed, removal{found, found.backend, true})
	a.addresses[found.backend.Address] = true
}

// move has a back end indexed anew that is described otherwise now.
func (a *alteration) move(found *entry, now Backend) {
	a.removed = append(a.removed, removal{found, found.backend, false})
	a.added = append(a.added, found)
	a.addresses[found.backend.Address], a.addresses[now.Address] = true, true
}

// entryOf makes the entry of a back end that was not listed under its ID. The caller holds the mutex.
func (p *Pool) entryOf(backend Backend) *entry {
	made := newEntry(backend)
	made.said = p.saidByNew(made)
	made.leaving = p.leavingOf(made)
	made.listedAt = p.updates
	return made
}

// reindex takes out what is gone and puts in what was added. The caller holds the mutex.
func (p *Pool) reindex(altered alteration) {
	out := map[*group]map[*entry]bool{}
	for _, each := range altered.removed {
		for _, of := range p.groupsOf(each.was) {
			if out[of] == nil {
				out[of] = map[*entry]bool{}
			}
			out[of][each.entry] = true
		}
		p.removeKeys(each)
	}
	for of, entries := range out {
		of.remove(entries)
	}
	for _, each := range altered.added {
		p.addKeys(each)
	}
	p.group(altered.added)
	p.dropEmptyGroups(altered.removed)
}

// group puts back ends into their groups. The caller holds the mutex.
func (p *Pool) group(added []*entry) {
	in := map[*group][]*entry{}
	for _, each := range added {
		for _, of := range p.groupsOf(each.backend) {
			in[of] = append(in[of], each)
		}
	}
	for of, entries := range in {
		of.add(entries)
	}
}

// groupsOf are the groups that a back end belongs to. The caller holds the mutex.
func (p *Pool) groupsOf(backend Backend) [2]*group {
	place := regional{backend.Service, p.RegionOf(backend.Zone)}
	if p.services[backend.Service] == nil {
		p.services[backend.Service] = &group{}
	}
	if p.byRegion[place] == nil {
		p.byRegion[place] = &group{}
	}
	return [2]*group{p.services[backend.Service], p.byRegion[place]}
}

func (p *Pool) dropEmptyGroups(removed []removal) {
	for _, each := range removed {
		place := regional{each.was.Service, p.RegionOf(each.was.Zone)}
		if of := p.byRegion[place]; of != nil && len(of.entries) == 0 {
			delete(p.byRegion, place)
		}
		if of := p.services[each.was.Service]; of != nil && len(of.entries) == 0 {
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
	delete(p.loaded, each.entry)
	if p.byKey[each.entry.key] == each.entry {
		delete(p.byKey, each.entry.key)
	}
	if p.byNameKey[each.entry.nameKey] == each.entry {
		delete(p.byNameKey, each.entry.nameKey)
	}
}

// findReplaced looks which back ends at some addresses were listed before another one there, and returns those that
// were not known to be. The caller holds the mutex.
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
