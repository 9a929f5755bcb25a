package weightupdate

import (
	"cmp"
	"slices"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// healthyHolders returns the back ends that are neither ejected nor draining. It modifies its argument.
func healthyHolders(holders []backendpool.Holder) []backendpool.Holder {
	return slices.DeleteFunc(holders, func(holder backendpool.Holder) bool {
		return holder.Ejected || holder.Backend.Draining
	})
}

// outdatedHolders returns a copy of the back ends that hold an older version.
func outdatedHolders(holders []backendpool.Holder, version uint64) []backendpool.Holder {
	return slices.DeleteFunc(slices.Clone(holders), func(holder backendpool.Holder) bool { return holder.Version >= version })
}

// selectNext returns the waiting back ends that get short requests only: as many as become unavailable at a time, or
// all of them once as many back ends have new weights and can take the long requests.
func selectNext(waiting []backendpool.Holder, leaving, newer int) []backendpool.Holder {
	if newer >= leaving {
		return waiting
	}
	return waiting[:min(leaving, len(waiting))]
}

func backendIDs(holders []backendpool.Holder) []identity.BackendID {
	ids := make([]identity.BackendID, len(holders))
	for index, holder := range holders {
		ids[index] = holder.Backend.ID
	}
	return ids
}

// sortByTurn sorts back ends that were announced as next first, and by requests in flight within both groups.
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
