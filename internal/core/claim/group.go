package claim

import (
	"slices"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// GroupSize is the number of replicas of a slot when the roster has enough daemons.
const GroupSize = 3

// Group is the replicas of one slot, in the order of their rendezvous scores.
type Group []dynamic.Daemon

// Majority is how many votes grant a claim.
func (g Group) Majority() int { return len(g)/2 + 1 }

// ReadSize is how many replicas must be read to meet every majority in at least
// one replica.
func (g Group) ReadSize() int { return len(g) - g.Majority() + 1 }

// Position returns the index of a daemon in the group, or -1.
func (g Group) Position(daemon identity.DaemonID) int {
	return slices.IndexFunc(g, func(member dynamic.Daemon) bool { return member.ID == daemon })
}

// Groups is the replica groups of all slots in one epoch. It is immutable.
type Groups struct {
	Epoch  uint64
	groups [SlotCount]Group
}

// NewGroups computes the groups of a roster.
func NewGroups(roster dynamic.Roster) *Groups {
	groups := &Groups{Epoch: roster.Epoch}
	for slot := range groups.groups {
		groups.groups[slot] = groupOf(Slot(slot), roster.Daemons)
	}
	return groups
}

// Of returns the group of a slot.
func (g *Groups) Of(slot Slot) Group { return g.groups[slot] }

// groupOf picks the daemons with the highest scores, from different zones as
// long as there are zones left.
func groupOf(slot Slot, daemons []dynamic.Daemon) Group {
	size := min(GroupSize, len(daemons))
	group := make(Group, 0, size)
	for len(group) < size {
		next, found := best(slot, daemons, group, true)
		if !found {
			next, _ = best(slot, daemons, group, false)
		}
		group = append(group, next)
	}
	return group
}

// best finds the daemon with the highest score that is not in the group yet, and
// whose zone is not either when otherZone is set.
func best(slot Slot, daemons []dynamic.Daemon, group Group, otherZone bool) (dynamic.Daemon, bool) {
	var winner dynamic.Daemon
	var winnerScore uint64
	found := false
	for _, daemon := range daemons {
		if excluded(daemon, group, otherZone) {
			continue
		}
		score := rendezvous.Score(uint64(slot), string(daemon.ID))
		if found && (score < winnerScore || (score == winnerScore && daemon.ID > winner.ID)) {
			continue
		}
		winner, winnerScore, found = daemon, score, true
	}
	return winner, found
}

func excluded(daemon dynamic.Daemon, group Group, otherZone bool) bool {
	return slices.ContainsFunc(group, func(member dynamic.Daemon) bool {
		return member.ID == daemon.ID || (otherZone && member.Zone == daemon.Zone)
	})
}
