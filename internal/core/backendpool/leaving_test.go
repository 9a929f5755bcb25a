package backendpool

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// TestLeavingSoonGetsShortOutputOnly checks that a back end that is to leave soon gets no requests with long output
// while another one is suitable, but still gets those with short or unknown output.
func TestLeavingSoonGetsShortOutputOnly(t *testing.T) {
	pool := New("a")
	pool.Update(engines(2))
	pool.SetLeaving(Leaving{Soon: []uint64{rendezvous.Key("engine-0")}})
	picked := func(outputTokens int, exclude ...identity.BackendID) map[identity.BackendID]bool {
		found := map[identity.BackendID]bool{}
		for home := range uint64(40) {
			query := Query{Service: "llm", Model: "m", Home: home + 1, OutputTokens: outputTokens, Exclude: exclude}
			ticket := pool.Pick(start, query)
			found[ticket.Backend.ID] = true
			ticket.Release(start, ResultServed)
		}
		return found
	}
	assert.DeepEqual(t, picked(maxShortOutput+1), map[identity.BackendID]bool{"engine-1": true})
	assert.Equal(t, len(picked(maxShortOutput)), 2)
	assert.Equal(t, len(picked(0)), 2)
	assert.DeepEqual(t, picked(maxShortOutput+1, "engine-1"), map[identity.BackendID]bool{"engine-0": true})

	pool.SetLeaving(Leaving{Now: []uint64{rendezvous.Key("engine-1")}, Soon: []uint64{rendezvous.Key("engine-0")}})
	assert.DeepEqual(t, picked(maxShortOutput+1), map[identity.BackendID]bool{"engine-0": true})
}
