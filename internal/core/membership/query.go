package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Self returns this daemon as the others should know it.
func (n *Node) Self() Member { return n.self.Member }

// Members returns all remembered members, this daemon among them, by ID.
func (n *Node) Members() []Member {
	members := make([]Member, 0, len(n.list))
	for _, known := range n.list {
		members = append(members, known.Member)
	}
	slices.SortFunc(members, func(left, right Member) int { return cmp.Compare(left.ID, right.ID) })
	return members
}

// Size returns how many members are remembered, this daemon among them.
func (n *Node) Size() int { return len(n.list) }

// Member finds one member.
func (n *Node) Member(id identity.DaemonID) (Member, bool) {
	known, found := n.members[id]
	if !found {
		return Member{}, false
	}
	return known.Member, true
}

// HighestRevision returns the highest configuration revision that any daemon was
// heard to know of.
func (n *Node) HighestRevision() identity.Revision { return n.highest }

// InForce tells on how many of the live members a revision or a later one is in
// force, and on which it is not known to be.
func (n *Node) InForce(revision identity.Revision) (confirmed, total int, behind []identity.DaemonID) {
	for _, known := range n.list {
		if !known.Live() {
			continue
		}
		total++
		if known.Revision >= revision {
			confirmed++
			continue
		}
		behind = append(behind, known.ID)
	}
	slices.Sort(behind)
	return confirmed, total, behind
}

// MajorityContactAt returns the start of the newest round in which a chain of
// messages came here from a majority of all members, dead ones included while
// they are remembered. It is the zero time when there was none. A daemon with
// no seeds and no members is its own majority.
func (n *Node) MajorityContactAt() time.Time { return n.contact.majorityAt }

// BackendFacts returns the remembered facts about back ends, by ID.
func (n *Node) BackendFacts() []BackendFact {
	facts := make([]BackendFact, 0, len(n.backends))
	for _, fact := range n.backends {
		facts = append(facts, fact)
	}
	slices.SortFunc(facts, func(left, right BackendFact) int { return cmp.Compare(left.Backend, right.Backend) })
	return facts
}

// KnowsBackend tells whether a fact about a back end is remembered.
func (n *Node) KnowsBackend(id identity.BackendID) bool {
	_, found := n.backends[id]
	return found
}

// ZoneLoads returns the newest load summaries, by zone.
func (n *Node) ZoneLoads() []ZoneLoad {
	loads := make([]ZoneLoad, 0, len(n.loads))
	for _, load := range n.loads {
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(left, right ZoneLoad) int { return cmp.Compare(left.Zone, right.Zone) })
	return loads
}
