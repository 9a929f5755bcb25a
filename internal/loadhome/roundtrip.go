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
	// firstNearTimeout, leastNearTimeout and mostNearTimeout are the same for answers from the own region: zones may be a
	// tenth of a millisecond apart, or six. Where all answers came later than they were waited for, each request would wait
	// for nothing, and know nothing of others' loads.
	firstNearTimeout = 30 * time.Millisecond
	leastNearTimeout = 10 * time.Millisecond
	mostNearTimeout  = 50 * time.Millisecond
	// newestWeight and deviationWeight are of the newest round trip in the mean and in the
	// mean deviation, and deviations how many of these an answer may take beyond the mean, as
	// in RFC 6298.
	newestWeight    = 0.125
	deviationWeight = 0.25
	deviations      = 4
	// lateFactor raises the mean deviation where no answer came in time: five in a row reach
	// the bound.
	lateFactor = 2
	// leastMargin is the least time beyond the mean.
	leastMargin = 5 * time.Millisecond
)

// tripBounds bound how long answers are waited for.
type tripBounds struct{ first, least, most time.Duration }

var (
	nearBounds = tripBounds{first: firstNearTimeout, least: leastNearTimeout, most: mostNearTimeout}
	farBounds  = tripBounds{first: firstFarTimeout, least: leastFarTimeout, most: mostFarTimeout}
)

// roundTrip learns how long answers take. It is safe for use by several goroutines.
type roundTrip struct {
	// near is set for answers from the own region.
	near            bool
	mutex           sync.Mutex
	mean, deviation time.Duration
}

func (r *roundTrip) bounds() tripBounds {
	if r.near {
		return nearBounds
	}
	return farBounds
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
		r.deviation = min(lateFactor*max(r.deviation, leastMargin/deviations), r.bounds().most/deviations)
	}
}

// timeout is how long an answer is waited for.
func (r *roundTrip) timeout() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bounds := r.bounds()
	if r.mean == 0 {
		return bounds.first
	}
	return min(max(r.mean+max(deviations*r.deviation, leastMargin), bounds.least), bounds.most)
}
