package weightupdate

import (
	"cmp"
	"slices"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// soundOf returns the back ends that are neither doubted nor leaving for good.
func soundOf(holders []backendpool.Holder) []backendpool.Holder {
	return slices.DeleteFunc(holders, func(holder backendpool.Holder) bool {
		return holder.Ejected || holder.Backend.Draining
	})
}

// behindOf returns a copy of the back ends that hold an older version.
func behindOf(holders []backendpool.Holder, version uint64) []backendpool.Holder {
	return slices.DeleteFunc(slices.Clone(holders), func(holder backendpool.Holder) bool { return holder.Version >= version })
}

// next are those of the waiting back ends that are to get short answers only: as many
// as leave at a time, or all once as many have new weights and take the long ones.
func next(waiting []backendpool.Holder, leaving, newer int) []backendpool.Holder {
	if newer >= leaving {
		return waiting
	}
	return waiting[:min(leaving, len(waiting))]
}

func idsOf(holders []backendpool.Holder) []identity.BackendID {
	ids := make([]identity.BackendID, len(holders))
	for index, holder := range holders {
		ids[index] = holder.Backend.ID
	}
	return ids
}

// sortByTurn puts those first that were told to be next, and of equals those with the
// least under way.
func sortByTurn(holders []backendpool.Holder, told []identity.BackendID) {
	turns := make(map[identity.BackendID]int, len(told))
	for _, id := range told {
		turns[id] = -1
	}
	slices.SortStableFunc(holders, func(left, right backendpool.Holder) int {
		return cmp.Or(
			cmp.Compare(turns[left.Backend.ID], turns[right.Backend.ID]),
			cmp.Compare(left.InFlight, right.InFlight),
		)
	})
}
