package weightupdate

import (
	"math"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// isSuspended reports whether a back end gets no orders at present. The caller holds the mutex.
func (k *Keeper) isSuspended(id identity.BackendID) bool {
	until, found := k.suspendedUntil[id]
	if found && clock.Now().After(until) {
		delete(k.suspendedUntil, id)
		return false
	}
	return found
}

func (k *Keeper) suspend(id identity.BackendID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.suspendedUntil[id] = clock.Now().Add(suspendDuration)
}

// pace limits how many back ends are updated concurrently.
type pace struct {
	// loading is the number of back ends that may load at a time. unavailable is the number that may get no new requests
	// because they load or are about to; the latter finish their requests in flight while the others load.
	loading, unavailable int
}

// pace computes the limits for a model. They are low, so that the remaining back ends can carry the load, but high
// enough to finish before the oldest weights reach their deadline. Back ends past their deadline can't begin requests,
// so all of them may be unavailable. healthy holds all back ends of the model that are neither ejected nor draining,
// and outdated those of them with older weights. The caller holds the mutex.
func (k *Keeper) pace(now time.Time, model identity.ModelName, healthy, outdated []backendpool.Holder) pace {
	reading := 0.0
	for _, holder := range healthy {
		reading += holder.Reading
	}
	share := func(divisor int) int { return max((len(healthy)+divisor/2)/divisor, 1) }
	usual := pace{loading: share(normalLoadDivisor), unavailable: share(normalLoadDivisor)}
	if reading < lowReadingTokens*float64(len(healthy)) {
		usual.unavailable = share(unavailableDivisor)
	}
	if k.options.DueBy == nil {
		return usual
	}
	expired := 0
	least := time.Duration(math.MaxInt64)
	for _, holder := range outdated {
		due := k.options.DueBy(model, holder.Version)
		if due.IsZero() {
			continue
		}
		least = min(least, due.Sub(now))
		if due.Sub(now) < k.loadTime/2 {
			expired++
		}
	}
	left := max(time.Duration(usableTimeShare*float64(least)), k.loadTime/2)
	needed := int(math.Ceil(float64(len(outdated)) * float64(k.loadTime) / float64(left)))
	loading := min(max(needed, usual.loading), share(urgentLoadDivisor))
	return pace{loading: loading, unavailable: max(usual.unavailable, loading, expired)}
}
