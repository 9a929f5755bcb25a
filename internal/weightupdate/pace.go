package weightupdate

import (
	"math"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// isPassedOver tells whether a back end gets no order now. The caller holds the mutex.
func (k *Keeper) isPassedOver(id identity.BackendID) bool {
	until, found := k.passedOver[id]
	if found && clock.Now().After(until) {
		delete(k.passedOver, id)
		return false
	}
	return found
}

func (k *Keeper) passOver(id identity.BackendID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.passedOver[id] = clock.Now().Add(passOverTime)
}

// pace is how many back ends are brought to new weights at a time.
type pace struct {
	// loading is how many load, and out how many get no new requests since they load or
	// are about to: what is under way at those ends while the others load.
	loading, out int
}

// pace is slow, so that the others hold up, but fast enough to be done before those
// with the oldest weights may no longer begin requests. Back ends that may not any more
// are no loss. Sound are all back ends of the model that are neither doubted nor leaving,
// and behind those of them with older weights. The caller holds the mutex.
func (k *Keeper) pace(now time.Time, model identity.ModelName, sound, behind []backendpool.Holder) pace {
	reading := 0.0
	for _, holder := range sound {
		reading += holder.Reading
	}
	share := func(divisor int) int { return max((len(sound)+divisor/2)/divisor, 1) }
	usual := pace{loading: share(loadShare), out: share(loadShare)}
	if reading < calmReading*float64(len(sound)) {
		usual.out = share(outShare)
	}
	if k.options.DueBy == nil {
		return usual
	}
	useless := 0
	least := time.Duration(math.MaxInt64)
	for _, holder := range behind {
		due := k.options.DueBy(model, holder.Version)
		if due.IsZero() {
			continue
		}
		least = min(least, due.Sub(now))
		if due.Sub(now) < k.loadTime/2 {
			useless++
		}
	}
	left := max(time.Duration(usedShare*float64(least)), k.loadTime/2)
	needed := int(math.Ceil(float64(len(behind)) * float64(k.loadTime) / float64(left)))
	loading := min(max(needed, usual.loading), share(hastyShare))
	return pace{loading: loading, out: max(usual.out, loading, useless)}
}
