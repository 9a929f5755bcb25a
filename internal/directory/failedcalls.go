package directory

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// disturbanceWindow is the time within which two failed calls may be a disturbance.
	disturbanceWindow = 3 * time.Second
	// minProcessPause is the shortest gap between two clock checks, made each repeatInterval, that counts as a
	// pause of this process.
	minProcessPause = time.Second
)

// FailedCall describes a failed call to the store.
type FailedCall struct {
	// Began and Ended are the start and end of the call: the store may have recovered long before the call was
	// given up.
	Began, Ended time.Time
	// Refused is set if the store itself rejected the call for now.
	Refused bool
}

// NoteFailedCall records a failed call to the store, by any part of the daemon. A single failure may be a
// connection's, and two within disturbanceWindow may still be this daemon's own: it was paused, or its connections
// stalled. They count as a disturbance of the store only if the store rejected the call, or if no daemon known here
// reached it for a while. The time in which old weights may be used depends on the store's disturbances: a daemon
// that blamed its own failures on the store let requests begin on old weights for up to 3.6 s too long, when
// connections stalled four times in 1.6 s.
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

// storeUnreached reports whether no daemon is known to have reached the store since a failed call began, nor during
// QuietTime before its end.
func (d *Directory) storeUnreached(failed FailedCall) bool {
	reached := d.reachedAt(failed.Ended)
	return reached.Before(failed.Began) && failed.Ended.Sub(reached) >= d.options.QuietTime
}

// reachedAt returns the last time at which a daemon is known to have reached the store, or at which this daemon
// couldn't have noticed: before this process started, or while it was paused.
func (d *Directory) reachedAt(now time.Time) time.Time {
	reached := d.ConfirmedAt()
	for _, unnoticed := range []time.Time{d.options.Started, *d.awakeSince.Load()} {
		if unnoticed.After(reached) {
			reached = unnoticed
		}
	}
	if awake := *d.awakeAt.Load(); !awake.IsZero() && now.Sub(awake) > minProcessPause {
		return now // the process is just resuming
	}
	return reached
}

// noteAwake records that the process runs at a time.
func (d *Directory) noteAwake(now time.Time) {
	before := d.awakeAt.Swap(&now)
	if !before.IsZero() && now.Sub(*before) > minProcessPause {
		d.awakeSince.Store(&now)
		d.options.Log.WithField("paused_ms", now.Sub(*before).Milliseconds()).Warn("The process was paused.")
	}
}

// logDisturbance logs the first failed call of a disturbance.
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
