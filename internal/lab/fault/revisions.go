package fault

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/lab/process"
)

// revisionMetric is the daemon's gauge of the configuration revision in force.
const revisionMetric = "lotusward_configuration_revision"

const (
	revisionPollInterval = 200 * time.Millisecond
	// inForceWithin is how long an accepted revision may take everywhere.
	inForceWithin = 4 * time.Second
)

// watchRevisions checks on every daemon that revisions never go back, also not
// over a restart, and that what one has all have within some seconds, but for
// daemons that were killed or paused meanwhile, or cut from all that could tell
// them.
func watchRevisions(ctx context.Context, deployment *process.Deployment, judge *oracle) {
	newest := make([]uint64, len(deployment.Daemons))
	firstSeen := make(map[uint64]time.Time)
	for ctx.Err() == nil {
		for number, daemon := range deployment.Daemons {
			revision, err := readRevision(daemon)
			if err != nil || revision == 0 {
				continue
			}
			now := time.Now()
			if revision < newest[number] {
				judge.violate("daemon %d went from revision %d back to %d", number+1, newest[number], revision)
			}
			newest[number] = revision
			if _, found := firstSeen[revision]; !found {
				firstSeen[revision] = now
			}
			judge.checkInForce(number, revision, firstSeen, now)
		}
		time.Sleep(revisionPollInterval)
	}
}

// checkInForce checks that no revision that is known for long is missing.
func (o *oracle) checkInForce(daemon int, revision uint64, firstSeen map[uint64]time.Time, now time.Time) {
	for known, since := range firstSeen {
		late := now.Sub(since)
		if known <= revision || late < inForceWithin {
			continue
		}
		request := sentRequest{daemon: daemon, began: since, ended: now}
		o.mutex.Lock()
		excused := o.excused(&request) || o.cutFromRevisions(since, now)
		o.mutex.Unlock()
		if !excused {
			o.violate("daemon %d is at revision %d, and %d is in force elsewhere since %.1f s", daemon+1, revision, known, late.Seconds())
		}
	}
}

func readRevision(daemon *process.Daemon) (uint64, error) {
	value, err := daemon.Metric(revisionMetric)
	return uint64(value), err
}
