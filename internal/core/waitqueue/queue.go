// Package waitqueue decides whether a request that finds all places of its service's back
// ends taken is let wait for one, and what one that is not is told. It is pure: each call
// carries the time.
package waitqueue

import (
	"math"
	"time"
)

const (
	// intervalWeight is the weight of the newest in the mean time between two grants.
	intervalWeight = 0.1
	// deviations is how many standard deviations a wait may exceed its mean and still has to
	// end in time: about one request in forty that is let wait then waits in vain.
	deviations = 2
	// quietTime without a refusal ends an overload.
	quietTime = time.Second
	// leastRetryAfter and mostRetryAfter bound what a refused request is told.
	leastRetryAfter = 250 * time.Millisecond
	mostRetryAfter  = 2 * time.Second
)

// Queue is what is known of the requests that wait for a place of one service at this
// daemon. The zero value has seen none.
type Queue struct {
	// interval is the mean time between two grants while requests waited; zero is unknown.
	interval time.Duration
	// since is when the last grant was, or when requests began to wait if that was later.
	since time.Time
	// overloadedSince and refusedAt are when the present overload began and when it was seen
	// last.
	overloadedSince, refusedAt time.Time
}

// Begin notes that requests begin to wait: none did before.
func (q *Queue) Begin(now time.Time) { q.since = now }

// Granted notes that a waiting request got a place.
func (q *Queue) Granted(now time.Time) {
	took := now.Sub(q.since)
	if q.interval == 0 {
		q.interval = took
	}
	q.interval += time.Duration(intervalWeight * float64(took-q.interval))
	q.since = now
}

// EstimateWait is how long a request with a number of others before it waits, by the mean and as
// much more as is to be reckoned with: places become free at random times.
func (q *Queue) EstimateWait(now time.Time, ahead int) time.Duration {
	interval := q.interval
	if ahead > 0 {
		interval = max(interval, now.Sub(q.since))
	}
	grants := float64(ahead + 1)
	return time.Duration((grants + deviations*math.Sqrt(grants)) * float64(interval))
}

// RetryAfter notes that a request is refused for want of a place, and says when it is to
// come back: after as long as the overload has lasted. A short peak is over soon; one that
// has lasted for a while is likely to go on for as long, and a request that comes back into
// it is refused again, or makes another one late.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	if now.Sub(q.refusedAt) > quietTime {
		q.overloadedSince = now
	}
	q.refusedAt = now
	return min(max(now.Sub(q.overloadedSince), leastRetryAfter), mostRetryAfter)
}
