package rollout

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// stopInterval is how often a daemon repeats a stop, and stopTargets the number of others, drawn at random,
	// that it is sent to. All of 340 daemons have received it after three rounds.
	stopInterval = 200 * time.Millisecond
	stopTargets  = 8
)

// stop records that an order's target is bad.
type stop struct {
	order  uint64
	reason string
	dueAt  time.Time
}

// recordStop records that an order's target is bad. Source is the daemon that reported it.
func (c *Coordinator) recordStop(now time.Time, service identity.ServiceName, order uint64, reason, source string) {
	if known := c.stops[service]; known != nil && known.order >= order {
		return
	}
	c.stops[service] = &stop{order: order, reason: reason, dueAt: now}
	c.traffic(service).stop(order)
	log := c.options.Log.WithFields(logrus.Fields{"service": service, "order": order, "reason": reason, "source": source})
	if found := c.collectors[service]; found != nil && found.order == order {
		log = log.WithFields(logrus.Fields{"answers": found.verdict.Answers, "bad_answers": found.verdict.BadAnswers, "daemons": len(found.daemons)})
	}
	log.Warn("A version is bad. It gets no requests any more.")
	if source == c.self {
		c.options.Broadcast(peerlink.KindVersionStop, &stopMessage{Service: service, Order: order, Reason: reason})
	}
}

// repeatStop sends the stop of the active order to some other daemons, if it is due.
func (c *Coordinator) repeatStop(now time.Time, service identity.ServiceName, order uint64) {
	known, others := c.stops[service], c.options.Others()
	if known == nil || known.order != order || now.Before(known.dueAt) || len(others) == 0 {
		return
	}
	known.dueAt = now.Add(stopInterval)
	message := &stopMessage{Service: service, Order: order, Reason: known.reason}
	for _, index := range rand.Perm(len(others))[:min(stopTargets, len(others))] {
		peerlink.Tell(c.options.Link, others[index], peerlink.KindVersionStop, message)
	}
}

// handleStop processes a stop that another daemon has sent.
func (c *Coordinator) handleStop(_ context.Context, now time.Time, from string, got stopMessage) {
	c.recordStop(now, got.Service, got.Order, got.Reason, from)
}
