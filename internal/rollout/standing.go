package rollout

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// learn passes a standing that was written to the directory, in the background.
func (c *Coordinator) learn(ctx context.Context, standing rollout.Standing) {
	go c.options.Directory.Learn(ctx, standing)
}

// broadcastStanding broadcasts a standing that was written. Daemons that miss it learn of it from the answer to their
// next report.
func (c *Coordinator) broadcastStanding(standing rollout.Standing) {
	c.options.Broadcast(peerlink.KindVersionStanding, &standingMessage{Standing: standing})
}

// handleStanding adopts a standing that another daemon has broadcast.
func (c *Coordinator) handleStanding(ctx context.Context, _ time.Time, _ string, got standingMessage) {
	c.learn(ctx, got.Standing)
}

// post passes the result of a call to the goroutine of Run. It blocks while the inbox is full.
func (c *Coordinator) post(ctx context.Context, event func(ctx context.Context, now time.Time)) {
	select {
	case c.inbox <- event:
	case <-ctx.Done():
	}
}
