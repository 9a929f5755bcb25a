package rollout

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/rollout"
)

// silenceMargin is added to the confirmation limit before a silent daemon counts as one that
// refuses requests. It covers steady clocks that differ by 2 % (daemon.maximumDrift, far more than
// usual ones do), and the time from the choice of a version to the sending.
const silenceMargin = 250 * time.Millisecond

// progress is how far the daemons have come with a shift, as a collector knows.
type progress struct {
	// daemons is how many are known, heard how many of them have reported within heardTime, and
	// knowing how many have ever reported on the order.
	daemons, heard, knowing int
	// acknowledged is how many have reported within heardTime that they send to the target alone
	// and have nothing under way at others. An older report doesn't count: the daemon may have
	// restarted since, and have learned an outdated standing from another one.
	acknowledged int
	// silent is how many of the rest must refuse the service's requests by now, and missing how
	// many remain.
	silent, missing int
}

// progress counts how far the daemons have come with the order under way.
func (c *Coordinator) progress(now time.Time, believed rollout.Service, found *collector) progress {
	found.noteShift(now, believed.Standing)
	var counted progress
	for _, address := range c.daemons() {
		counted.daemons++
		last := found.daemons[address]
		if last != nil {
			counted.knowing++
		}
		heard := last != nil && now.Sub(last.heardAt) <= heardTime
		if heard {
			counted.heard++
		}
		switch {
		case heard && last.row >= believed.Standing.Row && last.underWay == 0:
			counted.acknowledged++
		case c.refusesByNow(now, found, last):
			counted.silent++
		default:
			counted.missing++
		}
	}
	return counted
}

// noteShift notes since when a shift is known here: it was written by then.
func (c *collector) noteShift(now time.Time, standing rollout.Standing) {
	if standing.Stage == rollout.StageShift && c.shiftRow != standing.Row {
		c.shiftRow, c.shiftSince = standing.Row, now
	}
}

// refusesByNow tells whether a daemon must have refused the service's requests for a while: it has
// not been heard since the shift was written for so long that it either knows of the shift, or has
// no confirmation.
func (c *Coordinator) refusesByNow(now time.Time, found *collector, last *reported) bool {
	if found.shiftRow == 0 {
		return false
	}
	since := found.shiftSince
	if last != nil && last.heardAt.After(since) {
		since = last.heardAt
	}
	return now.Sub(since) > c.options.ConfirmationLimit+silenceMargin
}

// quorum tells whether enough daemons are heard to complete an order: more than half. A daemon that
// hears fewer than half refuses requests without a confirmation, so that two sides of a cut never
// both act. Exactly half will do where one of the others is known to know the order: it
// refuses too.
func (p progress) quorum() bool {
	return 2*p.heard > p.daemons || (2*p.heard == p.daemons && 2*p.knowing > p.daemons)
}
