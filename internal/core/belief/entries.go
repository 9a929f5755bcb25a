package belief

import "github.com/lotusward/lotusward/internal/core/prefix"

// touch makes the entry of a hash on an engine the newest, and adds it when it
// is missing. It returns the entry's number and whether it was added.
func (x *Index) touch(slot Slot, hash prefix.Hash) (uint32, bool) {
	key := pairOf(hash, slot)
	number, found := x.byPair[key]
	if found {
		x.unlinkUse(number)
		x.linkNewest(number)
		return number, false
	}
	number = x.allocate()
	x.entries[number] = entry{hash: hash, slot: slot}
	x.byPair[key] = number
	x.linkHash(number)
	x.linkNewest(number)
	return number, true
}

// allocate returns a free entry number, making room when the index is full.
func (x *Index) allocate() uint32 {
	if x.Entries() >= x.options.MaxEntries {
		x.evictOne()
	}
	if last := len(x.free) - 1; last >= 0 {
		number := x.free[last]
		x.free = x.free[:last]
		return number
	}
	x.entries = append(x.entries, entry{})
	return uint32(len(x.entries) - 1)
}

// evictOne removes the oldest entry of the next engine in turn.
func (x *Index) evictOne() {
	for range x.engines {
		x.hand = (x.hand + 1) % len(x.engines)
		if oldest := x.engines[x.hand].oldest; oldest != none {
			x.remove(oldest)
			return
		}
	}
}

// remove deletes an entry from both lists and both maps.
func (x *Index) remove(number uint32) {
	removed := x.entries[number]
	x.unlinkUse(number)
	x.unlinkHash(number)
	delete(x.byPair, pairOf(removed.hash, removed.slot))
	x.entries[number] = entry{}
	x.free = append(x.free, number)
}

func (x *Index) linkNewest(number uint32) {
	added := &x.entries[number]
	holder := &x.engines[added.slot]
	holder.uses++
	added.stamp = holder.uses
	added.usedAt = x.now
	added.newer = none
	added.older = holder.newest
	if holder.newest != none {
		x.entries[holder.newest].newer = number
	} else {
		holder.oldest = number
	}
	holder.newest = number
	holder.count++
}

func (x *Index) unlinkUse(number uint32) {
	removed := x.entries[number]
	holder := &x.engines[removed.slot]
	if removed.newer != none {
		x.entries[removed.newer].older = removed.older
	} else {
		holder.newest = removed.older
	}
	if removed.older != none {
		x.entries[removed.older].newer = removed.newer
	} else {
		holder.oldest = removed.newer
	}
	holder.count--
}

func (x *Index) linkHash(number uint32) {
	added := &x.entries[number]
	list := x.byHash[added.hash]
	added.next = list.first
	added.prior = none
	if list.first != none {
		x.entries[list.first].prior = number
	}
	x.byHash[added.hash] = holders{first: number, count: list.count + 1}
}

func (x *Index) unlinkHash(number uint32) {
	removed := x.entries[number]
	list := x.byHash[removed.hash]
	list.count--
	if list.count == 0 {
		delete(x.byHash, removed.hash)
		return
	}
	if removed.next != none {
		x.entries[removed.next].prior = removed.prior
	}
	if removed.prior != none {
		x.entries[removed.prior].next = removed.next
	} else {
		list.first = removed.next
	}
	x.byHash[removed.hash] = list
}

// trimToLimit removes the oldest entries beyond what the engine has room for.
func (x *Index) trimToLimit(slot Slot) {
	holder := &x.engines[slot]
	if holder.limit == 0 {
		return
	}
	for holder.count > holder.limit {
		x.learnReuse(holder, &x.entries[holder.oldest])
		x.remove(holder.oldest)
	}
}

func (x *Index) learnReuse(holder *engine, evicted *entry) {
	sample := 0.0
	if evicted.reused {
		sample = 1
	}
	holder.reuse += reuseGain * (sample - holder.reuse)
}

// trimOlder removes the entries whose last use is not after stamp. The use
// counter wraps around, so that only its differences mean something.
func (x *Index) trimOlder(slot Slot, stamp uint32) {
	holder := &x.engines[slot]
	for holder.oldest != none && int32(x.entries[holder.oldest].stamp-stamp) <= 0 {
		x.remove(holder.oldest)
	}
}
