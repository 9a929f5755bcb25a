package streamorigin

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/pause"
)

const (
	// contactInterval is how often a daemon checks whether it is in contact with the others.
	contactInterval = 200 * time.Millisecond
	// A daemon that was heard within contactWindowPerDaemon times the number of daemons, and at least minContactWindow, is in contact. All
	// tell each other of their loads three times in this time.
	contactWindowPerDaemon = 25 * time.Millisecond
	minContactWindow       = 800 * time.Millisecond
	// contactGrace times the window is how long a daemon that is no longer heard counts: those that are lost within this time are lost
	// at once.
	contactGrace = 2
	// A daemon that was out of contact tries to verify its list each reverifyPerDaemon times the number of daemons, and at least each
	// minReverifyInterval.
	reverifyPerDaemon   = 50 * time.Millisecond
	minReverifyInterval = time.Second
)

// contact tracks whether a daemon was in contact with a majority of the daemons of its region ever since its list was last verified.
// While it was, it has heard of each version that a majority knows. It is not safe for concurrent use.
type contact struct {
	// checkedAt is when contact was last checked; zero if it never was.
	checkedAt time.Time
	// heardAt is when each other daemon was last found to be in contact, and counted how many of them counted at the last check.
	heardAt map[string]time.Time
	counted int
	// lostAt is when the daemon last stood still, heard nobody, or was out of contact with half of those that count; zero if the list was
	// verified since.
	lostAt time.Time
	// window is the window of the last check.
	window time.Duration
}

// kept reports whether contact was kept since the list was last verified. A daemon that stood still may not have checked it since.
func (c *contact) kept(now time.Time) bool {
	return c.lostAt.IsZero() && (c.checkedAt.IsZero() || now.Sub(c.checkedAt) <= c.window)
}

// contactWindow returns the time within which a daemon must have been heard.
func contactWindow(daemons int) time.Duration {
	return max(time.Duration(daemons)*contactWindowPerDaemon, minContactWindow)
}

// check updates the contact. Heard reports whether another daemon was heard within the window.
func (c *contact) check(now time.Time, others []string, heard func(address string) bool) {
	window := contactWindow(len(others) + 1)
	present, counted := 0, 0
	before := c.heardAt
	c.heardAt = make(map[string]time.Time, len(others))
	for _, address := range others {
		switch last, known := before[address]; {
		case heard(address):
			c.heardAt[address] = now
			present++
			counted++
		case known && now.Sub(last) <= contactGrace*window:
			c.heardAt[address] = last
			counted++
		}
	}
	stoodStill := !c.checkedAt.IsZero() && now.Sub(c.checkedAt) > window
	alone := present == 0 && len(others) > 0
	if stoodStill || alone || !isMajority(present, counted) {
		c.lostAt = now
	}
	c.checkedAt, c.counted, c.window = now, counted, window
}

// isMajority reports whether some of the other daemons and this one are more than half of all.
func isMajority(some, others int) bool { return 2*(some+1) > others+1 }

// checkContact updates the contact of this daemon, and returns when it was lost.
func (r *Registry) checkContact() time.Time {
	others, now := r.options.Topology.Near(r.self), r.options.Now()
	since := now.Add(-contactWindow(len(others) + 1))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.contact.check(now, others, func(address string) bool { return r.options.Presence.HeardSince(address, since) })
	return r.contact.lostAt
}

// watchContact checks the contact with other daemons until the context is cancelled.
func (r *Registry) watchContact(ctx context.Context) {
	wasLost := false
	pause.Every(ctx, contactInterval, func(time.Time) {
		lost := !r.checkContact().IsZero()
		if lost && !wasLost {
			r.options.Log.Info("This daemon was out of contact with the others. The list of back ends will be verified.")
		}
		wasLost = lost
	})
}

// reverify verifies the list after contact was lost, until the context is cancelled.
func (r *Registry) reverify(ctx context.Context) {
	for ctx.Err() == nil {
		interval := max(time.Duration(len(r.options.Topology.Others()))*reverifyPerDaemon, minReverifyInterval)
		pause.For(ctx, interval/2+rand.N(interval))
		if r.lostContact() && r.verify(ctx, r.options.Now()) == nil {
			r.options.Log.Info("The list of back ends was verified.")
		}
	}
}

func (r *Registry) lostContact() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.inContact()
}

// verified records that all versions that the store listed or recorded at a time are known here.
func (r *Registry) verified(at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.contact.lostAt.Before(at) {
		r.contact.lostAt = time.Time{}
	}
}

// inContact reports whether all versions that a majority of the daemons knows are known here. The caller holds the mutex.
func (r *Registry) inContact() bool { return r.contact.kept(r.options.Now()) }

// enough reports whether the daemons that answered a question can tell what a majority knows. The caller holds the mutex.
func (r *Registry) enough(asked, answered int) bool {
	others := asked
	if asked <= maxAskAll {
		others = r.contact.counted
	}
	return answered > 0 && isMajority(answered, others)
}
