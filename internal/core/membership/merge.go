package membership

import (
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// cleanupInterval is the time between two searches for what to forget.
const cleanupInterval = 10 * time.Second

func (n *Node) mergeAll(now time.Time, message Message) {
	for _, update := range message.Members {
		n.mergeMember(now, update)
	}
	for _, confirmation := range message.Confirmations {
		n.mergeConfirmation(confirmation)
	}
	for _, fact := range message.Backends {
		n.mergeBackend(now, fact)
	}
	for _, load := range message.Loads {
		n.mergeLoad(load)
	}
}

func (n *Node) mergeMember(now time.Time, update Member) {
	if update.ID == n.self.ID {
		n.mergeSelf(now, update)
		return
	}
	if !update.valid() || n.buried(update) || n.expired(now, update) {
		return
	}
	known, found := n.members[update.ID]
	if !found {
		n.admit(now, update)
		return
	}
	if !update.supersedes(known.Member) {
		n.raiseRevision(known, update)
		return
	}
	n.replace(now, known, update)
}

// buried tells whether the update is about a life that is over and forgotten.
func (n *Node) buried(update Member) bool {
	stone, found := n.tombstones[update.ID]
	return found && update.Incarnation <= stone.incarnation
}

// expired tells whether the update is about an end too long ago to be kept.
func (n *Node) expired(now time.Time, update Member) bool {
	return !update.Live() && now.Sub(time.Unix(update.Since, 0)) > n.options.DeadRetention
}

func (n *Node) admit(now time.Time, update Member) {
	delete(n.tombstones, update.ID)
	added := newEntry(update)
	added.suspectedAt = now
	n.insert(added)
	n.learned++
	n.joinQueue.add(update.ID)
	n.emit(MemberChanged{Member: update})
}

func (n *Node) replace(now time.Time, known *entry, update Member) {
	if update.Incarnation == known.Incarnation {
		update.Revision = max(update.Revision, known.Revision)
	}
	if update.State == StateSuspect && known.State != StateSuspect {
		known.suspectedAt = now
	}
	n.change(known, update)
}

// change puts update in the place of what is known, and spreads it.
func (n *Node) change(known *entry, update Member) {
	if update.Zone != known.Zone {
		n.zones[known.Zone] = without(n.zones[known.Zone], known)
		n.zones[update.Zone] = append(n.zones[update.Zone], known)
	}
	delete(n.references, known.reference)
	known.Member = update
	known.reference = update.reference()
	known.accused = false
	n.references[known.reference] = known
	n.contact.maskValid = false
	n.learned++
	n.memberQueue.add(known.ID)
	n.emit(MemberChanged{Member: update})
}

func (n *Node) raiseRevision(known *entry, update Member) {
	if update.Incarnation != known.Incarnation || update.Revision <= known.Revision {
		return
	}
	known.Revision = update.Revision
	n.confirmQueue.add(known.ID)
}

// mergeSelf refutes whatever is said of this daemon that it did not say itself.
func (n *Node) mergeSelf(now time.Time, update Member) {
	if update.Incarnation < n.self.Incarnation {
		return
	}
	if update.Incarnation == n.self.Incarnation && n.saidBySelf(update) {
		return
	}
	delete(n.references, n.self.reference)
	n.self.Incarnation = update.Incarnation + 1
	n.self.Since = now.Unix()
	n.self.reference = n.self.Member.reference()
	n.references[n.self.reference] = n.self
	n.memberQueue.add(n.self.ID)
}

// saidBySelf tells whether a fact of this incarnation can come from this life. It
// can't when a clock that was set back gave an earlier life the same incarnation.
func (n *Node) saidBySelf(update Member) bool {
	return update.State <= n.self.State && update.Revision <= n.self.Revision &&
		update.Address == n.self.Address && update.Zone == n.self.Zone
}

func (n *Node) mergeConfirmation(confirmation Confirmation) {
	packed := confirmation.Members
	for len(packed) >= referenceBytes {
		known, found := n.references[unpackReference(packed)]
		packed = packed[referenceBytes:]
		if found && known != n.self && confirmation.Revision > known.Revision {
			known.Revision = confirmation.Revision
			n.confirmQueue.add(known.ID)
		}
	}
}

func (n *Node) mergeBackend(now time.Time, fact BackendFact) {
	known, found := n.backends[fact.Backend]
	if !fact.valid() || found && !fact.supersedes(known) {
		return
	}
	if now.Sub(time.Unix(fact.Since, 0)) > n.options.BackendRetention {
		return
	}
	n.backends[fact.Backend] = fact
	n.backendQueue.add(fact.Backend)
	n.hurryGossip(now)
	if fact.Leaving {
		n.emit(BackendLeaving{Fact: fact})
		return
	}
	n.emit(BackendReturned{Fact: fact})
}

func (n *Node) mergeLoad(load ZoneLoad) {
	if len(load.Data) > MaximumLoadBytes || load.Version <= n.loads[load.Zone].Version {
		return
	}
	n.loads[load.Zone] = load
	n.loadQueue.add(load.Zone)
	n.emit(ZoneLoadChanged{Load: load})
}

func (n *Node) insert(added *entry) {
	n.members[added.ID] = added
	n.list = append(n.list, added)
	n.zones[added.Zone] = append(n.zones[added.Zone], added)
	n.references[added.reference] = added
	n.contact.maskValid = false
}

func (n *Node) remove(known *entry) {
	delete(n.members, known.ID)
	delete(n.references, known.reference)
	n.contact.maskValid = false
	n.list = without(n.list, known)
	n.zones[known.Zone] = without(n.zones[known.Zone], known)
}

func without(list []*entry, unwanted *entry) []*entry {
	return slices.DeleteFunc(list, func(candidate *entry) bool { return candidate == unwanted })
}

// tickCleanup forgets what ended long ago.
func (n *Node) tickCleanup(now time.Time) {
	if now.Before(n.nextCleanup) {
		return
	}
	n.nextCleanup = now.Add(cleanupInterval)
	for _, known := range slices.Clone(n.list) {
		if known != n.self && n.expired(now, known.Member) {
			n.forget(known)
		}
	}
	for id, stone := range n.tombstones {
		if now.Sub(time.Unix(stone.since, 0)) > n.options.TombstoneRetention {
			delete(n.tombstones, id)
		}
	}
	for id, fact := range n.backends {
		if now.Sub(time.Unix(fact.Since, 0)) > n.options.BackendRetention {
			delete(n.backends, id)
		}
	}
}

func (n *Node) forget(known *entry) {
	n.remove(known)
	n.tombstones[known.ID] = tombstone{incarnation: known.Incarnation, state: known.State, since: known.Since}
	n.emit(MemberChanged{Member: known.Member, Forgotten: true})
}

// endOf returns what must be told to a member that is believed suspect, dead or
// gone, so that it can refute; the second result is false for others.
func (n *Node) endOf(id identity.DaemonID) (Member, bool) {
	if known, found := n.members[id]; found {
		return known.Member, known.State != StateAlive
	}
	stone, found := n.tombstones[id]
	return Member{ID: id, Incarnation: stone.incarnation, State: stone.state, Since: stone.since}, found
}
