package lease

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// Fractions of the lease's duration.
const (
	// renewFraction is the age at which a holder renews its grant.
	renewFraction = 3
	// pollFraction is how often a daemon that waits reads the row.
	pollFraction = 4
	// retryFraction is the pause after a failed call.
	retryFraction = 20
)

// Settings of one daemon for one lease.
type Settings struct {
	// Key is the lease's row. The row must never be deleted, since its fencing
	// token would start again.
	Key         string
	Holder      identity.DaemonID
	Incarnation identity.Incarnation
	// SoleIncarnation says that an earlier incarnation of this daemon has surely ended,
	// so that what it held is free at once.
	SoleIncarnation bool
	// Duration is how long a grant lasts unless it is renewed.
	Duration time.Duration
	// MaximumDrift bounds by how much any daemon's clock runs too fast or too
	// slow, as a fraction. A holder gives up twice that fraction of the duration.
	MaximumDrift float64
	// ActWindow is how long after a confirmed commit was sent the holder may act. Others
	// wait for the whole duration before they take over, so that the shorter this is,
	// the longer ago the last act was then. Zero is as long as the grant lasts.
	ActWindow time.Duration
	// Era counts how often the table has come back from a copy of before: what was committed since is gone then. Tokens of
	// a later era are greater than all before. Nil is none.
	Era port.EraSource
	// HandoverDelay must lie between acts of different holders. Zero asks for no such time.
	HandoverDelay time.Duration
}

// RetryInterval is the pause after a failed call, and how often Tick is due.
func (s Settings) RetryInterval() time.Duration { return s.Duration / retryFraction }

// actWithin is how long after a commit was sent the holder may act.
func (s Settings) actWithin() time.Duration {
	if s.ActWindow == 0 {
		return s.usable()
	}
	return min(s.ActWindow, s.usable())
}

// rest is Rest by a clock that may run too fast, while the other one's runs too slow.
func (s Settings) rest() time.Duration { return s.HandoverDelay + s.margin() }

// margin covers clocks of different rates over the rest.
func (s Settings) margin() time.Duration {
	return time.Duration(2 * s.MaximumDrift * float64(s.HandoverDelay))
}

// restAfterLapse is what is left of the rest when a lease has just lapsed. Others count
// the whole duration, but the holder acted in ActWithin of it at the most.
func (s Settings) restAfterLapse() time.Duration {
	passed := s.usable() - s.actWithin()
	return max(s.rest()-passed, 0)
}

// usable is how long a holder relies on a confirmed commit.
func (s Settings) usable() time.Duration {
	return s.Duration - time.Duration(2*s.MaximumDrift*float64(s.Duration))
}

// Action is a call of the table that the machine asks for. Its result goes back
// through ReadDone or CommitDone before Tick gives the next action.
type Action interface{ isAction() }

// Read asks for the row with a key.
type Read struct{ Key string }

// Commit asks for a conditional write of the row.
type Commit struct{ Transaction port.Transaction }

func (Read) isAction()   {}
func (Commit) isAction() {}

// Grant is the right to act as the holder.
type Grant struct {
	Token identity.FencingToken
	// Until is when the grant lapses, by the holder's own monotonic clock. The
	// zero time is no grant.
	Until time.Time
	// ActFrom and ActUntil bound when the holder may act. The row says that it may.
	ActFrom, ActUntil time.Time
}

// MayActAt tells whether the holder may act.
func (g Grant) MayActAt(now time.Time) bool {
	return g.ValidAt(now) && !now.Before(g.ActFrom) && now.Before(g.ActUntil)
}

// ValidAt tells whether the grant still holds.
func (g Grant) ValidAt(now time.Time) bool { return now.Before(g.Until) }
