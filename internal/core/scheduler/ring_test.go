package scheduler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// TestHashRingMovesOnlyItsOwnKeys removes a member: only keys that it was first
// for get another first member, with few members and with many.
func TestHashRingMovesOnlyItsOwnKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{2, 10, 400}).Draw(t, "members")
		var ring hashRing
		members := make([]*backendState, count)
		for index := range members {
			members[index] = &backendState{key: rendezvous.Key(fmt.Sprint("engine-", index))}
			ring.add(members[index])
		}
		gone := members[rapid.IntRange(0, count-1).Draw(t, "gone")]
		before := map[uint64]*backendState{}
		for range 50 {
			key := rapid.Uint64().Draw(t, "key")
			before[key] = ring.top(key)[0]
		}
		ring.remove(gone)
		for key, first := range before {
			if first != gone {
				assert.Equal(t, ring.top(key)[0], first)
			}
		}
	})
}
