package directory

import (
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// keptStanding is the furthest known standing of a service.
type keptStanding struct {
	rollout.Standing
	// stored is the position of the row that the store is known to hold, zero where it holds none.
	stored uint64
	// changed is set where the standing differs from what its row holds, or that row is gone.
	changed bool
}

// lost tells whether the store doesn't hold the standing: it came back from a copy.
func (k keptStanding) lost() bool { return k.changed || k.Row < k.stored }

// follow keeps a standing that is further than the known one, or the same one in a later row.
func (k *keptStanding) follow(told rollout.Standing) {
	again := !k.Supersedes(told) && told.Row > k.Row
	if k.Service == "" || told.Supersedes(k.Standing) || again {
		k.Standing, k.changed = told, false
	}
}

// takeStanding takes in a standing that a daemon has written, or tells. It returns true when that changed anything.
func (b *softwareBelief) takeStanding(told rollout.Standing) bool {
	kept := b.standings[told.Service]
	kept.follow(told)
	if told.Row > b.readAt {
		kept.stored = max(kept.stored, told.Row)
	}
	return b.keepStanding(kept)
}

// readStandings takes in the standings that the store held at a position.
func (b *softwareBelief) readStandings(at uint64, read []rollout.Standing) bool {
	if at < b.readAt {
		return false
	}
	b.readAt = at
	stored := make(map[identity.ServiceName]uint64, len(read))
	changed := false
	for _, standing := range read {
		stored[standing.Service] = standing.Row
		kept := b.standings[standing.Service]
		kept.follow(standing)
		changed = b.keepStanding(kept) || changed
	}
	for service, kept := range b.standings {
		if kept.stored > at {
			continue // written since
		}
		kept.stored = stored[service]
		kept.changed = kept.changed || kept.stored == 0
		changed = b.keepStanding(kept) || changed
	}
	return changed
}

func (b *softwareBelief) keepStanding(kept keptStanding) bool {
	before := b.standings[kept.Service]
	if kept == before {
		return false
	}
	b.standings[kept.Service] = kept
	b.noted(before, kept)
	return true
}
