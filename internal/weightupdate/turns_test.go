package weightupdate

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

func holdersOf(inFlight ...float64) []backendpool.Holder {
	var holders []backendpool.Holder
	for index, count := range inFlight {
		id := identity.BackendID([]string{"a", "b", "c", "d", "e"}[index])
		holders = append(holders, backendpool.Holder{Backend: backendpool.Backend{ID: id}, Version: 1, InFlight: count})
	}
	return holders
}

// TestAnnouncedTurnsAreKept checks that back ends announced as next load first even if others have fewer requests in
// flight by then: no long requests were sent to the announced ones.
func TestAnnouncedTurnsAreKept(t *testing.T) {
	holders := holdersOf(0, 9, 1, 5, 2)
	sortByTurn(holders, []identity.BackendID{"b", "d"})
	assert.DeepEqual(t, backendIDs(holders), []identity.BackendID{"d", "b", "a", "c", "e"})
}

// TestAllAreNextOnceOthersHaveNewWeights checks which back ends remain for long requests: at first some of those with
// old weights, and later only those with new weights.
func TestAllAreNextOnceOthersHaveNewWeights(t *testing.T) {
	waiting := holdersOf(0, 0, 0, 0)
	assert.Equal(t, len(selectNext(waiting, 2, 0)), 2)
	assert.Equal(t, len(selectNext(waiting, 2, 1)), 2)
	assert.Equal(t, len(selectNext(waiting, 2, 2)), 4)
	assert.Equal(t, len(selectNext(waiting[:1], 2, 0)), 1)
}
