package belief

import (
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Placement is what the index needs to judge the answer to a placed request.
type Placement struct {
	Slot        Slot
	Incarnation identity.Incarnation
	// Expected is the belief when the request was placed.
	Expected Match
	// lastUse is the use counter of the deepest expected block before the placement.
	lastUse uint32
	// life is the engine's life at the placement.
	life uint64
	// number tells the placements apart.
	number uint32
}

// limitFloorShare is the least part of an engine's cache that mismatches can
// bring the believed room down to.
const limitFloorShare = 8

// Place records that a chain is sent to an engine to be computed. Until Confirm
// or Forget its new blocks are pending: coming hits for requests that follow.
func (x *Index) Place(checkpoints []Checkpoint, slot Slot) Placement {
	return x.place(checkpoints, Placement{
		Slot:        slot,
		Incarnation: x.engines[slot].incarnation,
		Expected:    x.depth(checkpoints, slot, isThere),
		life:        x.engines[slot].life,
		number:      x.nextPlacement(),
	})
}

// PlaceWaiting records that a chain shall be computed on an engine by a request
// that is not sent yet. Requests that are sent before it do not count on it.
func (x *Index) PlaceWaiting(checkpoints []Checkpoint, slot Slot) Placement {
	return x.place(checkpoints, Placement{
		Slot:        slot,
		Incarnation: x.engines[slot].incarnation,
		Expected:    x.Depth(checkpoints, slot),
		life:        x.engines[slot].life,
		number:      x.nextPlacement() | waits,
	})
}

func (x *Index) place(checkpoints []Checkpoint, placement Placement) Placement {
	slot := placement.Slot
	// The start of the chain is touched last, since engines evict a chain from its end.
	for position := len(checkpoints) - 1; position >= 0; position-- {
		checkpoint := checkpoints[position]
		if int(checkpoint.Blocks) == placement.Expected.Blocks {
			placement.lastUse = x.stampOf(slot, checkpoint.Hash)
		}
		number, added := x.touch(slot, checkpoint.Hash)
		if !added {
			x.entries[number].reused = true
		}
		if added || !isThere(&x.entries[number]) && placement.number&waits == 0 {
			x.entries[number].owner = placement.number
		}
	}
	x.trimToLimit(slot)
	return placement
}

// nextPlacement numbers a placement; the counter may wrap around, past the
// owners that are no placements.
func (x *Index) nextPlacement() uint32 {
	x.placements++
	if x.placements >= waits {
		x.placements = 0
	}
	x.placements = max(x.placements, otherPeer+1)
	return x.placements
}

func (x *Index) stampOf(slot Slot, hash prefix.Hash) uint32 {
	return x.entries[x.byPair[pairOf(hash, slot)]].stamp
}

// Confirm takes the engine's report that it has computed the whole chain, with
// the leading blocks that it had in its cache, or -1 when it did not say. When
// fewer were cached than expected, the engine evicted the missing ones, and by
// the order of eviction all that was used before them.
func (x *Index) Confirm(checkpoints []Checkpoint, placement Placement, incarnation identity.Incarnation, cachedBlocks int) {
	if !x.current(placement, incarnation) {
		return
	}
	slot := placement.Slot
	for position := len(checkpoints) - 1; position >= 0; position-- {
		number, _ := x.touch(slot, checkpoints[position].Hash)
		x.entries[number].owner = computed
	}
	if cachedBlocks >= 0 {
		x.learnRoom(placement, cachedBlocks)
	}
	x.trimToLimit(slot)
}

// learnRoom adjusts what the engine is believed to have room for.
func (x *Index) learnRoom(placement Placement, cachedBlocks int) {
	slot := placement.Slot
	holder := &x.engines[slot]
	missing := placement.Expected.Blocks - cachedBlocks
	if missing <= BlocksPerCheckpoint {
		if holder.limit != 0 && holder.limit < holder.capacity {
			holder.limit++
		}
		return
	}
	if placement.Expected.Pending {
		return
	}
	x.trimOlder(slot, placement.lastUse)
	if holder.capacity != 0 {
		holder.limit = min(holder.limit, max(holder.count, holder.capacity/limitFloorShare))
	}
}

// Forget takes back a placement that was not computed, with the blocks that no
// other one will compute.
func (x *Index) Forget(checkpoints []Checkpoint, placement Placement) {
	if !x.current(placement, placement.Incarnation) {
		return
	}
	for position := len(checkpoints) - 1; position >= 0; position-- {
		number, found := x.byPair[pairOf(checkpoints[position].Hash, placement.Slot)]
		if found && x.entries[number].owner == placement.number {
			x.remove(number)
		}
	}
}

func (x *Index) current(placement Placement, incarnation identity.Incarnation) bool {
	if int(placement.Slot) >= len(x.engines) {
		return false
	}
	holder := x.engines[placement.Slot]
	return holder.life == placement.life && holder.life != 0 && holder.incarnation == incarnation
}

// ApplyEvents corrects the belief by cache events. Batches of another
// incarnation, and batches not newer than one seen before, are dropped. A gap
// changes nothing: what it hid shows in the cached counts of later answers.
func (x *Index) ApplyEvents(slot Slot, batch enginewire.CacheEventBatch) {
	holder := &x.engines[slot]
	if holder.incarnation != batch.Incarnation || batch.Sequence <= holder.sequence && holder.sequence != 0 {
		return
	}
	holder.sequence = batch.Sequence
	for _, event := range batch.Events {
		x.applyEvent(slot, event)
	}
	x.trimToLimit(slot)
}

func (x *Index) applyEvent(slot Slot, event enginewire.CacheEvent) {
	switch event.Kind {
	case enginewire.AllBlocksCleared:
		x.Clear(slot)
	case enginewire.BlockStored:
		x.applyStored(slot, event.Blocks)
	case enginewire.BlockRemoved:
		x.applyRemoved(slot, event.Blocks)
	}
}

// Expect records that an engine will compute blocks for another daemon.
func (x *Index) Expect(slot Slot, blocks []uint64) {
	for position := len(blocks) - 1; position >= 0; position-- {
		hash := prefix.Hash(blocks[position])
		if !IsCheckpoint(hash) {
			continue
		}
		number, added := x.touch(slot, hash)
		if added {
			x.entries[number].owner = otherPeer
		}
	}
	x.trimToLimit(slot)
}

// applyStored adds what other daemons' requests brought. A block that is known
// already keeps its place, since the event is older than our own last use.
func (x *Index) applyStored(slot Slot, blocks []uint64) {
	for position := len(blocks) - 1; position >= 0; position-- {
		hash := prefix.Hash(blocks[position])
		if !IsCheckpoint(hash) {
			continue
		}
		if number, found := x.byPair[pairOf(hash, slot)]; found {
			x.entries[number].owner = computed
			continue
		}
		x.touch(slot, hash)
	}
}

func (x *Index) applyRemoved(slot Slot, blocks []uint64) {
	for _, block := range blocks {
		number, found := x.byPair[pairOf(prefix.Hash(block), slot)]
		if found && x.entries[number].owner == computed {
			x.remove(number)
		}
	}
}
