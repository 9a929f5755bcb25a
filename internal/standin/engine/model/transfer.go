package model

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/prefix"
)

// pendingImport is a KV import that is under way.
type pendingImport struct {
	endsAt time.Time
	chain  prefix.Chain
}

// Export returns the cached chain that ends in a block, and how long the
// transfer takes. The chain is empty when the block is not cached.
func (e *Engine) Export(now time.Time, last prefix.Hash) (prefix.Chain, time.Duration) {
	e.advance(now)
	chain := e.cache.chainTo(last)
	return chain, e.transferTime(len(chain))
}

// Import begins to put the blocks of a chain into the cache. Imports run one
// after the other; the time when this one ends is returned.
func (e *Engine) Import(now time.Time, chain prefix.Chain) time.Time {
	e.advance(now)
	begins := now
	if count := len(e.imports); count > 0 {
		begins = e.imports[count-1].endsAt
	}
	endsAt := begins.Add(e.transferTime(len(chain)))
	e.imports = append(e.imports, pendingImport{endsAt: endsAt, chain: chain})
	return endsAt
}

func (e *Engine) transferTime(blocks int) time.Duration {
	return time.Duration(blocks) * e.options.KVPerBlock
}

func (e *Engine) finishImport() {
	ended := e.imports[0]
	e.imports = e.imports[1:]
	stored := e.cache.insert(ended.chain)
	e.results = append(e.results, Imported{At: ended.endsAt, Blocks: stored})
}
