package directory

import (
	"time"

	"github.com/lotusward/lotusward/internal/port"
)

// freshness detects outdated reads of the store. The zero value has seen none.
type freshness struct {
	version uint64
	// clock is what the store's clock had reached at clockAt, a time of the daemon's own monotonic clock.
	clock   time.Duration
	clockAt time.Time
	// clockFrom is a time at which the store's clock had not yet reached clock.
	clockFrom time.Time
}

// admit checks and records a read whose call began and ended at the given times. It returns false if the read is of
// an earlier moment than the call: its version is lower than one seen before, or its clock is behind what the
// store's clock must have been when the call began. The clock is not compared across eras: a store restored from a
// backup may have another clock.
func (f *freshness) admit(began, ended time.Time, reading Reading) bool {
	if reading.Version < f.version {
		return false
	}
	sameEra := port.EraOf(reading.Version) == port.EraOf(f.version)
	if sameEra && reading.Clock > 0 && !f.clockAt.IsZero() && reading.Clock < f.clock+began.Sub(f.clockAt)-clockSlack {
		return false
	}
	f.version = reading.Version
	f.clock = reading.Clock
	f.clockAt = ended
	f.clockFrom = began
	return true
}

// adopt takes the store's clock from another daemon, asked and answered at the given times: the clock then lay
// between least and most. A clock read by this daemon itself is more precise and stays, unless the answer is of a
// later era of the store, which may have another clock.
func (f *freshness) adopt(asked, answered time.Time, version uint64, least, most time.Duration) {
	later := port.EraOf(version) > port.EraOf(f.version)
	if most <= 0 || (!f.clockAt.IsZero() && !later) {
		return
	}
	if later {
		f.version = version
	}
	f.clock = most
	f.clockFrom = asked
	f.clockAt = answered.Add(most - least)
}

// knowsClock reports whether the store's clock is known.
func (f *freshness) knowsClock() bool { return !f.clockAt.IsZero() && f.clock != 0 }

// maxAt returns the highest value that the store's clock can have reached at a time; zero if the clock is unknown.
func (f *freshness) maxAt(at time.Time) time.Duration {
	if !f.knowsClock() {
		return 0
	}
	return f.clock + at.Sub(f.clockFrom)
}

// now estimates the store's clock at a time; false if the clock is unknown.
func (f *freshness) now(at time.Time) (time.Duration, bool) {
	if !f.knowsClock() {
		return 0, false
	}
	return f.clock + at.Sub(f.clockAt), true
}

// localTime returns the daemon's own time at which the store's clock showed a value, or slightly earlier; false if
// the clock is unknown.
func (f *freshness) localTime(clock time.Duration) (time.Time, bool) {
	if !f.knowsClock() || clock <= 0 {
		return time.Time{}, false
	}
	return f.clockFrom.Add(clock - f.clock), true
}

// storeTime returns the value that the store's clock had reached at least at a time of the daemon; zero if the
// clock is unknown.
func (f *freshness) storeTime(at time.Time) time.Duration {
	clock, known := f.now(at)
	if !known {
		return 0
	}
	return max(clock, 0)
}
