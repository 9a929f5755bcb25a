// Package pause waits for times that the end of a context cuts short.
package pause

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
)

// For waits for a duration, or less when the context ends.
func For(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Every calls a step once an interval until the context ends, in the caller's goroutine. A
// step that takes longer leaves out others.
func Every(ctx context.Context, interval time.Duration, step func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step(clock.Now())
		}
	}
}
