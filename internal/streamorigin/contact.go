package streamorigin

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/pause"
)

const (
	// contactInterval is how often a daemon checks whether it is in contact with the others. One that hasn't checked for maxContactGap
	// has stood still.
	contactInterval = 200 * time.Millisecond
	maxContactGap   = 800 * time.Millisecond
	// A daemon that was heard within contactWindowPerDaemon times the number of daemons, and at least minContactWindow, is in contact.
	contactWindowPerDaemon = 25 * time.Millisecond
	minContactWindow       = 800 * time.Millisecond
	// contactGrace times the window is how long a daemon that is no longer heard still counts. Daemons that are lost within this time
	// of each other count as lost together.
	contactGrace = 2
	// A daemon that was out of contact tries to verify its list each reverifyPerDaemon times the number of daemons, and at least each
	// minReverifyInterval.
	reverifyPerDaemon   = 50 * time.Millisecond
	minReverifyInterval = 400 * time.Millisecond
)

// contact tracks whether a daemon was in contact with a majority of the daemons of its region ever since its list was last verified.
// While it was, it has heard of each version that a majority knows. It is not safe for concurrent use.
type contact struct {
	// checkedAt is when contact was last checked; zero if it never was.
	checkedAt time.Time
	// heardAt is when each other daemon was last heard. At the last check, counted of them counted, and present of these were heard
	// within the window.
	heardAt          map[string]time.Time
	counted, present int
	// gap is the time between the last two checks.
	gap time.Duration
	// apart is set while the daemon hears nobody, or less than a majority of those that count, and missedAt is when it last was apart or
	// stood still; zero if it never did.
	apart    bool
	missedAt time.Time
	// verifiedAt is when the list and the record of versions were last verified.
	verifiedAt time.Time
}

// contactWindow returns the time within which a daemon must have been heard.
func contactWindow(daemons int) time.Duration {
	return max(time.Duration(daemons)*contactWindowPerDaemon, minContactWindow)
}

// check updates the contact. Heard returns when another daemon was last heard; zero if that is not known or long ago.
func (c *contact) check(now time.Time, others []string, heard func(address string) time.Time) {
	window := contactWindow(len(others) + 1)
	present, counted := 0, 0
	before := c.heardAt
	c.heardAt = make(map[string]time.Time, len(others))
	for _, address := range others {
		last := before[address]
		if at := heard(address); at.After(last) {
			last = at
		}
		if now.Sub(last) > contactGrace*window {
			continue
		}
		c.heardAt[address] = last
		counted++
		if now.Sub(last) <= window {
			present++
		}
	}
	alone := present == 0 && len(others) > 0
	c.apart = alone || !isMajority(present, counted)
	if c.apart || c.stoodStill(now) {
		c.missedAt = now
	}
	if !c.checkedAt.IsZero() {
		c.gap = now.Sub(c.checkedAt)
	}
	c.checkedAt, c.counted, c.present = now, counted, present
}

// stoodStill reports whether contact was not checked for too long.
func (c *contact) stoodStill(now time.Time) bool {
	return !c.checkedAt.IsZero() && now.Sub(c.checkedAt) > maxContactGap
}

// missed reports whether this daemon may not have heard of all versions that a majority knew within the last Retention.
func (c *contact) missed(now time.Time) bool {
	switch {
	case c.apart, c.stoodStill(now):
		return true
	case c.missedAt.IsZero():
		return false
	}
	return !c.verifiedAt.After(c.missedAt) && now.Sub(c.missedAt) <= streamorigin.Retention
}

// isMajority reports whether some of the other daemons and this one are more than half of all.
func isMajority(some, others int) bool { return 2*(some+1) > others+1 }

// checkContact updates the contact of this daemon, and reports whether it has missed versions.
func (r *Registry) checkContact() bool {
	others, now := r.options.Topology.Near(r.self), r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.contact.check(now, others, r.options.Presence.HeardAt)
	return r.contact.missed(now)
}

// watchContact checks the contact with other daemons until the context is cancelled.
func (r *Registry) watchContact(ctx context.Context) {
	before := false
	pause.Every(ctx, contactInterval, func(time.Time) {
		missed := r.checkContact()
		if missed && !before {
			r.options.Log.WithFields(r.contactFields()).Info("This daemon is or was out of contact with the others: versions that it lists may not be all.")
		}
		if !missed && before {
			r.options.Log.WithFields(r.contactFields()).Info("This daemon is in contact with the others again, and the versions that it lists are verified.")
		}
		before = missed
	})
}

// contactFields tells which daemons were heard at the last check, how long before it the last one was, and how old the last verification
// is; -1 without any.
func (r *Registry) contactFields() logrus.Fields {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	verified := int64(-1)
	if !r.contact.verifiedAt.IsZero() {
		verified = r.options.Now().Sub(r.contact.verifiedAt).Milliseconds()
	}
	return logrus.Fields{
		"counted": r.contact.counted, "heard": r.contact.present, "check_gap_ms": r.contact.gap.Milliseconds(), "verified_ms_ago": verified,
	}
}

// reverify verifies the list once contact that was lost is back, until the context is cancelled.
func (r *Registry) reverify(ctx context.Context) {
	for ctx.Err() == nil {
		interval := max(time.Duration(len(r.options.Topology.Others()))*reverifyPerDaemon, minReverifyInterval)
		pause.For(ctx, interval/2+rand.N(interval))
		if r.missedInContact() {
			_ = r.verify(ctx, r.options.Now())
		}
	}
}

// missedInContact reports whether this daemon is in contact, but has missed versions before.
func (r *Registry) missedInContact() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.contact.apart && r.contact.missed(r.options.Now())
}

// missed reports whether this daemon may not know all versions that others knew lately.
func (r *Registry) missed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.contact.missed(r.options.Now())
}

// verified records that all versions that the store listed or recorded at a time are known here.
func (r *Registry) verified(at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if at.After(r.contact.verifiedAt) {
		r.contact.verifiedAt = at
	}
}

// enough reports whether the daemons whose evidence is complete can tell what a majority knows. The caller holds the mutex.
func (r *Registry) enough(asked []string, complete map[string]bool) bool {
	others, answered := len(asked), 0
	near := r.contact.heardAt
	if others <= maxAskAll {
		others = r.contact.counted
	}
	for _, address := range asked {
		if _, counts := near[address]; complete[address] && (counts || len(asked) > maxAskAll) {
			answered++
		}
	}
	return answered > 0 && isMajority(answered, others)
}
