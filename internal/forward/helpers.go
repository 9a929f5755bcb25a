package forward

import (
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/core/distance"
)

const (
	// helperLifetime is how long the answer of a daemon that could forward requests is relied on, and usefulTime how long
	// that daemon is asked before others.
	helperLifetime = 600 * time.Millisecond
	usefulTime     = 10 * time.Second
	// failedTime is how long a daemon is avoided after it failed to forward a request.
	failedTime = time.Second
	// zoneDistanceLoad and regionDistanceLoad are how many more requests in flight a daemon in the own zone or region may
	// have to be preferred over one in another.
	zoneDistanceLoad   = 4
	regionDistanceLoad = 40
)

// helper is a daemon that may forward requests.
type helper struct {
	// answeredAt is when it last answered that it forwards requests, and active how many it had in flight then.
	answeredAt time.Time
	active     int
	// sent is the number of requests sent through it since, and not ended yet.
	sent int
	// failedUntil is the end of the time in which it is avoided.
	failedUntil time.Time
}

// record records a reply.
func (h *helpers) record(now time.Time, received heardReply) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	found := h.known[received.from]
	if !received.Accepts || received.Reachability == ReachabilityUnknown {
		if found != nil {
			found.answeredAt = time.Time{}
		}
		return
	}
	if found == nil {
		found = &helper{}
		h.known[received.from] = found
	}
	found.answeredAt, found.active = now, received.Active
	for address, each := range h.known {
		if each.sent == 0 && now.Sub(each.answeredAt) > usefulTime && now.After(each.failedUntil) {
			delete(h.known, address)
		}
	}
}

// useful returns the daemons that were of help lately.
func (h *helpers) useful(now time.Time) map[string]bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	found := map[string]bool{}
	for address, each := range h.known {
		if now.Sub(each.answeredAt) <= usefulTime && !now.Before(each.failedUntil) {
			found[address] = true
		}
	}
	return found
}

// available returns the number of daemons that could forward a request now.
func (h *helpers) available(now time.Time) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	count := 0
	for _, each := range h.known {
		if each.isAvailable(now) {
			count++
		}
	}
	return count
}

func (h *helper) isAvailable(now time.Time) bool {
	return now.Sub(h.answeredAt) <= helperLifetime && !now.Before(h.failedUntil)
}

// acquire returns the daemon to send a request through, or an empty address if there is none. It prefers near daemons with
// few requests in flight. Release must follow.
func (h *helpers) acquire(now time.Time, exclude map[string]bool, distanceTo func(address string) distance.Distance) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	best, bestLoad := "", 0.0
	for address, each := range h.known {
		if exclude[address] || !each.isAvailable(now) {
			continue
		}
		load := float64(each.active+each.sent) + distanceLoad(distanceTo(address)) + rand.Float64()
		if best == "" || load < bestLoad {
			best, bestLoad = address, load
		}
	}
	if best != "" {
		h.known[best].sent++
	}
	return best
}

func distanceLoad(far distance.Distance) float64 {
	switch far {
	case distance.SameZone:
		return 0
	case distance.SameRegion:
		return zoneDistanceLoad
	default:
		return regionDistanceLoad
	}
}

// release ends a request that was sent through a daemon. Failed is set if the daemon didn't forward it or was lost.
func (h *helpers) release(now time.Time, address string, failed bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	found := h.known[address]
	if found == nil {
		return
	}
	found.sent = max(found.sent-1, 0)
	if failed {
		found.failedUntil = now.Add(failedTime)
	}
}
