package loadhome

import (
	"sync"
	"time"
)

const (
	// firstFarTimeout is how long an answer from another region is waited for before one was
	// heard, and leastFarTimeout and mostFarTimeout bound it after that. A request that waits
	// for answers has some hundred milliseconds left.
	firstFarTimeout = 100 * time.Millisecond
	leastFarTimeout = 15 * time.Millisecond
	mostFarTimeout  = 150 * time.Millisecond
	// newestWeight and deviationWeight are of the newest round trip in the mean and in the
	// mean deviation, and deviations how many of these an answer may take beyond the mean, as
	// in RFC 6298.
	newestWeight    = 0.125
	deviationWeight = 0.25
	deviations      = 4
	// lateFactor raises the mean deviation where no answer came in time: five in a row reach
	// mostFarTimeout.
	lateFactor = 2
	// leastMargin is the least time beyond the mean.
	leastMargin = 5 * time.Millisecond
)

// roundTrip learns how long answers from other regions take. It is safe for use by several
// goroutines.
type roundTrip struct {
	mutex           sync.Mutex
	mean, deviation time.Duration
}

// note takes in how long an answer took.
func (r *roundTrip) note(took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	r.deviation += time.Duration(deviationWeight * float64((took-r.mean).Abs()-r.deviation))
	r.mean += time.Duration(newestWeight * float64(took-r.mean))
}

// late takes in that no answer came in time. A longer way would never be learned otherwise, since
// answers that nobody waits for are dropped.
func (r *roundTrip) late() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.mean > 0 {
		r.deviation = min(lateFactor*max(r.deviation, leastMargin/deviations), mostFarTimeout/deviations)
	}
}

// timeout is how long an answer is waited for.
func (r *roundTrip) timeout() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.mean == 0 {
		return firstFarTimeout
	}
	return min(max(r.mean+max(deviations*r.deviation, leastMargin), leastFarTimeout), mostFarTimeout)
}
