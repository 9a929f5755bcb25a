package rollout

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// learn takes in a standing that was written, without waiting.
func (c *Coordinator) learn(ctx context.Context, standing rollout.Standing) {
	go c.options.Belief.Learn(ctx, standing)
}

// tellStanding tells all daemons of a standing that was written. Who doesn't hear it is told
// with the answer to its next report.
func (c *Coordinator) tellStanding(standing rollout.Standing) {
	c.options.Tell(peerlink.KindVersionStanding, &standingMessage{Standing: standing})
}

// hearStanding takes in a standing that another daemon tells.
func (c *Coordinator) hearStanding(ctx context.Context, _ time.Time, _ string, got standingMessage) {
	c.learn(ctx, got.Standing)
}

// post hands the result of a call to the goroutine of Run; it waits for room.
func (c *Coordinator) post(ctx context.Context, event func(ctx context.Context, now time.Time)) {
	select {
	case c.inbox <- event:
	case <-ctx.Done():
	}
}

// logStanding logs by which standing this daemon's requests are sent from now on.
func (c *Coordinator) logStanding(service identity.ServiceName, believed rollout.Service) {
	standing := believed.Standing
	c.options.Log.WithFields(logrus.Fields{
		"service": service, "stage": standing.Stage, "stable": standing.Stable, "target": standing.Target,
		"order": standing.Order, "row": standing.Row, "reason": standing.Reason,
		"confirmed_ms": c.options.Now().Sub(c.options.Belief.ConfirmedAt()).Milliseconds(),
	}).Info("Requests go to versions by another standing.")
}
