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

// TestAnnouncedTurnsAreKept lets those load first that were told to be next, though
// others have less under way meanwhile: nothing long was placed there for their sake.
func TestAnnouncedTurnsAreKept(t *testing.T) {
	holders := holdersOf(0, 9, 1, 5, 2)
	sortByTurn(holders, []identity.BackendID{"b", "d"})
	assert.DeepEqual(t, idsOf(holders), []identity.BackendID{"d", "b", "a", "c", "e"})
}

// TestAllAreNextOnceOthersHaveNewWeights leaves long answers to back ends that are not
// next: to some of those with old weights at first, then to those with new ones alone.
func TestAllAreNextOnceOthersHaveNewWeights(t *testing.T) {
	waiting := holdersOf(0, 0, 0, 0)
	assert.Equal(t, len(next(waiting, 2, 0)), 2)
	assert.Equal(t, len(next(waiting, 2, 1)), 2)
	assert.Equal(t, len(next(waiting, 2, 2)), 4)
	assert.Equal(t, len(next(waiting[:1], 2, 0)), 1)
}
