// Package presence knows which other daemons were heard lately, and which do not answer.
package presence

import (
	"sync"
	"time"
)

const (
	// presencePerDaemon times the number of daemons is within which a daemon must have been
	// heard to count as present: three times what it takes until each has told all others of
	// its load, twelve of them ten times a second. It is bounded by leastPresence, since
	// those without load tell less often, and by mostPresence.
	presencePerDaemon = 25 * time.Millisecond
	leastPresence     = 800 * time.Millisecond
	mostPresence      = 3 * time.Second
	// enoughPresent is the share of the daemons that a grantor must hear to grant the whole
	// rate. One that hears fewer grants only their part: it may be cut off together with
	// them, while another one grants in its place to the rest.
	enoughPresent = 0.9
	// substituteShare is the share of the rate that a daemon grants in a home's place while
	// the home was still heard lately: the home may have been cut off, and go on granting to
	// those on its side until it notices.
	substituteShare = 0.5
)

// List notes when other daemons were heard. It is safe for use by several goroutines.
type List struct {
	mutex   sync.Mutex
	heardAt map[string]time.Time
}

// New makes a List that has heard nobody.
func New() *List { return &List{heardAt: map[string]time.Time{}} }

// Heard notes that a daemon was heard.
func (p *List) Heard(address string, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.heardAt[address] = now
}

// HeardSince tells whether a daemon was heard after a time.
func (p *List) HeardSince(address string, since time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.heardAt[address].After(since)
}

// HeardAt is when a daemon was last heard; zero is never, or not lately.
func (p *List) HeardAt(address string) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.heardAt[address]
}

// Window is within which a daemon among some must have been heard to be present.
func Window(daemons int) time.Duration {
	return min(max(time.Duration(daemons)*presencePerDaemon, leastPresence), mostPresence)
}

// Present tells whether a daemon among some was heard lately.
func (p *List) Present(now time.Time, daemons int, address string) bool {
	return p.HeardSince(address, now.Add(-Window(daemons)))
}

// HomeShare is the share of a limit's rate that a tenant's home grants among some daemons:
// the part of those that are present, and all of it while nearly all are. The parts of
// homes that a cut keeps apart so add up to little more than the rate. Those that are apart
// don't count: they are heard and don't hear; nil is none.
func (p *List) HomeShare(now time.Time, daemons int, apart func(address string) bool) float64 {
	return ShareOf(p.present(now.Add(-Window(daemons)), apart)+1, daemons)
}

// ShareOf is the share of a limit's rate that some of all daemons may have together: their part, and
// all of it while they are nearly all.
func ShareOf(some, daemons int) float64 {
	return min(float64(some)/float64(max(daemons, 1))/enoughPresent, 1)
}

// SubstituteShare is the share of the rate that a daemon grants in the place of a home. While the
// home is heard, it may hear and grant to all others: then the share is most at most.
func (p *List) SubstituteShare(now time.Time, daemons int, home string, most float64) float64 {
	share := p.HomeShare(now, daemons, nil)
	if p.Present(now, daemons, home) {
		share = min(share*substituteShare, most)
	}
	return share
}

// present counts the daemons that were heard since a time but for those that are apart, and forgets
// those that were not heard.
func (p *List) present(since time.Time, apart func(address string) bool) int {
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
