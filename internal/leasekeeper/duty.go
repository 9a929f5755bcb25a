package leasekeeper

import (
	"sync"
	"time"
)

// checkInterval is how often Duty checks whether there is work. A check iterates over all back ends.
const checkInterval = 200 * time.Millisecond

// Duty decides whether a daemon tries for a lease that is needed only while there is work. While there is none, no
// daemon holds the lease or calls the table for it.
type Duty struct {
	// Pending reports whether there is work.
	Pending func() bool
	// Preferred reports whether this daemon is the preferred holder, which tries at once; the others wait for
	// PreferredTimeout.
	Preferred func() bool
	// PreferredTimeout is how long the preferred holder has to take the lease before other daemons try.
	PreferredTimeout time.Duration
	// Candidate selects the daemons that try besides the preferred holder.
	Candidate *Candidate
	// HolderAnnouncedAt returns when a holder of the lease last announced itself, and LeaseLifetime is the time after
	// which its lease has certainly expired. The number of candidates grows only from then on. Nil means that
	// announcements are not known.
	HolderAnnouncedAt func() time.Time
	LeaseLifetime     time.Duration
	// Reachable reports whether any daemon reaches the table; nil means that it is always reachable. While none does, more
	// candidates would gain nothing.
	Reachable func() bool
	// Impaired reports whether this daemon could do only part of the work; nil means never. It then tries only once all
	// others have had ImpairedTimeout longer than PreferredTimeout, and releases the lease before that.
	Impaired        func() bool
	ImpairedTimeout time.Duration
	// Linger is how long a holder keeps the lease after the work has ended, so that new work need not wait for a holder.
	Linger time.Duration

	mutex sync.Mutex
	// checkedAt is the time of the last check.
	checkedAt time.Time
	// pendingSince is when the current work was first seen (zero if there is none), and lastPendingAt when any was last
	// seen.
	pendingSince, lastPendingAt time.Time
	// unreachable is set if no daemon reached the table at the last check; lastUnreachableAt is the last such check.
	unreachable       bool
	lastUnreachableAt time.Time
}

// Eligible reports whether the daemon tries for the lease now.
func (d *Duty) Eligible(now time.Time) bool {
	held := d.Candidate.Held()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh(now)
	switch {
	case d.Impaired != nil && d.Impaired() && now.Before(d.pendingSince.Add(d.PreferredTimeout+d.ImpairedTimeout)):
		return false
	case held:
		return now.Sub(d.lastPendingAt) <= d.Linger
	case d.pendingSince.IsZero():
		return false
	default:
		return d.Preferred() || d.eligibleAsBackup(now)
	}
}

// eligibleAsBackup reports whether this daemon tries although another one is the preferred holder. The caller holds the
// mutex.
func (d *Duty) eligibleAsBackup(now time.Time) bool {
	from := d.pendingSince.Add(d.PreferredTimeout)
	return now.After(from) && d.Candidate.EligibleAfter(now, now.Sub(d.availableSince(now, from)))
}

// availableSince returns the time since when the lease has been free although a daemon could have taken it. The caller
// holds the mutex.
func (d *Duty) availableSince(now, from time.Time) time.Time {
	if d.unreachable {
		return now
	}
	if d.HolderAnnouncedAt != nil {
		from = latest(from, d.HolderAnnouncedAt().Add(d.LeaseLifetime))
	}
	return latest(from, d.lastUnreachableAt)
}

func latest(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// refresh checks whether there is work, at most once per checkInterval. The caller holds the mutex.
func (d *Duty) refresh(now time.Time) {
	if now.Sub(d.checkedAt) < checkInterval {
		return
	}
	d.checkedAt = now
	if !d.Pending() {
		d.pendingSince = time.Time{}
		return
	}
	d.lastPendingAt = now
	if d.pendingSince.IsZero() {
		d.pendingSince = now
	}
	d.unreachable = d.Reachable != nil && !d.Reachable()
	if d.unreachable {
		d.lastUnreachableAt = now
	}
}
