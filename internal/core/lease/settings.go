package lease

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// Fractions of the lease's duration.
const (
	// renewFraction sets the age at which a holder renews its grant.
	renewFraction = 3
	// pollFraction sets the interval at which a waiting daemon reads the row.
	pollFraction = 4
	// retryFraction sets the pause after a failed call.
	retryFraction = 20
)

// Settings configures one daemon for one lease.
type Settings struct {
	// Key identifies the lease's row. The row must never be deleted, since its fencing tokens would
	// start over.
	Key         string
	Holder      identity.DaemonID
	Incarnation identity.Incarnation
	// SoleIncarnation says that earlier incarnations of this daemon have certainly ended, so that
	// leases they held are free at once.
	SoleIncarnation bool
	// Duration is how long a grant lasts unless it is renewed.
	Duration time.Duration
	// MaximumDrift bounds the rate error of any daemon's clock, as a fraction. A holder gives up twice
	// that fraction of the duration.
	MaximumDrift float64
	// ActWindow is how long after sending a confirmed commit the holder may act. Others wait for the
	// whole duration before they take over, so a shorter window leaves more time between the last
	// action and a takeover. Zero means for as long as the grant lasts.
	ActWindow time.Duration
	// Era counts how often the table was restored from an older copy, which loses the commits since.
	// Tokens of a later era are higher than all earlier ones. Nil is an era of zero.
	Era port.EraSource
	// HandoverDelay is the minimum time between actions of different holders. Zero requires none.
	HandoverDelay time.Duration
}

// RetryInterval is the pause after a failed call, and the interval at which to call Tick.
func (s Settings) RetryInterval() time.Duration { return s.Duration / retryFraction }

// actWindow is how long after sending a commit the holder may act.
func (s Settings) actWindow() time.Duration {
	if s.ActWindow == 0 {
		return s.validity()
	}
	return min(s.ActWindow, s.validity())
}

// handoverDelay is HandoverDelay as measured by a clock that may run too fast while the other
// daemon's runs too slow.
func (s Settings) handoverDelay() time.Duration { return s.HandoverDelay + s.driftMargin() }

// driftMargin covers clocks of different rates over the handover delay.
func (s Settings) driftMargin() time.Duration {
	return time.Duration(2 * s.MaximumDrift * float64(s.HandoverDelay))
}

// delayAfterExpiry is the remaining handover delay when a lease has just expired. Others wait for
// the whole duration, but the holder acted only within ActWindow of it.
func (s Settings) delayAfterExpiry() time.Duration {
	passed := s.validity() - s.actWindow()
	return max(s.handoverDelay()-passed, 0)
}

// validity is how long a holder relies on a confirmed commit.
func (s Settings) validity() time.Duration {
	return s.Duration - time.Duration(2*s.MaximumDrift*float64(s.Duration))
}

// Action is a table call requested by the machine. Its result must be passed to ReadDone or
// CommitDone before Tick returns the next action.
type Action interface{ isAction() }

// Read requests a read of the row with a key.
type Read struct{ Key string }

// Commit requests a conditional write of the row.
type Commit struct{ Transaction port.Transaction }

func (Read) isAction()   {}
func (Commit) isAction() {}

// Grant is the right to act as the holder.
type Grant struct {
	Token identity.FencingToken
	// Until is when the grant expires, by the holder's own monotonic clock. The zero time is no grant.
	Until time.Time
	// ActFrom and ActUntil bound the time in which the holder may act.
	ActFrom, ActUntil time.Time
}

// MayActAt reports whether the holder may act.
func (g Grant) MayActAt(now time.Time) bool {
	return g.ValidAt(now) && !now.Before(g.ActFrom) && now.Before(g.ActUntil)
}

// ValidAt reports whether the grant is still valid.
func (g Grant) ValidAt(now time.Time) bool { return now.Before(g.Until) }
