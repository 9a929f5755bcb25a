package loadhome

import (
	"sync"
	"time"
)

const (
	// initialOtherRegionTimeout is the timeout for answers from another region before any was received. Later
	// timeouts stay between minOtherRegionTimeout and maxOtherRegionTimeout, because a waiting request has only
	// some hundred milliseconds left.
	initialOtherRegionTimeout = 100 * time.Millisecond
	minOtherRegionTimeout     = 15 * time.Millisecond
	maxOtherRegionTimeout     = 150 * time.Millisecond
	// initialSameRegionTimeout, minSameRegionTimeout and maxSameRegionTimeout are the same for answers from this
	// region, whose zones may be 0.1 ms or 6 ms apart. If every answer missed its timeout, each request would wait
	// in vain and know none of the other daemons' loads.
	initialSameRegionTimeout = 30 * time.Millisecond
	minSameRegionTimeout     = 10 * time.Millisecond
	maxSameRegionTimeout     = 50 * time.Millisecond
	// meanWeight and deviationWeight are the weights of the newest round trip in the moving averages of round
	// trips and of their deviations. An answer may take deviationMultiplier mean deviations longer than the mean,
	// as in RFC 6298.
	meanWeight          = 0.125
	deviationWeight     = 0.25
	deviationMultiplier = 4
	// timeoutFactor multiplies the mean deviation after a timeout: five in a row reach the upper bound.
	timeoutFactor = 2
	// minMargin is the minimum by which the timeout exceeds the mean.
	minMargin = 5 * time.Millisecond
)

// timeoutBounds holds the initial timeout and the range of later ones.
type timeoutBounds struct{ initial, minimum, maximum time.Duration }

var (
	sameRegionBounds  = timeoutBounds{initial: initialSameRegionTimeout, minimum: minSameRegionTimeout, maximum: maxSameRegionTimeout}
	otherRegionBounds = timeoutBounds{initial: initialOtherRegionTimeout, minimum: minOtherRegionTimeout, maximum: maxOtherRegionTimeout}
)

// rttEstimator estimates round-trip times and derives timeouts from them. It is safe for concurrent use.
type rttEstimator struct {
	// sameRegion is set if the answers come from this daemon's region.
	sameRegion      bool
	mutex           sync.Mutex
	mean, deviation time.Duration
}

func (r *rttEstimator) bounds() timeoutBounds {
	if r.sameRegion {
		return sameRegionBounds
	}
	return otherRegionBounds
}

// record adds a measured round trip.
func (r *rttEstimator) record(took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	r.deviation += time.Duration(deviationWeight * float64((took-r.mean).Abs()-r.deviation))
	r.mean += time.Duration(meanWeight * float64(took-r.mean))
}

// recordTimeout widens the timeout after an answer did not arrive in time. Late answers are dropped unmeasured, so
// an increased latency would never be learned otherwise.
func (r *rttEstimator) recordTimeout() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.mean > 0 {
		r.deviation = min(timeoutFactor*max(r.deviation, minMargin/deviationMultiplier), r.bounds().maximum/deviationMultiplier)
	}
}

// timeout returns how long to wait for an answer.
func (r *rttEstimator) timeout() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bounds := r.bounds()
	if r.mean == 0 {
		return bounds.initial
	}
	return min(max(r.mean+max(deviationMultiplier*r.deviation, minMargin), bounds.minimum), bounds.maximum)
}
