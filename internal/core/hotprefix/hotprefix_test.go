package hotprefix

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/prefix"
)

func chainOf(text byte, shared, own int, unique uint64) prefix.Chain {
	chain := make(prefix.Chain, 0, shared+own)
	for block := range shared {
		chain = append(chain, prefix.Hash(uint64(text)<<32|uint64(block)))
	}
	for block := range own {
		chain = append(chain, prefix.Hash(unique<<40|uint64(text)<<32|uint64(shared+block)))
	}
	return chain
}

// A prefix that comes at a steady rate stays on top, with that rate, whatever
// number of prompts that share nothing comes between, and memory stays bounded.
func TestSteadyPrefixStaysOnTopAmongUniquePrompts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.IntRange(5, 40).Draw(t, "requests a second")
		noise := rapid.IntRange(0, 4).Draw(t, "unique prompts for each")
		tracker := New()
		now := time.Unix(1_000_000, 0)
		unique := uint64(1)
		for range perSecond * 60 {
			now = now.Add(time.Second / time.Duration(perSecond))
			tracker.Observe(now, Request{Tenant: "club", Chain: chainOf(1, 64, 8, unique)})
			for range noise {
				unique++
				tracker.Observe(now, Request{Tenant: "other", Chain: chainOf(2, 0, 32, unique)})
			}
			unique++
		}
		top := tracker.Top(now, 1)
		assert.Equal(t, top[0].Blocks, 64, "the longest shared prefix, not the shorter ones inside it")
		assert.Assert(t, math.Abs(top[0].RequestsPerSecond/float64(perSecond)-1) < 0.2, "%v", top[0])
		assert.Assert(t, len(tracker.entries) <= capacity)
	})
}
