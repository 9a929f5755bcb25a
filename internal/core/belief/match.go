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
	count := sort.Search(len(checkpoints), func(position int) bool {
		_, found := x.byPair[pair{hash: checkpoints[position].Hash, slot: slot}]
		return !found
	})
	if count == 0 {
		return Match{Slot: slot}
	}
	last := checkpoints[count-1]
	number := x.byPair[pair{hash: last.Hash, slot: slot}]
	return Match{Slot: slot, Blocks: int(last.Blocks), Pending: x.entries[number].pending}
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
			matches = append(matches, Match{Slot: holder.slot, Blocks: int(checkpoint.Blocks), Pending: holder.pending})
		}
		number = holder.next
	}
	return matches
}
