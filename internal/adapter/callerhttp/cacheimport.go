package callerhttp

import (
	"context"

	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// importCache copies the prefix's KV cache from another engine if the scheduler
// asked for it. An import that fails costs only its time: the engine computes the
// prefix then.
func (g *generation) importCache(ctx context.Context, start scheduler.Start) {
	if start.ImportFrom == "" {
		return
	}
	blocks := start.ExpectedCachedTokens / prefix.BlockTokens
	chain := prefix.ChainOf(g.salt(), g.request.Prompt)
	if blocks < 1 || blocks > len(chain) {
		return
	}
	address := g.addressOf(start)
	if address == "" {
		return
	}
	options := g.exchange.handler.options
	ctx, cancel := context.WithTimeout(ctx, options.Limits.ImportTimeout)
	defer cancel()
	exported, err := options.Engines.ExportKV(ctx, address, chain[blocks-1])
	if err == nil {
		err = options.Engines.ImportKV(ctx, start.Backend.Address, exported)
	}
	if err != nil {
		options.Log.WithError(err).Info("A KV cache was not imported.")
	}
}

func (g *generation) addressOf(start scheduler.Start) string {
	for _, backend := range g.exchange.handler.options.Views.View().Backends {
		if backend.ID == start.ImportFrom {
			return backend.Address
		}
	}
	return ""
}
