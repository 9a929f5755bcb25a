package simulation

import (
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
)

// travel is what a request that is on its way to an engine will need there.
type travel struct {
	engine *engineNode
	tokens int
	blocks prefix.Chain
}

// EngineOptions implements Cluster.
func (w *world) EngineOptions() model.Options { return w.scenario.Deployment.Engine }

// Outlook implements Cluster.
func (w *world) Outlook(id identity.BackendID, chain prefix.Chain, tokens int) Outlook {
	engine := w.byID[id]
	load := engine.model.Load(w.now)
	return Outlook{
		Up:             engine.up,
		QueuedTokens:   load.QueuedTokens + engine.comingTokens,
		UncachedTokens: engine.uncached(chain, tokens),
		Requests:       load.Running + load.Waiting + engine.comingCount,
	}
}

// uncached is how many tokens of a prompt the engine would compute, when all
// requests on their way to it go first.
func (e *engineNode) uncached(chain prefix.Chain, tokens int) int {
	return e.model.UncachedTokens(chain, tokens, func(hash prefix.Hash) bool { return e.coming[hash] > 0 })
}

func (w *world) noteTravel(sent *flight, engine *engineNode) {
	tokens := engine.uncached(sent.request.Chain, sent.request.PromptTokens)
	hits := (sent.request.PromptTokens - tokens) / prefix.BlockTokens
	sent.travelling = travel{engine: engine, tokens: tokens, blocks: sent.request.Chain[hits:]}
	engine.comingTokens += tokens
	engine.comingCount++
	for _, hash := range sent.travelling.blocks {
		engine.coming[hash]++
	}
}

// arriveTravel forgets a request that has arrived or was given up.
func (w *world) arriveTravel(sent *flight) {
	travelled := sent.travelling
	if travelled.engine == nil {
		return
	}
	sent.travelling = travel{}
	travelled.engine.comingTokens -= travelled.tokens
	travelled.engine.comingCount--
	for _, hash := range travelled.blocks {
		if travelled.engine.coming[hash]--; travelled.engine.coming[hash] == 0 {
			delete(travelled.engine.coming, hash)
		}
	}
}

// account counts what a started attempt took from the cache and what it computed.
func (w *world) account(engine *engineNode, started *flight, cachedTokens int) {
	started.outcome.CachedTokens = min(cachedTokens, started.request.PromptTokens)
	w.result.PromptTokens += started.request.PromptTokens
	w.result.CachedTokens += started.outcome.CachedTokens
	for _, hash := range started.request.Chain[started.outcome.CachedTokens/prefix.BlockTokens:] {
		if _, again := w.computed[hash]; again {
			w.result.RecomputedTokens += prefix.BlockTokens
			if w.heldElsewhere(engine, hash) {
				w.result.HeldTokens += prefix.BlockTokens
			}
		}
		w.computed[hash] = struct{}{}
	}
}

func (w *world) heldElsewhere(than *engineNode, hash prefix.Hash) bool {
	for _, engine := range w.engines {
		if engine != than && engine.up && engine.model.Holds(hash) {
			return true
		}
	}
	return false
}
