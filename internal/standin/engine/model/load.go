package model

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Load reports how busy the engine is.
func (e *Engine) Load(now time.Time) enginewire.Load {
	e.advance(now)
	return enginewire.Load{
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		QueuedTokens: e.queuedTokens(),
		FreeBlocks:   e.cache.available(),
		TotalBlocks:  e.options.Blocks,
	}
}

// queuedTokens is how many context tokens the engine will compute for the
// requests that it has.
func (e *Engine) queuedTokens() int {
	total := e.waitingTokens
	for _, candidate := range e.running {
		total += candidate.prefillLeft()
	}
	return total
}

// UncachedTokens tells how many context tokens of a request the engine would
// have to compute: those of blocks that are neither cached, nor coming by the
// requests that it has, nor, when the function is not nil, coming by others.
func (e *Engine) UncachedTokens(chain prefix.Chain, contextTokens int, others func(prefix.Hash) bool) int {
	hits := 0
	for _, hash := range reusable(chain, contextTokens) {
		if e.cache.blocks[hash] == nil && e.coming[hash] == 0 && (others == nil || !others(hash)) {
			break
		}
		hits++
	}
	return contextTokens - hits*prefix.BlockTokens
}

// Holds tells whether a block is cached.
func (e *Engine) Holds(hash prefix.Hash) bool { return e.cache.blocks[hash] != nil }

// reusable is the part of a chain that a request can take from a cache. At least
// one context token is always computed.
func reusable(chain prefix.Chain, contextTokens int) prefix.Chain {
	return chain[:min(max(0, contextTokens-1)/prefix.BlockTokens, len(chain))]
}

// expect notes the blocks that a request that arrives will compute.
func (e *Engine) expect(arrived *sequence) {
	request := arrived.request
	arrived.expected = e.UncachedTokens(request.Chain, request.ContextTokens, nil)
	arrived.announced = reusable(request.Chain, request.ContextTokens)
	hits := (request.ContextTokens - arrived.expected) / prefix.BlockTokens
	arrived.announced = arrived.announced[hits:]
	for _, hash := range arrived.announced {
		e.coming[hash]++
	}
	e.waitingTokens += arrived.expected
}

// unannounce forgets what a request was expected to compute, once it has
// computed it or has left.
func (e *Engine) unannounce(owner *sequence) {
	for _, hash := range owner.announced {
		if e.coming[hash]--; e.coming[hash] == 0 {
			delete(e.coming, hash)
		}
	}
	owner.announced = nil
}
