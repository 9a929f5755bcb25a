package rollout

import (
	"cmp"
	"slices"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// soundOf returns the back ends that are neither doubted nor leaving for good.
func soundOf(holders []backendpool.Holder) []backendpool.Holder {
	return slices.DeleteFunc(holders, func(holder backendpool.Holder) bool {
		return holder.Doubted || holder.Backend.Draining
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

// compareTurns puts those first that were told to be next, and of equals those with
// the least under way. The caller holds the mutex.
func (k *Keeper) compareTurns(left, right backendpool.Holder) int {
	turn := func(holder backendpool.Holder) int {
		if slices.Contains(k.plan.Next, holder.Backend.ID) {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(turn(left), turn(right)), cmp.Compare(left.InFlight, right.InFlight))
}
