package directory

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// disturbanceWindow is the time within which two failed calls may be a disturbance.
	disturbanceWindow = 3 * time.Second
	// leastPause is the shortest time without a look at the clock that counts as a pause of this
	// process: it looks each repeatInterval.
	leastPause = time.Second
)

// Disturbed notes that a call of the store failed, by whichever part of the daemon,
// with the times at which the call began and ended: when it was given up the store may long
// have been well again. One failure alone may be a connection's, and two within a short time may
// still be this daemon's own: it was paused, its connections went silent, or the store turns it
// away alone. They are the store's if no daemon that is heard here got through to it for a while. The
// time in which old weights may be used is judged by the store's disturbances, so that a daemon that
// took its own for those let requests begin on old weights for up to 3.6 s too long, where connections went
// silent four times in 1.6 s.
func (d *Directory) Disturbed(began, ended time.Time) {
	before := d.failedAt.Swap(&began)
	if before == nil || began.Sub(*before).Abs() > disturbanceWindow {
		return
	}
	reached := d.reachedAt(ended)
	if !reached.Before(began) || ended.Sub(reached) < d.options.QuietTime {
		return
	}
	steady := began.Add(d.options.SteadyTime)
	for known := d.steady.Load(); steady.After(*known); known = d.steady.Load() {
		if d.steady.CompareAndSwap(known, &steady) {
			d.logDisturbance(began, ended, *known, steady)
			return
		}
	}
}

// reachedAt is the last time at which a daemon is known to have reached the store, or could not
// have been noticed to reach it: before this process started, or while it was paused.
func (d *Directory) reachedAt(now time.Time) time.Time {
	reached := d.ConfirmedAt()
	for _, unnoticed := range []time.Time{d.options.Started, *d.awakeSince.Load()} {
		if unnoticed.After(reached) {
			reached = unnoticed
		}
	}
	if awake := *d.awakeAt.Load(); !awake.IsZero() && now.Sub(awake) > leastPause {
		return now // it is just waking
	}
	return reached
}

// noteAwake notes that the process runs at a time.
func (d *Directory) noteAwake(now time.Time) {
	before := d.awakeAt.Swap(&now)
	if !before.IsZero() && now.Sub(*before) > leastPause {
		d.awakeSince.Store(&now)
		d.options.Log.WithField("paused_ms", now.Sub(*before).Milliseconds()).Warn("The process was paused.")
	}
}

// logDisturbance tells of the first failed call of a disturbance.
func (d *Directory) logDisturbance(began, ended, steadyBefore, steady time.Time) {
	if ended.Before(steadyBefore) {
		return
	}
	d.options.Log.WithFields(logrus.Fields{
		"call_took_ms": ended.Sub(began).Milliseconds(), "confirmed_ms_ago": ended.Sub(d.ConfirmedAt()).Milliseconds(),
		"steady_in_ms": steady.Sub(ended).Milliseconds(), "since_start_ms": ended.Sub(d.options.Started).Milliseconds(),
	}).Warn("The store counts as disturbed.")
}

// SteadySince implements relay.Control.
func (d *Directory) SteadySince() time.Time { return *d.steady.Load() }
