package streamorigin

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/presence"
)

const (
	// contactInterval is how often a daemon checks whether it is in contact with the others.
	contactInterval = 200 * time.Millisecond
	// reverifyInterval is how often a daemon that was out of contact tries to verify its list.
	reverifyInterval = time.Second
)

// contact tracks whether a daemon was in contact with a majority of the daemons ever since its list was last verified. While it was, it
// has heard of each version that a majority knows. It is not safe for concurrent use.
type contact struct {
	// checkedAt is when contact was last checked; zero if it never was.
	checkedAt time.Time
	// present are the other daemons that were heard when a majority was last heard. Those that are lost one by one no longer count.
	present map[string]bool
	// lostAt is when the daemon last stood still or was out of contact with more than half of them; zero if the list was verified since.
	lostAt time.Time
}

// check updates the contact. Heard reports whether another daemon was heard within the window.
func (c *contact) check(now time.Time, others []string, window time.Duration, heard func(address string) bool) {
	present := map[string]bool{}
	before, kept := 0, 0
	for _, address := range others {
		isHeard := heard(address)
		if isHeard {
			present[address] = true
		}
		if c.present[address] {
			before++
			if isHeard {
				kept++
			}
		}
	}
	if isMajority(kept, before) {
		c.present = present
	} else {
		c.lostAt = now
	}
	if !c.checkedAt.IsZero() && now.Sub(c.checkedAt) > window {
		c.lostAt = now
	}
	c.checkedAt = now
}

// isMajority reports whether some of the other daemons and this one are more than half of all.
func isMajority(some, others int) bool { return 2*(some+1) > others+1 }

// checkContact updates the contact of this daemon, and returns when it was lost.
func (r *Registry) checkContact() time.Time {
	others, now := r.options.Topology.Others(), r.options.Now()
	window := presence.Window(len(others) + 1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.contact.check(now, others, window, func(address string) bool { return r.options.Presence.HeardSince(address, now.Add(-window)) })
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
	pause.Every(ctx, reverifyInterval, func(now time.Time) {
		if r.checkContact().IsZero() {
			return
		}
		if err := r.verify(ctx, r.options.Now()); err != nil {
			return
		}
		r.options.Log.Info("The list of back ends was verified.")
	})
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
func (r *Registry) inContact() bool { return r.contact.lostAt.IsZero() }

// enough reports whether the daemons that answered a question can tell what a majority knows. The caller holds the mutex.
func (r *Registry) enough(asked, answered int) bool {
	others := asked
	if asked <= maxAskAll {
		others = len(r.contact.present)
	}
	return answered > 0 && isMajority(answered, others)
}
