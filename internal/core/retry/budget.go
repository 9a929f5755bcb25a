// Package retry limits retries to a fraction of the requests, so that failing backends do not
// cause a retry storm. It reads no clock; callers pass the current time.
package retry

import "time"

// slots is the number of buckets into which the sliding window is divided.
const slots = 10

// Limits configures a Budget.
type Limits struct {
	// Window is the period over which requests and retries are counted.
	Window time.Duration
	// Ratio is the number of retries allowed per request in the window.
	Ratio float64
	// Floor is the number of retries allowed per window regardless of the number of requests.
	Floor int
}

// DefaultLimits allows one retry per five requests of the last ten seconds, plus ten retries
// regardless of load.
func DefaultLimits() Limits {
	return Limits{Window: 10 * time.Second, Ratio: 0.2, Floor: 10}
}

// count holds the totals of one slot of the window.
type count struct {
	slot     int64
	requests int
	retries  int
}

// Budget counts requests and retries over a sliding window. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// origin is the time of the first call. Slots are numbered from it, so that changes of the wall
	// clock have no effect.
	origin time.Time
	counts [slots]count
}

// NewBudget returns an empty budget.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits}
}

// SetFloor sets the number of retries allowed per window regardless of the number of requests.
func (b *Budget) SetFloor(floor int) {
	b.limits.Floor = floor
}

// Request records the first attempt of a request.
func (b *Budget) Request(now time.Time) {
	b.current(now).requests++
}

// TryRetry consumes one retry from the budget. It returns false and consumes nothing if the budget
// is exhausted.
func (b *Budget) TryRetry(now time.Time) bool {
	requests, retries := b.totals(now)
	allowed := b.limits.Floor + int(b.limits.Ratio*float64(requests))
	if retries >= allowed {
		return false
	}
	b.current(now).retries++
	return true
}

func (b *Budget) slotAt(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	width := max(b.limits.Window/slots, 1)
	// Slots are numbered from 1, so that a zero count is never mistaken for the current slot.
	return int64(now.Sub(b.origin)/width) + 1
}

// current returns the count of the current slot, reset if it belongs to an earlier window.
func (b *Budget) current(now time.Time) *count {
	slot := b.slotAt(now)
	found := &b.counts[slot%slots]
	if found.slot != slot {
		*found = count{slot: slot}
	}
	return found
}

func (b *Budget) totals(now time.Time) (requests, retries int) {
	oldest := b.slotAt(now) - slots + 1
	for _, found := range b.counts {
		if found.slot < oldest {
			continue
		}
		requests += found.requests
		retries += found.retries
	}
	return requests, retries
}
