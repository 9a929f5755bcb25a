package backendpool

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// TestNextToLeaveGetShortAnswersOnly sends long answers elsewhere while another back end
// will do, and short ones and those of unknown length as before.
func TestNextToLeaveGetShortAnswersOnly(t *testing.T) {
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
	assert.DeepEqual(t, picked(shortOutput+1), map[identity.BackendID]bool{"engine-1": true})
	assert.Equal(t, len(picked(shortOutput)), 2)
	assert.Equal(t, len(picked(0)), 2)
	assert.DeepEqual(t, picked(shortOutput+1, "engine-1"), map[identity.BackendID]bool{"engine-0": true})

	pool.SetLeaving(Leaving{Now: []uint64{rendezvous.Key("engine-1")}, Soon: []uint64{rendezvous.Key("engine-0")}})
	assert.DeepEqual(t, picked(shortOutput+1), map[identity.BackendID]bool{"engine-0": true})
}
