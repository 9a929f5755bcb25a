package directory

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// disturbanceWindow is the time within which two failed calls may be a disturbance.
	disturbanceWindow = 3 * time.Second
	// minProcessPause is the shortest time without a look at the clock that counts as a pause of this
	// process: it looks each repeatInterval.
	minProcessPause = time.Second
)

// FailedCall is a call of the store that failed.
type FailedCall struct {
	// Began and Ended bound the call: when it was given up the store may long have been well again.
	Began, Ended time.Time
	// Refused is set where the store itself said that it does nothing for now.
	Refused bool
}

// NoteFailedCall notes that a call of the store failed, by whichever part of the daemon. One failure alone may be
// a connection's, and two within a short time may still be this daemon's own: it was paused, or its
// connections went silent. They are the store's if it said so, or if no daemon that is heard here got through
// to it for a while. The time in which old weights may be used is judged by the store's disturbances, so that
// a daemon that took its own for those let requests begin on old weights for up to 3.6 s too long, where
// connections went silent four times in 1.6 s.
func (d *Directory) NoteFailedCall(failed FailedCall) {
	before := d.failedAt.Swap(&failed.Began)
	if before == nil || failed.Began.Sub(*before).Abs() > disturbanceWindow {
		return
	}
	if !failed.Refused && !d.storeUnreached(failed) {
		return
	}
	steady := failed.Began.Add(d.options.SteadyTime)
	for known := d.steady.Load(); steady.After(*known); known = d.steady.Load() {
		if d.steady.CompareAndSwap(known, &steady) {
			d.logDisturbance(failed, *known, steady)
			return
		}
	}
}

// storeUnreached tells whether nobody is known to have reached the store since a failed call began, nor for a
// while before its end.
func (d *Directory) storeUnreached(failed FailedCall) bool {
	reached := d.reachedAt(failed.Ended)
	return reached.Before(failed.Began) && failed.Ended.Sub(reached) >= d.options.QuietTime
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
	if awake := *d.awakeAt.Load(); !awake.IsZero() && now.Sub(awake) > minProcessPause {
		return now // it is just waking
	}
	return reached
}

// noteAwake notes that the process runs at a time.
func (d *Directory) noteAwake(now time.Time) {
	before := d.awakeAt.Swap(&now)
	if !before.IsZero() && now.Sub(*before) > minProcessPause {
		d.awakeSince.Store(&now)
		d.options.Log.WithField("paused_ms", now.Sub(*before).Milliseconds()).Warn("The process was paused.")
	}
}

// logDisturbance tells of the first failed call of a disturbance.
func (d *Directory) logDisturbance(failed FailedCall, steadyBefore, steady time.Time) {
	ended := failed.Ended
	if ended.Before(steadyBefore) {
		return
	}
	d.options.Log.WithFields(logrus.Fields{
		"call_took_ms": ended.Sub(failed.Began).Milliseconds(), "refused": failed.Refused,
		"confirmed_ms_ago": ended.Sub(d.ConfirmedAt()).Milliseconds(),
		"steady_in_ms":     steady.Sub(ended).Milliseconds(), "since_start_ms": ended.Sub(d.options.Started).Milliseconds(),
	}).Warn("The store counts as disturbed.")
}

// SteadySince implements relay.Control.
func (d *Directory) SteadySince() time.Time { return *d.steady.Load() }
