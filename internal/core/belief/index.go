// Package belief is what a daemon believes that each engine has in its prefix
// cache. It learns from its own placements, from the cached-token counts that
// answers report, and from cache events, which may be late, repeated or lost.
// What it says may be wrong; a wrong belief costs time, never correctness.
//
// For each engine the index keeps a least-recently-used list, as the engine
// does, so that a belief ages out when the engine should have evicted the block.
// Only one block in BlocksPerCheckpoint has an entry. A cached chain is closed
// towards its start, so a few probes find how deep it reaches.
package belief

import (
	"cmp"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
)

// Slot is the index's small number for an engine.
type Slot uint16

// DefaultMaxEntries bounds the index when Options sets no bound. An entry takes
// about 125 bytes, so this is under 40 MB, for 2.4 million cached blocks.
const DefaultMaxEntries = 300_000

// What is believed of the reuse of blocks: the share to begin with, and the
// weight of the newest eviction.
const (
	firstReuse = 0.35
	reuseGain  = 0.005
)

// Shares of an engine's blocks, in sixteenths.
const (
	parts = 16
	// cachedParts are for cached prefixes; the rest is for running requests.
	cachedParts = 14
	// fillingParts are from where on new blocks are taken to push out others: the
	// room that is left then is filled before the new ones are used again.
	fillingParts = 7
)

// Owners that are no placement of our own.
const (
	computed  = 0
	otherPeer = 1
	// waits marks the owners that are placements which were not sent yet.
	waits = 1 << 31
)

// none is the entry number that stands for no entry.
const none = 0

// Options configure an Index.
type Options struct {
	// MaxEntries bounds the entries of all engines together.
	MaxEntries int
}

// entry says that one engine has one checkpoint. It is a member of two lists:
// all entries of the engine by their last use, and all entries of the hash.
type entry struct {
	hash         prefix.Hash
	newer, older uint32
	next, prior  uint32
	// stamp is the engine's use counter at the last use.
	stamp uint32
	// usedAt is the time of the last use, in milliseconds of the index's clock.
	usedAt uint32
	// owner is the placement that will compute the block; computed when it has.
	owner uint32
	slot  Slot
	// reused is set once a request took the block from the cache.
	reused bool
}

// holders is the list of the entries of one hash.
type holders struct {
	first uint32
	count uint32
}

// pair finds the entry of one hash on one engine. Both are mixed into one number,
// which makes the fastest map key; that two pairs get the same one is as unlikely
// as that two blocks get the same hash.
type pair uint64

func pairOf(hash prefix.Hash, slot Slot) pair {
	return pair(uint64(hash) ^ (uint64(slot)+1)*0x9e3779b97f4a7c15)
}

// engine is what the index keeps for one engine.
type engine struct {
	incarnation identity.Incarnation
	// life tells apart all lives of all engines that have had the slot.
	life           uint64
	newest, oldest uint32
	count          int
	uses           uint32
	// capacity is how many entries the engine's whole cache has room for, and
	// limit is how many of them the engine's answers have shown to survive.
	// Zero means not known.
	capacity, limit int
	sequence        uint64
	// reuse is the share of blocks that are reused before they are evicted.
	reuse float64
}

// Index is the belief about all engines. It is not safe for concurrent use.
type Index struct {
	options Options
	entries []entry
	free    []uint32
	byHash  map[prefix.Hash]holders
	byPair  map[pair]uint32
	engines []engine
	slots   map[identity.BackendID]Slot
	unused  []Slot
	// hand is the engine that gives up an entry next when the index is full.
	hand int
	// lives counts the lives of engines.
	lives uint64
	// now is the time, in milliseconds; it may wrap around.
	now uint32
	// placements numbers the placements, which are the owners of pending blocks.
	placements uint32
	// visited marks engines that a running match has found.
	visited    []uint32
	generation uint32
}

// New makes an empty index.
func New(options Options) *Index {
	options.MaxEntries = cmp.Or(options.MaxEntries, DefaultMaxEntries)
	return &Index{
		options: options,
		entries: make([]entry, 1),
		byHash:  make(map[prefix.Hash]holders),
		byPair:  make(map[pair]uint32),
		slots:   make(map[identity.BackendID]Slot),
	}
}

// SetEngine makes an engine known in an incarnation and returns its slot. All
// that was believed of another incarnation is dropped.
func (x *Index) SetEngine(id identity.BackendID, incarnation identity.Incarnation) Slot {
	slot, found := x.slots[id]
	if !found {
		slot = x.takeSlot()
		x.slots[id] = slot
	}
	if found && x.engines[slot].incarnation == incarnation {
		return slot
	}
	x.Clear(slot)
	x.lives++
	x.engines[slot] = engine{incarnation: incarnation, life: x.lives, reuse: firstReuse}
	return slot
}

// RemoveEngine forgets an engine.
func (x *Index) RemoveEngine(id identity.BackendID) {
	slot, found := x.slots[id]
	if !found {
		return
	}
	x.Clear(slot)
	x.engines[slot] = engine{}
	delete(x.slots, id)
	x.unused = append(x.unused, slot)
}

func (x *Index) takeSlot() Slot {
	if last := len(x.unused) - 1; last >= 0 {
		slot := x.unused[last]
		x.unused = x.unused[:last]
		return slot
	}
	x.engines = append(x.engines, engine{})
	x.visited = append(x.visited, 0)
	return Slot(len(x.engines) - 1)
}

// Clear drops all that is believed of an engine's cache.
func (x *Index) Clear(slot Slot) {
	for x.engines[slot].oldest != none {
		x.remove(x.engines[slot].oldest)
	}
}

// SetCapacity tells how many blocks the engine's cache holds; zero is ignored.
func (x *Index) SetCapacity(slot Slot, blocks int) {
	if blocks <= 0 {
		return
	}
	holder := &x.engines[slot]
	capacity := max(1, blocks*cachedParts/parts/BlocksPerCheckpoint)
	if holder.capacity == capacity {
		return
	}
	holder.capacity = capacity
	holder.limit = capacity
	x.trimToLimit(slot)
}

// SetTime moves the index's clock; the time is in seconds from any start.
func (x *Index) SetTime(seconds float64) { x.now = uint32(int64(seconds * 1000)) }

// Turnover is how long an engine has kept its least recently used block, in
// seconds, or false while it has much room left.
func (x *Index) Turnover(slot Slot) (float64, bool) {
	holder := &x.engines[slot]
	if holder.limit == 0 || holder.count*parts < holder.limit*fillingParts {
		return 0, false
	}
	return float64(x.now-x.entries[holder.oldest].usedAt) / 1000, true
}

// Reuse is the share of an engine's blocks that are reused before they are evicted.
func (x *Index) Reuse(slot Slot) float64 { return x.engines[slot].reuse }

// Entries is how many entries the index holds.
func (x *Index) Entries() int { return len(x.entries) - 1 - len(x.free) }

// EngineEntries is how many entries the index holds for one engine.
func (x *Index) EngineEntries(slot Slot) int { return x.engines[slot].count }
