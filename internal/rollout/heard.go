package rollout

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// presentTime is how lately another daemon must have been heard to count as present: six
	// questions of askPresenceInterval may be lost.
	presentTime = 3 * time.Second
	// enoughHeardTime is for how long it holds that enough daemons were heard: some ticks.
	enoughHeardTime = 500 * time.Millisecond
	// askPresenceShare of the confirmation limit is the age of the confirmation from which on,
	// with time for three rounds of questions before the limit,
	// daemons that were not heard are asked whether they are there: in large fleets few daemons
	// send each other anything else.
	askPresenceShare = 0.6
	// askPresenceInterval lies between two rounds of questions, and a daemon that was heard within
	// askPresenceAfter isn't asked: 340 daemons so send each other 170 questions or answers of 20
	// bytes a second, and none while what was declared is confirmed.
	askPresenceInterval = 500 * time.Millisecond
	askPresenceAfter    = 1500 * time.Millisecond
)

// presenceMessage asks whether a daemon is there, or answers.
type presenceMessage struct{}

// noteHeard notes whether half of the known daemons are heard, this one among them, and asks those
// that aren't. Nobody needs to know while what was declared is confirmed.
func (c *Coordinator) noteHeard(now time.Time) {
	from := time.Duration(askPresenceShare * float64(c.options.ConfirmationLimit))
	if now.Sub(c.options.Directory.ConfirmedAt()) < from {
		return
	}
	others, heard := c.options.Others(), 1
	for _, address := range others {
		if c.options.Presence.HeardSince(address, now.Add(-presentTime)) {
			heard++
		}
	}
	if 2*heard >= len(others)+1 {
		c.enoughHeard.set(now.Add(enoughHeardTime))
	}
	if now.Sub(c.askedPresenceAt) >= askPresenceInterval {
		c.askedPresenceAt = now
		c.askPresence(now, others)
	}
}

// askPresence asks daemons that were not heard lately whether they are there.
func (c *Coordinator) askPresence(now time.Time, others []string) {
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
