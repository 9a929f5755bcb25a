package leasekeeper

import (
	"sync"
	"time"
)

// lookInterval is how often it is looked whether there is work: that goes through all back
// ends.
const lookInterval = 200 * time.Millisecond

// candidatePatience is how long the daemon that is to take the lease first has for it
// before others try.
const candidatePatience = time.Second

// Duty decides whether a daemon tries for a lease that is needed only while there is
// work: nobody holds it, or calls the table for it, while there is none.
type Duty struct {
	// Pending tells whether there is work.
	Pending func() bool
	// First tells whether this daemon is to take the lease at once; others wait.
	First func() bool
	// Candidate draws who tries beside it.
	Candidate *Candidate
	// Linger is how long a holder keeps the lease after the work: the next one need not
	// wait then.
	Linger time.Duration

	mutex sync.Mutex
	// lookedAt is when it was looked last.
	lookedAt time.Time
	// since is when the present work was first seen, and last when there was any.
	since, last time.Time
}

// Eligible tells whether the daemon tries for the lease now.
func (d *Duty) Eligible(now time.Time) bool {
	held := d.Candidate.Held()
	since, last := d.note(now)
	switch {
	case held:
		return now.Sub(last) <= d.Linger
	case since.IsZero():
		return false
	default:
		return d.First() || (now.Sub(since) > candidatePatience && d.Candidate.Eligible(now))
	}
}

// note looks whether there is work.
func (d *Duty) note(now time.Time) (since, last time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now.Sub(d.lookedAt) < lookInterval {
		return d.since, d.last
	}
	d.lookedAt = now
	pending := d.Pending()
	switch {
	case !pending:
		d.since = time.Time{}
	case d.since.IsZero():
		d.since = now
	}
	if pending {
		d.last = now
	}
	return d.since, d.last
}
