package rollout

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// learn takes in a standing that was written, without waiting.
func (c *Coordinator) learn(ctx context.Context, standing rollout.Standing) {
	go c.options.Directory.Learn(ctx, standing)
}

// tellStanding tells all daemons of a standing that was written. Who doesn't hear it is told
// with the answer to its next report.
func (c *Coordinator) tellStanding(standing rollout.Standing) {
	c.options.Broadcast(peerlink.KindVersionStanding, &standingMessage{Standing: standing})
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
