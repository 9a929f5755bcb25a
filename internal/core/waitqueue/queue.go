// Package waitqueue estimates how long a request waits when all slots of its service's backends
// are in use, and the Retry-After of a request that is rejected instead. It reads no clock;
// callers pass the current time.
package waitqueue

import (
	"math"
	"time"
)

const (
	// intervalWeight is the weight of the newest sample in the moving average of the time between
	// grants.
	intervalWeight = 0.1
	// waitDeviations is the number of standard deviations that the estimate adds to the mean wait.
	// With 2, about one in forty admitted requests waits in vain.
	waitDeviations = 2
	// overloadQuietTime is the time without a rejection after which an overload has ended.
	overloadQuietTime = time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of a rejected request.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Queue tracks the requests that wait at this daemon for a slot of one service. The zero value is
// an empty queue.
type Queue struct {
	// interval is the mean time between two grants while requests are waiting; zero is unknown.
	interval time.Duration
	// lastGrant is the time of the last grant, or the time at which requests began to wait if that is
	// later.
	lastGrant time.Time
	// overloadedSince is the start of the current overload, and refusedAt the time of the latest
	// rejection.
	overloadedSince, refusedAt time.Time
}

// Begin records that the queue becomes non-empty.
func (q *Queue) Begin(now time.Time) { q.lastGrant = now }

// Granted records that a waiting request got a slot.
func (q *Queue) Granted(now time.Time) {
	took := now.Sub(q.lastGrant)
	if q.interval == 0 {
		q.interval = took
	}
	q.interval += time.Duration(intervalWeight * float64(took-q.interval))
	q.lastGrant = now
}

// EstimateWait returns the wait of a request with the given number of requests ahead of it: the
// mean plus a margin of waitDeviations, since slots become free at random times.
func (q *Queue) EstimateWait(now time.Time, ahead int) time.Duration {
	interval := q.interval
	if ahead > 0 {
		interval = max(interval, now.Sub(q.lastGrant))
	}
	grants := float64(ahead + 1)
	return time.Duration((grants + waitDeviations*math.Sqrt(grants)) * float64(interval))
}

// RetryAfter records a rejection for lack of a slot and returns when the client should retry:
// after as long as the overload has lasted so far. A short peak ends soon, while a long overload
// is likely to continue for as long again, and a request that returns during it is rejected again
// or delays another one.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	if now.Sub(q.refusedAt) > overloadQuietTime {
		q.overloadedSince = now
	}
	q.refusedAt = now
	return min(max(now.Sub(q.overloadedSince), minRetryAfter), maxRetryAfter)
}
