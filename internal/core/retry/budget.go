// Package retry limits retries to a share of the requests, so that failing back
// ends do not multiply the load. It is pure: each call carries the time.
package retry

import "time"

// slots is the number of parts that the window is counted in.
const slots = 10

// Limits says how many retries a Budget allows.
type Limits struct {
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Ratio is the share of the window's requests that may be retries.
	Ratio float64
	// Floor is the number of retries that a window always allows.
	Floor int
}

// DefaultLimits allow one retry for five requests of the last ten seconds, and
// always ten.
func DefaultLimits() Limits {
	return Limits{Window: 10 * time.Second, Ratio: 0.2, Floor: 10}
}

// count is what happened in one slot of the window.
type count struct {
	slot     int64
	requests int
	retries  int
}

// Budget counts requests and retries over a sliding window. It is not safe for
// use by several goroutines at once.
type Budget struct {
	limits Limits
	// origin is the time of the first call. Slots count from it, so that steps of
	// the time of day change nothing.
	origin time.Time
	counts [slots]count
}

// NewBudget makes an empty budget.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits}
}

// SetFloor changes the number of retries that a window always allows.
func (b *Budget) SetFloor(floor int) {
	b.limits.Floor = floor
}

// Request counts a request's first attempt.
func (b *Budget) Request(now time.Time) {
	b.current(now).requests++
}

// TryRetry takes one retry from the budget. It returns false, and takes nothing,
// when the budget is spent.
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
	// Slots count from 1, so that an empty count is never taken for the present.
	return int64(now.Sub(b.origin)/width) + 1
}

// current returns the count of the present slot, emptied if it was of an older turn.
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
