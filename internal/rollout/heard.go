package rollout

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// presentTime is within which another daemon was heard to count as present.
	presentTime = 3 * time.Second
	// askPresenceShare of the confirmation limit is from when on daemons that are not heard
	// are asked whether they are there: in large fleets few daemons have anything to tell each
	// other. askPresenceInterval lies between two rounds, and who was heard within
	// askPresenceAfter isn't asked: 340 daemons so send each other 170 questions or answers of
	// 20 bytes a second, and none while what was declared is confirmed.
	askPresenceShare    = 0.6
	askPresenceInterval = 500 * time.Millisecond
	askPresenceAfter    = 1500 * time.Millisecond
)

// presenceMessage asks whether a daemon is there, or answers.
type presenceMessage struct{}

// noteHeard notes whether half of the known daemons are heard, this one among them, and asks those
// that aren't while there is no confirmation.
func (c *Coordinator) noteHeard(now time.Time) {
	others, heard := c.options.Others(), 1
	for _, address := range others {
		if c.options.Presence.HeardSince(address, now.Add(-presentTime)) {
			heard++
		}
	}
	if 2*heard >= len(others)+1 {
		c.enoughHeard.set(now.Add(tickGap))
	}
	askFrom := time.Duration(askPresenceShare * float64(c.options.ConfirmationLimit))
	if now.Sub(c.options.Belief.ConfirmedAt()) < askFrom || now.Sub(c.askedPresenceAt) < askPresenceInterval {
		return
	}
	c.askedPresenceAt = now
	for _, address := range others {
		if !c.options.Presence.HeardSince(address, now.Add(-askPresenceAfter)) {
			peerlink.Tell(c.options.Link, address, peerlink.KindPresenceQuestion, &presenceMessage{})
		}
	}
}

// hearPresenceQuestion answers a daemon that asks whether this one is there. That it is heard is
// noted by whoever observes the link.
func (c *Coordinator) hearPresenceQuestion(_ context.Context, _ time.Time, from string, _ presenceMessage) {
	peerlink.Tell(c.options.Link, from, peerlink.KindPresenceAnswer, &presenceMessage{})
}
