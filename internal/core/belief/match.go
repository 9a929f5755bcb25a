package belief

import "sort"

// Limits of a match, which keep a decision's time bounded.
const (
	// maxLevels is how many different depths a match tells apart.
	maxLevels = 12
	// maxListed is how many holders of one checkpoint a match looks at.
	maxListed = 64
)

// Match is one engine that should have a part of a chain.
type Match struct {
	Slot Slot
	// Blocks is how many leading blocks of the chain should be cached.
	Blocks int
	// Pending is set when some of them are still to be computed.
	Pending bool
}

// Depth tells how many leading blocks of a chain an engine should have.
func (x *Index) Depth(checkpoints []Checkpoint, slot Slot) Match {
	return x.depth(checkpoints, slot, nil)
}

// isThere tells whether a block is computed or will be by a request that is sent.
func isThere(found *entry) bool { return found.owner&waits == 0 }

func (x *Index) depth(checkpoints []Checkpoint, slot Slot, counts func(*entry) bool) Match {
	count := sort.Search(len(checkpoints), func(position int) bool {
		number, found := x.byPair[pairOf(checkpoints[position].Hash, slot)]
		return !found || counts != nil && !counts(&x.entries[number])
	})
	if count == 0 {
		return Match{Slot: slot}
	}
	last := checkpoints[count-1]
	number := x.byPair[pairOf(last.Hash, slot)]
	return Match{Slot: slot, Blocks: int(last.Blocks), Pending: x.entries[number].owner != computed}
}

// AppendMatches appends engines that should have a leading part of the chain,
// those with the most first. It leaves out engines when there are many: those
// of a checkpoint that very many hold, and the shallowest ones.
func (x *Index) AppendMatches(matches []Match, checkpoints []Checkpoint) []Match {
	x.generation++
	end := sort.Search(len(checkpoints), func(position int) bool {
		return x.holderCount(checkpoints[position]) == 0
	})
	for level := 0; level < maxLevels && end > 0; level++ {
		deepest := checkpoints[end-1]
		matches = x.appendHolders(matches, deepest)
		count := x.holderCount(deepest)
		if count >= maxListed {
			break
		}
		end = sort.Search(end-1, func(position int) bool {
			return x.holderCount(checkpoints[position]) <= count
		})
	}
	return matches
}

func (x *Index) holderCount(checkpoint Checkpoint) uint32 {
	return x.byHash[checkpoint.Hash].count
}

// appendHolders appends the holders of a checkpoint that are not matched yet.
func (x *Index) appendHolders(matches []Match, checkpoint Checkpoint) []Match {
	number := x.byHash[checkpoint.Hash].first
	for listed := 0; number != none && listed < maxListed; listed++ {
		holder := &x.entries[number]
		if x.visited[holder.slot] != x.generation {
			x.visited[holder.slot] = x.generation
			matches = append(matches, Match{Slot: holder.slot, Blocks: int(checkpoint.Blocks), Pending: holder.owner != computed})
		}
		number = holder.next
	}
	return matches
}
