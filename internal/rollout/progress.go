package rollout

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/rollout"
)

// silenceMargin is added to the confirmation limit before a silent daemon counts as one that refuses requests. It
// covers monotonic clocks that differ by 2 % (daemon.maximumDrift, far more than usual clocks do), and the time
// from the selection of a version to the sending.
const silenceMargin = 250 * time.Millisecond

// progress counts how far the daemons have come with a shift, as known to a collector.
type progress struct {
	// daemons is the number of known daemons, heard the number of those that have reported within
	// maximumReportAge, and everReported the number of those that have ever reported on the order.
	daemons, heard, everReported int
	// acknowledged is the number of daemons that have reported within maximumReportAge that they send to the
	// target alone and have no requests in progress at others. An older report doesn't count: the daemon may have
	// restarted since, and have learned an outdated standing from another one.
	acknowledged int
	// silent is the number of the other daemons that must refuse the service's requests by now, and missing is
	// the number of the remaining ones.
	silent, missing int
}

// progress counts how far the daemons have come with the active order.
func (c *Coordinator) progress(now time.Time, state rollout.Service, found *collector) progress {
	found.noteShift(now, state.Standing)
	var counted progress
	for _, address := range c.daemons() {
		counted.daemons++
		last := found.daemons[address]
		if last != nil {
			counted.everReported++
		}
		heard := last != nil && now.Sub(last.heardAt) <= maximumReportAge
		if heard {
			counted.heard++
		}
		switch {
		case heard && last.row >= state.Standing.Row && last.underWay == 0:
			counted.acknowledged++
		case c.mustRefuse(now, found, last):
			counted.silent++
		default:
			counted.missing++
		}
	}
	return counted
}

// noteShift records since when this collector knows of a shift: it had been written by then.
func (c *collector) noteShift(now time.Time, standing rollout.Standing) {
	if standing.Stage == rollout.StageShift && c.shiftRow != standing.Row {
		c.shiftRow, c.shiftSince = standing.Row, now
	}
}

// mustRefuse reports whether a daemon must be refusing the service's requests. It has been silent since the shift
// was written for so long that it either knows of the shift, or has no valid confirmation.
func (c *Coordinator) mustRefuse(now time.Time, found *collector, last *lastReport) bool {
	if found.shiftRow == 0 {
		return false
	}
	since := found.shiftSince
	if last != nil && last.heardAt.After(since) {
		since = last.heardAt
	}
	return now.Sub(since) > c.options.ConfirmationLimit+silenceMargin
}

// quorum reports whether enough daemons are heard to complete an order: more than half. A daemon that hears fewer
// than half refuses requests without a confirmation, so that the two sides of a network partition never both act.
// Exactly half suffice if at least one of the others has reported on the order, since it then refuses, too.
func (p progress) quorum() bool {
	return 2*p.heard > p.daemons || (2*p.heard == p.daemons && 2*p.everReported > p.daemons)
}
