package leasekeeper

import (
	"sync"
	"time"
)

// lookInterval is how often it is looked whether there is work: that goes through all back
// ends.
const lookInterval = 200 * time.Millisecond

// Duty decides whether a daemon tries for a lease that is needed only while there is
// work: nobody holds it, or calls the table for it, while there is none.
type Duty struct {
	// Pending tells whether there is work.
	Pending func() bool
	// Preferred tells whether this daemon is to take the lease at once; others wait.
	Preferred func() bool
	// PreferredTimeout is how long the one that is to take the lease first has for it before others try.
	PreferredTimeout time.Duration
	// Candidate draws who tries beside it.
	Candidate *Candidate
	// HolderAnnouncedAt tells when a holder of the lease was last heard of, and LeaseLifetime after how long its lease has surely lapsed;
	// nil hears of none. More candidates try only from then on.
	HolderAnnouncedAt func() time.Time
	LeaseLifetime     time.Duration
	// Reachable tells whether any daemon reaches the table; nil takes it for reached. While none does, more candidates
	// gain nothing.
	Reachable func() bool
	// Linger is how long a holder keeps the lease after the work: the next one need not
	// wait then.
	Linger time.Duration

	mutex sync.Mutex
	// lookedAt is when it was looked last.
	lookedAt time.Time
	// since is when the present work was first seen, and last when there was any.
	since, last time.Time
	// unreached is set where no daemon reached the table at the last look, and unreachedAt is when that last was so.
	unreached   bool
	unreachedAt time.Time
}

// Eligible tells whether the daemon tries for the lease now.
func (d *Duty) Eligible(now time.Time) bool {
	held := d.Candidate.Held()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.note(now)
	switch {
	case held:
		return now.Sub(d.last) <= d.Linger
	case d.since.IsZero():
		return false
	default:
		return d.Preferred() || d.othersTry(now)
	}
}

// othersTry tells whether this daemon tries though another one is to take the lease first. The caller holds the mutex.
func (d *Duty) othersTry(now time.Time) bool {
	from := d.since.Add(d.PreferredTimeout)
	return now.After(from) && d.Candidate.EligibleAfter(now, now.Sub(d.untakenSince(now, from)))
}

// untakenSince is since when nobody takes the lease though somebody could. The caller holds the mutex.
func (d *Duty) untakenSince(now, from time.Time) time.Time {
	if d.unreached {
		return now
	}
	if d.HolderAnnouncedAt != nil {
		from = later(from, d.HolderAnnouncedAt().Add(d.LeaseLifetime))
	}
	return later(from, d.unreachedAt)
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// note looks whether there is work. The caller holds the mutex.
func (d *Duty) note(now time.Time) {
	if now.Sub(d.lookedAt) < lookInterval {
		return
	}
	d.lookedAt = now
	if !d.Pending() {
		d.since = time.Time{}
		return
	}
	d.last = now
	if d.since.IsZero() {
		d.since = now
	}
	d.unreached = d.Reachable != nil && !d.Reachable()
	if d.unreached {
		d.unreachedAt = now
	}
}
