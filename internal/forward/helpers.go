package forward

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/distance"
)

const (
	// proofTime is how long the answer of a daemon that reaches a back end is relied on, and usefulTime how long that daemon
	// is asked before others.
	proofTime  = time.Second
	usefulTime = 10 * time.Second
	// failedTime is how long a daemon is avoided after it failed to forward a request.
	failedTime = time.Second
	// zoneDistanceLoad and regionDistanceLoad are how many more requests in flight a daemon in the own zone or region may
	// have to be preferred over one in another.
	zoneDistanceLoad   = 4
	regionDistanceLoad = 40
)

// helper is a daemon that may forward requests.
type helper struct {
	// answeredAt is when it last answered that it reaches a back end, and active how many requests it had in flight for
	// others then.
	answeredAt time.Time
	active     int
	// reaches is when it last answered so of each back end, by the hash of the ID.
	reaches map[uint64]time.Time
	// sent is the number of requests that are in flight through it.
	sent int
	// failedUntil is the end of the time in which it is avoided.
	failedUntil time.Time
}

// helpers are the daemons that have answered lately, with what is known of them.
type helpers struct {
	mutex sync.Mutex
	known map[string]*helper
}

func newHelpers() *helpers { return &helpers{known: map[string]*helper{}} }

// record records a reply.
func (h *helpers) record(now time.Time, received receivedReply) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	found := h.known[received.from]
	if !received.Accepts || received.Reachability != Reached {
		if found != nil {
			delete(found.reaches, received.Backend)
		}
		return
	}
	if found == nil {
		h.forget(now)
		found = &helper{reaches: map[uint64]time.Time{}}
		h.known[received.from] = found
	}
	found.answeredAt, found.active = now, received.Active
	found.reaches[received.Backend] = now
	maps.DeleteFunc(found.reaches, func(_ uint64, at time.Time) bool { return now.Sub(at) > proofTime })
}

// forget drops daemons that haven't been of help for long. The caller holds the mutex.
func (h *helpers) forget(now time.Time) {
	maps.DeleteFunc(h.known, func(_ string, each *helper) bool {
		return each.sent == 0 && now.Sub(each.answeredAt) > usefulTime && now.After(each.failedUntil)
	})
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

// acquire returns the daemon to send a request for a back end through, or an empty address if none is known to reach it. It
// prefers near daemons with few requests in flight. Release must follow.
func (h *helpers) acquire(now time.Time, backend uint64, exclude map[string]bool, distanceTo func(address string) distance.Distance) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	best, bestLoad := "", 0.0
	for address, each := range h.known {
		if exclude[address] || now.Sub(each.reaches[backend]) > proofTime || now.Before(each.failedUntil) {
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

// end is how a request that was sent through a daemon ended.
type end int

const (
	// endForwarded means that the daemon passed on an answer, or the back end's lack of one.
	endForwarded end = iota
	// endUnreached means that the daemon doesn't reach the back end.
	endUnreached
	// endFailed means that the daemon refused the request or was lost.
	endFailed
)

// release ends a request that was sent through a daemon.
func (h *helpers) release(now time.Time, address string, backend uint64, ended end) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	found := h.known[address]
	if found == nil {
		return
	}
	found.sent = max(found.sent-1, 0)
	switch ended {
	case endUnreached:
		delete(found.reaches, backend)
	case endFailed:
		found.failedUntil = now.Add(failedTime)
	}
}
