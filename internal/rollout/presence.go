package rollout

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// presenceTimeout is how recently another daemon must have been heard to count as present: six queries at
	// presenceQueryInterval may be lost.
	presenceTimeout = 3 * time.Second
	// quorumHeardTime is how long the result holds that enough daemons were heard: some ticks.
	quorumHeardTime = 500 * time.Millisecond
	// presenceQueryShare is the share of the confirmation limit from which on silent daemons are queried, as the
	// confirmation ages. It leaves time for three rounds of queries before the limit. The queries are needed
	// since in large fleets few daemons exchange any other messages.
	presenceQueryShare = 0.6
	// presenceQueryInterval is the time between two rounds of queries, in which daemons that were heard within
	// presenceQueryAfter are skipped. 340 daemons thus exchange 170 queries or answers of 20 bytes a second, and
	// none while the declarations are confirmed.
	presenceQueryInterval = 500 * time.Millisecond
	presenceQueryAfter    = 1500 * time.Millisecond
)

// presenceMessage is the empty body of a presence query and its answer.
type presenceMessage struct{}

// checkPresence records whether half of the known daemons are heard, including this one, and queries the silent
// ones. It does nothing while the confirmation is recent.
func (c *Coordinator) checkPresence(now time.Time) {
	from := time.Duration(presenceQueryShare * float64(c.options.ConfirmationLimit))
	if now.Sub(c.options.Directory.ConfirmedAt()) < from {
		return
	}
	others, heard := c.options.Others(), 1
	for _, address := range others {
		if c.options.Presence.HeardSince(address, now.Add(-presenceTimeout)) {
			heard++
		}
	}
	if 2*heard >= len(others)+1 {
		c.quorumHeardUntil.set(now.Add(quorumHeardTime))
	}
	if now.Sub(c.presenceQueriedAt) >= presenceQueryInterval {
		c.presenceQueriedAt = now
		c.queryPresence(now, others)
	}
}

// queryPresence queries the daemons that weren't heard recently.
func (c *Coordinator) queryPresence(now time.Time, others []string) {
	for _, address := range others {
		if !c.options.Presence.HeardSince(address, now.Add(-presenceQueryAfter)) {
			peerlink.Tell(c.options.Link, address, peerlink.KindPresenceQuestion, &presenceMessage{})
		}
	}
}

// handlePresenceQuestion answers a presence query. An observer of the link records that the sender was heard.
func (c *Coordinator) handlePresenceQuestion(_ context.Context, _ time.Time, from string, _ presenceMessage) {
	peerlink.Tell(c.options.Link, from, peerlink.KindPresenceAnswer, &presenceMessage{})
}
