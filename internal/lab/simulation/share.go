package simulation

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// sharePeriod is how often daemons send each other what they have placed.
const sharePeriod = 20 * time.Millisecond

// share brings a daemon's notices to the others, when its policy gives any.
func (w *world) share(daemon *daemonNode) {
	sharing, shares := daemon.policy.(scheduler.Sharing)
	if !shares {
		return
	}
	notices := sharing.TakeNotices()
	if len(notices) == 0 {
		return
	}
	for _, other := range w.daemons {
		if other == daemon {
			continue
		}
		w.after(w.delay(daemon.zone, other.zone), func() {
			if receiver, receives := other.policy.(scheduler.Sharing); receives {
				receiver.ObserveNotices(w.now, notices)
			}
		})
	}
}
