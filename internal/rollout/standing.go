package rollout

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// learn passes a standing that has been written to the store on to the directory, without waiting.
func (c *Coordinator) learn(ctx context.Context, standing rollout.Standing) {
	go c.options.Directory.Learn(ctx, standing)
}

// broadcastStanding broadcasts a standing that has been written to the store. Daemons that miss it get it with a
// collector's answer to their next report (grantMessage.Standing).
func (c *Coordinator) broadcastStanding(standing rollout.Standing) {
	c.options.Broadcast(peerlink.KindVersionStanding, &standingMessage{Standing: standing})
}

// handleStanding adopts a standing that another daemon has broadcast.
func (c *Coordinator) handleStanding(ctx context.Context, _ time.Time, _ string, got standingMessage) {
	c.learn(ctx, got.Standing)
}

// post passes an event, which records the outcome of a store or back-end call, to the goroutine of Run. Unlike
// enqueue, it waits while the inbox is full. If ctx ends first, the event is dropped.
func (c *Coordinator) post(ctx context.Context, event func(ctx context.Context, now time.Time)) {
	select {
	case c.inbox <- event:
	case <-ctx.Done():
	}
}
