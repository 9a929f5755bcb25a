// Package linkhealth judges a daemon's own network links to the back ends. A failed connection means either that the back
// end has failed or that the link to it has; the answer of another daemon that reaches the back end tells which. It
// performs no I/O and reads no clock: every call is passed the current time.
package linkhealth

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// isolationLinks is how many links must be down, with nothing received on any other since, for the daemon to count as
	// isolated. With fewer back ends, all of their links must be.
	isolationLinks = 3
	// suspicionLinks is how many links must have failed in the same way for it to be uncertain whether back ends have
	// failed.
	suspicionLinks = 2
	// impairedShare is the share of links down from which a daemon counts as unfit for duties that concern all back ends.
	impairedShare = 0.5
	// recheckInterval is the interval of checks of one link that is down, and maxRechecks bounds the checks that are due at
	// a time.
	recheckInterval = 250 * time.Millisecond
	maxRechecks     = 8
	// seriesTime is how long after a link went down other links are in doubt.
	seriesTime = 3 * time.Second
	// unusedTime is after how long the state of a link is dropped if nothing uses it.
	unusedTime = 10 * time.Second
)

// link is the state of the link to one address that doesn't work, or did not lately.
type link struct {
	// failedSince is the start of the first failed attempt since the last success, failedAt that of the last one.
	failedSince, failedAt time.Time
	// down is set once another daemon has reached the back end.
	down bool
	// checkedAt is the start of the last check, and usedAt when the link was last needed.
	checkedAt, usedAt time.Time
}

// Tracker tracks the links of one daemon. It is safe for concurrent use. Create it with New.
type Tracker struct {
	mutex sync.Mutex
	// links holds the links that don't work, by address.
	links map[string]*link
	// connectedAt is when a connection to an address was last made. It is kept for unusedTime.
	connectedAt map[string]time.Time
	// lastActivityAt is when data last arrived from a back end directly.
	lastActivityAt time.Time
	// total is the number of links.
	total int
	// lastDownAt is when the last link went down. checked holds the links that were checked since the first one of the
	// series did.
	lastDownAt time.Time
	checked    map[string]bool
}

// New returns a tracker whose links all work.
func New() *Tracker {
	return &Tracker{links: map[string]*link{}, connectedAt: map[string]time.Time{}, checked: map[string]bool{}}
}

// SetTotal sets the number of back ends that there are.
func (t *Tracker) SetTotal(total int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.total = total
}

// RecordActivity records that data arrived from an address directly. On a connection that was open before, it doesn't prove
// that new ones can be made.
func (t *Tracker) RecordActivity(now time.Time, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lastActivityAt = now
	if found := t.links[address]; found != nil && !found.down {
		delete(t.links, address)
	}
}

// ActiveSince reports whether data arrived from any back end directly after a time.
func (t *Tracker) ActiveSince(since time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.lastActivityAt.After(since)
}

// Connected records that a connection to an address was made. It returns true if the link was down.
func (t *Tracker) Connected(now time.Time, address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.connectedAt[address] = now
	t.lastActivityAt = now
	if t.inSeries(now) {
		t.checked[address] = true
	}
	found := t.links[address]
	delete(t.links, address)
	return found != nil && found.down
}

// ConnectedSince reports whether a connection to an address was made after a time, at most unusedTime ago.
func (t *Tracker) ConnectedSince(since time.Time, address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.connectedAt[address].After(since)
}

// Failed records an attempt to connect that failed, with the time of its start.
func (t *Tracker) Failed(startedAt time.Time, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.links[address]
	if found == nil {
		found = &link{failedSince: startedAt, usedAt: startedAt}
		t.links[address] = found
	}
	found.failedAt = later(found.failedAt, startedAt)
}

// ReachedElsewhere records that another daemon reaches an address to which an attempt has failed here. It returns true if
// the link wasn't known to be down.
func (t *Tracker) ReachedElsewhere(now time.Time, address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.links[address]
	if found == nil || found.down {
		return false // it has worked again in the meantime, or is known
	}
	found.down, found.checkedAt, found.usedAt = true, now, now
	if !t.inSeries(now) {
		clear(t.checked)
	}
	t.lastDownAt = now
	return true
}

// inSeries reports whether links went down lately. The caller holds the mutex.
func (t *Tracker) inSeries(now time.Time) bool {
	return !t.lastDownAt.IsZero() && now.Sub(t.lastDownAt) <= seriesTime
}

// ClaimCheck reports whether the caller is to check the link to an address before it is used: links went down lately, and this
// one has not been checked since, so that an open connection may be silent as well. It returns true once for each link.
func (t *Tracker) ClaimCheck(now time.Time, address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.inSeries(now) || t.checked[address] {
		return false
	}
	t.checked[address] = true
	return true
}

// IsDown reports whether requests to an address must take another path.
func (t *Tracker) IsDown(now time.Time, address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.links[address]
	if found != nil {
		found.usedAt = now
	}
	return (found != nil && found.down) || t.isolated()
}

// Isolated reports whether the daemon reaches no back end although other daemons do.
func (t *Tracker) Isolated() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.isolated()
}

func (t *Tracker) isolated() bool {
	down := 0
	for _, each := range t.links {
		if each.down && each.failedAt.After(t.lastActivityAt) {
			down++
		}
	}
	return down > 0 && down >= min(isolationLinks, t.total)
}

// Uncertain reports whether several links have failed with nothing received since, so that a back end that can't be reached
// need not have failed.
func (t *Tracker) Uncertain() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	failed := 0
	for _, each := range t.links {
		if each.failedSince.After(t.lastActivityAt) {
			failed++
		}
	}
	return failed >= suspicionLinks
}

// HasFailed reports whether the last attempt to connect to an address failed.
func (t *Tracker) HasFailed(address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.links[address] != nil
}

// Impaired reports whether the daemon is isolated or many of its links are down.
func (t *Tracker) Impaired() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.isolated() || (t.total > 0 && float64(t.down()) >= impairedShare*float64(t.total))
}

// Down returns the number of links that are down.
func (t *Tracker) Down() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.down()
}

func (t *Tracker) down() int {
	count := 0
	for _, each := range t.links {
		if each.down {
			count++
		}
	}
	return count
}

// TakeDueChecks returns the addresses whose links are to be checked now, those first that were checked longest ago.
func (t *Tracker) TakeDueChecks(now time.Time) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.connectedAt, func(_ string, at time.Time) bool { return now.Sub(at) > unusedTime })
	var due []string
	for address, each := range t.links {
		if now.Sub(each.usedAt) > unusedTime {
			delete(t.links, address)
			continue
		}
		if each.down && now.Sub(each.checkedAt) >= recheckInterval {
			due = append(due, address)
		}
	}
	slices.SortFunc(due, func(left, right string) int {
		return cmp.Or(t.links[left].checkedAt.Compare(t.links[right].checkedAt), cmp.Compare(left, right))
	})
	due = due[:min(len(due), maxRechecks)]
	for _, address := range due {
		t.links[address].checkedAt = now
	}
	return due
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}
