// Package presence tracks which other daemons were heard recently and which do not answer.
package presence

import (
	"sync"
	"time"
)

const (
	// windowPerDaemon times the number of daemons is the time within which a daemon must have been heard to
	// count as present. It is three times as long as it takes until each daemon has reported its load to all
	// others, to twelve of them ten times a second. The result is at least minWindow, since daemons without
	// load report less often, and at most maxWindow.
	windowPerDaemon = 25 * time.Millisecond
	minWindow       = 800 * time.Millisecond
	maxWindow       = 3 * time.Second
	// fullRateShare is the share of the daemons that a granting daemon must hear to grant the whole rate. One
	// that hears fewer grants only their share: a network partition may have cut it off together with them,
	// while another daemon grants in its place to the rest.
	fullRateShare = 0.9
	// substituteShare is the share of the rate that a daemon grants in place of a home that was still heard
	// recently: the home may have been cut off by a partition and continue to grant to the daemons on its side
	// until it notices.
	substituteShare = 0.5
)

// List records when other daemons were last heard. It is safe for use by several goroutines.
type List struct {
	mutex   sync.Mutex
	heardAt map[string]time.Time
}

// New returns an empty List.
func New() *List { return &List{heardAt: map[string]time.Time{}} }

// Heard records that a daemon was heard.
func (p *List) Heard(address string, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.heardAt[address] = now
}

// HeardSince reports whether a daemon was last heard after the given time.
func (p *List) HeardSince(address string, since time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.heardAt[address].After(since)
}

// HeardAt returns when a daemon was last heard, or zero if it was never heard or its entry has expired.
func (p *List) HeardAt(address string) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.heardAt[address]
}

// Window returns the time within which a daemon must have been heard to count as present, in a fleet of the given
// number of daemons.
func Window(daemons int) time.Duration {
	return min(max(time.Duration(daemons)*windowPerDaemon, minWindow), maxWindow)
}

// Present reports whether a daemon was heard within the Window of a fleet of the given size.
func (p *List) Present(now time.Time, daemons int, address string) bool {
	return p.HeardSince(address, now.Add(-Window(daemons)))
}

// HomeShare returns the share of a limit's rate that a tenant's home grants: in proportion to the daemons that are
// present, and the whole rate while nearly all are. The shares of homes on different sides of a network partition
// thus add up to little more than the rate. Daemons for which apart returns true don't count: they are heard but
// don't hear others. If apart is nil, all count.
func (p *List) HomeShare(now time.Time, daemons int, apart func(address string) bool) float64 {
	return ShareOf(p.countPresent(now.Add(-Window(daemons)), apart)+1, daemons)
}

// ShareOf returns the share of a limit's rate that some of all daemons may use together: in proportion to their
// number, and the whole rate from fullRateShare of the daemons on.
func ShareOf(some, daemons int) float64 {
	return min(float64(some)/float64(max(daemons, 1))/fullRateShare, 1)
}

// SubstituteShare returns the share of the rate that a daemon grants in place of a home. A home that is still heard
// may hear and grant to all others, so the share is then reduced by substituteShare and is at most the value of
// most.
func (p *List) SubstituteShare(now time.Time, daemons int, home string, most float64) float64 {
	share := p.HomeShare(now, daemons, nil)
	if p.Present(now, daemons, home) {
		share = min(share*substituteShare, most)
	}
	return share
}

// countPresent counts the daemons heard since a time, without those for which apart returns true, and deletes the
// entries of those not heard since.
func (p *List) countPresent(since time.Time, apart func(address string) bool) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for address, at := range p.heardAt {
		switch {
		case at.Before(since):
			delete(p.heardAt, address)
		case apart == nil || !apart(address):
			count++
		}
	}
	return count
}
