package directory

import (
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// knownStanding is the furthest known standing of a service.
type knownStanding struct {
	rollout.Standing
	// stored is the position of the row that the store is known to hold; zero if it holds none.
	stored uint64
	// changed is set if the standing differs from what its row holds, or that row is gone.
	changed bool
}

// lost reports whether the store no longer holds the standing, since it was restored from a backup.
func (k knownStanding) lost() bool { return k.changed || k.Row < k.stored }

// adopt takes a standing that is further than the known one, or the same one in a later row.
func (k *knownStanding) adopt(told rollout.Standing) {
	again := !k.Supersedes(told) && told.Row > k.Row
	if k.Service == "" || told.Supersedes(k.Standing) || again {
		k.Standing, k.changed = told, false
	}
}

// mergeStanding merges a standing that a daemon has written or reported. It returns true if anything changed.
func (b *softwareState) mergeStanding(told rollout.Standing) bool {
	kept := b.standings[told.Service]
	kept.adopt(told)
	if told.Row > b.readAt {
		kept.stored = max(kept.stored, told.Row)
	}
	return b.storeStanding(kept)
}

// readStandings merges the standings that the store held at a position.
func (b *softwareState) readStandings(at uint64, read []rollout.Standing) bool {
	if at < b.readAt {
		return false
	}
	b.readAt = at
	stored := make(map[identity.ServiceName]uint64, len(read))
	changed := false
	for _, standing := range read {
		stored[standing.Service] = standing.Row
		kept := b.standings[standing.Service]
		kept.adopt(standing)
		changed = b.storeStanding(kept) || changed
	}
	for service, kept := range b.standings {
		if kept.stored > at {
			continue // written after that read
		}
		kept.stored = stored[service]
		kept.changed = kept.changed || kept.stored == 0
		changed = b.storeStanding(kept) || changed
	}
	return changed
}

func (b *softwareState) storeStanding(kept knownStanding) bool {
	before := b.standings[kept.Service]
	if kept == before {
		return false
	}
	b.standings[kept.Service] = kept
	b.noted(before, kept)
	return true
}
