package model

import (
	"github.com/lotusward/lotusward/internal/core/prefix"
)

// sequence is a request inside the engine.
type sequence struct {
	request Request
	// arrival orders requests of one priority.
	arrival uint64
	// held are the cached blocks that the request uses, first block first.
	held []*block
	// private is how many reserved blocks are not cached under a hash.
	private int
	// published is how many blocks of the chain were offered to the cache.
	published int
	// computed counts the context tokens that are in the KV memory.
	computed int
	// generated counts the new tokens given.
	generated int
	started   bool
	// expected is how many context tokens the request was to compute when it
	// arrived, and announced are the blocks among them.
	expected  int
	announced prefix.Chain
	ended     bool
}

// before orders by priority and then by arrival.
func (s *sequence) before(other *sequence) bool {
	if s.request.Priority != other.request.Priority {
		return s.request.Priority < other.request.Priority
	}
	return s.arrival < other.arrival
}

// prefillLeft is how many context tokens are still to be computed.
func (s *sequence) prefillLeft() int { return s.request.ContextTokens - s.computed }

// cachedBlocks counts the leading blocks that a request could take from the
// cache.
func (c *cache) cachedBlocks(request Request) int {
	return c.lookup(reusable(request.Chain, request.ContextTokens))
}

// admit takes the blocks that a request needs. It returns false, and takes
// nothing, when there are too few.
func (c *cache) admit(admitted *sequence) bool {
	cached := c.cachedBlocks(admitted.request)
	var held []*block
	for _, hash := range admitted.request.Chain[:cached] {
		held = append(held, c.acquire(hash))
	}
	needed := admitted.request.blocks() - cached
	if needed > c.available() {
		c.releaseAll(held)
		return false
	}
	c.reserve(needed)
	admitted.held = held
	admitted.private = needed
	admitted.published = cached
	admitted.computed = cached * prefix.BlockTokens
	return true
}

// publishComputed caches the blocks that a request has computed in full.
func (c *cache) publishComputed(owner *sequence) {
	full := (owner.computed + owner.generated) / prefix.BlockTokens
	full = min(full, len(owner.request.Chain))
	for ; owner.published < full; owner.published++ {
		var parent prefix.Hash
		if owner.published > 0 {
			parent = owner.request.Chain[owner.published-1]
		}
		stored := c.publish(owner.request.Chain[owner.published], parent)
		if stored != nil {
			owner.held = append(owner.held, stored)
			owner.private--
		}
	}
}

// dismiss gives back all blocks of a request.
func (c *cache) dismiss(owner *sequence) {
	c.private -= owner.private
	owner.private = 0
	c.releaseAll(owner.held)
	owner.held = nil
	owner.ended = true
}
