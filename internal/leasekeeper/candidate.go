package leasekeeper

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Selection of candidates.
const (
	// expectedCandidates is the mean number of daemons that try for a lease at a time.
	expectedCandidates = 5
	// redrawInterval is the mean time between a daemon's draws.
	redrawInterval = 5 * time.Second
	// minShareRatio is the lower bound of a daemon's share, relative to an equal share. Daemons with little capacity must
	// stay selectable, since all of those with much may have failed.
	minShareRatio = 0.5
)

// Candidate decides at random whether a daemon tries for a lease, so that with hundreds of daemons only a few read its
// row. Each daemon redraws from time to time. While the lease stays free, the number of candidates grows until all
// daemons try, since those drawn first may have failed.
type Candidate struct {
	// Count returns the number of daemons that may be running.
	Count func() int
	// Share returns this daemon's share of the capacity of all daemons' machines; nil means that all are equal.
	Share func() float64
	// Held reports whether this daemon holds the lease; a holder is always a candidate.
	Held func() bool
	// Growth is how long the lease must have been free until all daemons are candidates. Their number grows exponentially
	// over this time. Zero disables the growth.
	Growth time.Duration

	mutex sync.Mutex
	// draw is a random number in [0, 1); the daemon is a candidate while its probability is greater.
	draw     float64
	redrawAt time.Time
}

// Eligible reports whether the daemon tries for a lease that has just become free.
func (c *Candidate) Eligible(now time.Time) bool { return c.EligibleAfter(now, 0) }

// EligibleAfter reports whether the daemon tries for a lease that has been free for the time waited.
func (c *Candidate) EligibleAfter(now time.Time, waited time.Duration) bool {
	count := c.Count()
	if count <= expectedCandidates || c.Held() {
		return true
	}
	return c.currentDraw(now) < c.probability(count, waited)
}

// currentDraw returns the daemon's random number, redrawn if it is due.
func (c *Candidate) currentDraw(now time.Time) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.After(c.redrawAt) {
		c.redrawAt = now.Add(redrawInterval/2 + rand.N(redrawInterval))
		c.draw = rand.Float64()
	}
	return c.draw
}

// probability returns the daemon's probability of being a candidate for a lease that has been free for the time waited.
func (c *Candidate) probability(count int, waited time.Duration) float64 {
	first := expectedCandidates * c.share(count)
	if c.Growth <= 0 || waited <= 0 || first >= 1 {
		return first
	}
	return math.Pow(first, 1-min(float64(waited)/float64(c.Growth), 1))
}

// share returns the probability that one given candidate is this daemon.
func (c *Candidate) share(count int) float64 {
	equal := 1 / float64(count)
	if c.Share == nil {
		return equal
	}
	return max(c.Share(), minShareRatio*equal)
}
