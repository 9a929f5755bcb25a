package leasekeeper

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Candidates.
const (
	// expectedCandidates is about how many daemons try for a lease at a time.
	expectedCandidates = 5
	// candidateTime is how long a daemon stays, or doesn't stay, a candidate.
	candidateTime = 5 * time.Second
	// leastShare of an equal lot is what daemons with little room get: those with much may all be
	// gone.
	leastShare = 0.5
)

// Candidate decides whether a daemon tries for a lease, so that with hundreds of
// daemons only a few read its row. Each draws lots anew from time to time. While nobody takes the lease more and more of
// them try, in the end all, since those that were drawn may be gone.
type Candidate struct {
	// Count returns how many daemons there may be.
	Count func() int
	// Share returns this daemon's part of the room that all daemons' machines have; nil takes all
	// for equal.
	Share func() float64
	// Held tells whether this daemon holds the lease; a holder stays a candidate.
	Held func() bool
	// Growth is how long nobody must have taken the lease until all daemons are candidates: their number grows by the same
	// factor in each part of it. Zero leaves them as few as at first.
	Growth time.Duration

	mutex sync.Mutex
	// lot is between 0 and 1; the daemon is a candidate while its chance is greater.
	lot    float64
	redraw time.Time
}

// Eligible tells whether the daemon tries for a lease that has just become free.
func (c *Candidate) Eligible(now time.Time) bool { return c.EligibleAfter(now, 0) }

// EligibleAfter tells whether the daemon tries for a lease that nobody has taken for a time.
func (c *Candidate) EligibleAfter(now time.Time, waited time.Duration) bool {
	count := c.Count()
	if count <= expectedCandidates || c.Held() {
		return true
	}
	return c.drawn(now) < c.chance(count, waited)
}

// drawn returns the daemon's lot.
func (c *Candidate) drawn(now time.Time) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.After(c.redraw) {
		c.redraw = now.Add(candidateTime/2 + rand.N(candidateTime))
		c.lot = rand.Float64()
	}
	return c.lot
}

// chance is the daemon's chance of being a candidate once nobody has taken the lease for a time.
func (c *Candidate) chance(count int, waited time.Duration) float64 {
	first := expectedCandidates * c.share(count)
	if c.Growth <= 0 || waited <= 0 || first >= 1 {
		return first
	}
	return math.Pow(first, 1-min(float64(waited)/float64(c.Growth), 1))
}

// share is the chance of one candidate's lot.
func (c *Candidate) share(count int) float64 {
	equal := 1 / float64(count)
	if c.Share == nil {
		return equal
	}
	return max(c.Share(), leastShare*equal)
}
