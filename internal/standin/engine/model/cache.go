package model

import (
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// block is one cached KV block. A block that no request uses is in the eviction
// list, between its older and newer neighbour.
type block struct {
	hash         prefix.Hash
	parent       prefix.Hash
	users        int
	older, newer *block
}

// cache is the engine's KV memory. Its blocks are free, private to a request, or
// cached under a hash. Cached blocks that no request uses are evicted, least
// recently used first, when free ones run out.
type cache struct {
	capacity int
	private  int
	used     int // cached blocks that requests use
	blocks   map[prefix.Hash]*block
	// evictable is the head of the ring of blocks without users.
	evictable block
	events    []enginewire.CacheEvent
}

func newCache(capacity int) *cache {
	c := &cache{capacity: capacity, blocks: make(map[prefix.Hash]*block)}
	c.evictable.older = &c.evictable
	c.evictable.newer = &c.evictable
	return c
}

// lookup counts the leading blocks of a chain that are cached.
func (c *cache) lookup(chain prefix.Chain) int {
	for index, hash := range chain {
		if c.blocks[hash] == nil {
			return index
		}
	}
	return len(chain)
}

// acquire marks a cached block as used by one more request.
func (c *cache) acquire(hash prefix.Hash) *block {
	found := c.blocks[hash]
	if found.users == 0 {
		c.unlink(found)
		c.used++
	}
	found.users++
	return found
}

// release gives back a block; the one released last is evicted last.
func (c *cache) release(released *block) {
	released.users--
	if released.users > 0 {
		return
	}
	c.used--
	c.linkNewest(released)
}

// available is how many blocks can be made private.
func (c *cache) available() int { return c.capacity - c.private - c.used }

// reserve makes blocks private, evicting cached ones as needed. The caller has
// checked that they are available.
func (c *cache) reserve(count int) {
	c.makeRoom(count)
	c.private += count
}

func (c *cache) makeRoom(count int) {
	for c.capacity-c.private-len(c.blocks) < count {
		c.evictOldest()
	}
}

func (c *cache) evictOldest() {
	oldest := c.evictable.newer
	c.unlink(oldest)
	delete(c.blocks, oldest.hash)
	c.note(enginewire.BlockRemoved, oldest)
}

// publish caches a private block under its hash. It returns nil, and the block
// stays private, when another request has cached the same.
func (c *cache) publish(hash, parent prefix.Hash) *block {
	if c.blocks[hash] != nil {
		return nil
	}
	stored := &block{hash: hash, parent: parent, users: 1}
	c.blocks[hash] = stored
	c.private--
	c.used++
	c.note(enginewire.BlockStored, stored)
	return stored
}

// insert caches imported blocks of a chain as far as there is room.
func (c *cache) insert(chain prefix.Chain) int {
	var held []*block
	var parent prefix.Hash
	for _, hash := range chain {
		if c.blocks[hash] == nil {
			if c.available() == 0 {
				break
			}
			c.reserve(1)
			held = append(held, c.publish(hash, parent))
		} else {
			held = append(held, c.acquire(hash))
		}
		parent = hash
	}
	c.releaseAll(held)
	return len(held)
}

// releaseAll gives back the blocks of a chain, last block first, so that a
// chain is evicted from its end.
func (c *cache) releaseAll(blocks []*block) {
	for index := len(blocks) - 1; index >= 0; index-- {
		c.release(blocks[index])
	}
}

// clear drops all cached blocks that no request uses.
func (c *cache) clear() {
	for c.evictable.newer != &c.evictable {
		oldest := c.evictable.newer
		c.unlink(oldest)
		delete(c.blocks, oldest.hash)
	}
	c.events = append(c.events, enginewire.CacheEvent{Kind: enginewire.AllBlocksCleared})
	for _, kept := range c.blocks {
		c.note(enginewire.BlockStored, kept)
	}
}

// chainTo returns the cached chain that ends in a block, first block first, or
// nil when a part of it is not cached.
func (c *cache) chainTo(hash prefix.Hash) prefix.Chain {
	var reversed prefix.Chain
	for hash != 0 {
		found := c.blocks[hash]
		if found == nil {
			return nil
		}
		reversed = append(reversed, hash)
		hash = found.parent
	}
	chain := make(prefix.Chain, len(reversed))
	for index, value := range reversed {
		chain[len(reversed)-1-index] = value
	}
	return chain
}

// note records a cache event, joined to the one before where it continues it.
func (c *cache) note(kind enginewire.CacheEventKind, changed *block) {
	if count := len(c.events); count > 0 && c.events[count-1].Kind == kind {
		last := &c.events[count-1]
		continues := last.Blocks[len(last.Blocks)-1] == uint64(changed.parent)
		if kind == enginewire.BlockRemoved || continues {
			last.Blocks = append(last.Blocks, uint64(changed.hash))
			return
		}
	}
	event := enginewire.CacheEvent{Kind: kind, Blocks: []uint64{uint64(changed.hash)}}
	if kind == enginewire.BlockStored {
		event.Parent = uint64(changed.parent)
	}
	c.events = append(c.events, event)
}

func (c *cache) linkNewest(added *block) {
	added.older = c.evictable.older
	added.newer = &c.evictable
	added.older.newer = added
	c.evictable.older = added
}

func (c *cache) unlink(removed *block) {
	removed.older.newer = removed.newer
	removed.newer.older = removed.older
	removed.older, removed.newer = nil, nil
}
