package rollout

import (
	"math"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// isPassedOver tells whether a back end gets no order now. The caller holds the mutex.
func (k *Keeper) isPassedOver(id identity.BackendID) bool {
	until, found := k.passedOver[id]
	if found && time.Now().After(until) {
		delete(k.passedOver, id)
		return false
	}
	return found
}

func (k *Keeper) passOver(id identity.BackendID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.passedOver[id] = time.Now().Add(passOverTime)
}

// parallel is how many back ends may load at a time: few, so that the others hold
// up, but as many as it takes to be done before those with the oldest weights may no
// longer begin requests. The caller holds the mutex.
func (k *Keeper) parallel(now time.Time, model identity.ModelName, version uint64, holders []backendpool.Holder) int {
	least := max((len(holders)+loadShare-1)/loadShare, 1)
	most := max((len(holders)+hastyShare-1)/hastyShare, 1)
	behind := 0
	for _, holder := range holders {
		if holder.Version < version && !holder.Backend.Draining {
			behind++
		}
	}
	if behind == 0 || k.options.DueBy == nil {
		return least
	}
	due := k.options.DueBy(model, holders[0].Version)
	if due.IsZero() {
		return least
	}
	left := max(time.Duration(usedShare*float64(due.Sub(now))), k.loadTime/2)
	needed := int(math.Ceil(float64(behind) * float64(k.loadTime) / float64(left)))
	return min(max(needed, least), most)
}
