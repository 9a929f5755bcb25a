package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/hotprefix"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// Of the requests that share a hot prefix, those that wait are counted, and not
// those that run or that have another prefix.
func TestHotPrefixesCountTheirWaitingRequests(t *testing.T) {
	loop := startLoop(t)
	prompt := make([]byte, 16*prefix.BlockBytes)
	shared := prefix.ChainOf(1, prompt)
	other := prefix.ChainOf(2, prompt)
	loop.Call(func(now time.Time) {
		for id, chain := range map[identity.RequestID]prefix.Chain{"a": shared, "b": shared, "running": shared, "other": other} {
			loop.state.usage.arrive(now, scheduler.Request{ID: id, Chain: chain})
			loop.state.hot.Observe(now, hotprefix.Request{Chain: chain})
		}
		loop.state.usage.start("running", "engine-1")
	})
	hot := loop.HotPrefixes(2)
	assert.Equal(t, len(hot), 2)
	assert.Equal(t, hot[0].Hash, shared[15]) // the hottest
	assert.Equal(t, hot[0].Waiting, 2)
	assert.Equal(t, hot[1].Waiting, 1)
}
