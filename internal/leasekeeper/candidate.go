package leasekeeper

import (
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
// daemons only a few read its row. Each draws lots anew from time to time, so that
// there are candidates whichever daemons are gone.
type Candidate struct {
	// Count returns how many daemons there may be.
	Count func() int
	// Share returns this daemon's part of the room that all daemons' machines have; nil takes all
	// for equal.
	Share func() float64
	// Held tells whether this daemon holds the lease; a holder stays a candidate.
	Held func() bool

	mutex  sync.Mutex
	drawn  bool
	redraw time.Time
}

// Eligible tells whether the daemon tries for the lease now.
func (c *Candidate) Eligible(now time.Time) bool {
	count := c.Count()
	if count <= expectedCandidates || c.Held() {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.After(c.redraw) {
		c.redraw = now.Add(candidateTime/2 + rand.N(candidateTime))
		c.drawn = rand.Float64() < expectedCandidates*c.share(count)
	}
	return c.drawn
}

// share is the chance of one candidate's lot.
func (c *Candidate) share(count int) float64 {
	equal := 1 / float64(count)
	if c.Share == nil {
		return equal
	}
	return max(c.Share(), leastShare*equal)
}
