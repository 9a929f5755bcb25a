package model

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Load reports how busy the engine is, at most Options.LoadRefresh old.
func (e *Engine) Load(now time.Time) enginewire.Load {
	e.advance(now)
	if e.loadAt.IsZero() || now.Sub(e.loadAt) >= e.options.LoadRefresh {
		e.load = e.ExactLoad()
		e.loadAt = now
	}
	return e.load
}

// ExactLoad computes the load as it is at the last advance.
func (e *Engine) ExactLoad() enginewire.Load {
	return enginewire.Load{
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		QueuedTokens: e.queuedTokens(),
		FreeBlocks:   e.cache.available(),
		TotalBlocks:  e.options.Blocks,
	}
}

// queuedTokens is how many prompt tokens the engine will compute for the
// requests that it has. A block that several of them need counts once.
func (e *Engine) queuedTokens() int {
	total := 0
	coming := make(map[prefix.Hash]struct{})
	for _, candidate := range e.running {
		total += candidate.prefillLeft()
		if candidate.prefillLeft() == 0 {
			continue
		}
		for _, hash := range candidate.request.Chain[candidate.published:] {
			coming[hash] = struct{}{}
		}
	}
	for _, candidate := range e.waiting {
		total += e.uncachedTokens(candidate.request, coming)
	}
	return total
}

// uncachedTokens counts the prompt tokens of a request that are neither cached
// nor coming, and adds its blocks to those coming.
func (e *Engine) uncachedTokens(request Request, coming map[prefix.Hash]struct{}) int {
	limit := min(max(0, request.ContextTokens-1)/prefix.BlockTokens, len(request.Chain))
	hits := 0
	for _, hash := range request.Chain[:limit] {
		_, expected := coming[hash]
		if !expected && e.cache.blocks[hash] == nil {
			break
		}
		hits++
	}
	for _, hash := range request.Chain[hits:limit] {
		coming[hash] = struct{}{}
	}
	return request.ContextTokens - hits*prefix.BlockTokens
}
