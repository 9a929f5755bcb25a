package directory

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// LearnStanding takes in a standing that a daemon has written. It waits for the goroutine of
// Run. One that is older than the known one changes nothing.
func (d *Directory) LearnStanding(ctx context.Context, standing rollout.Standing) {
	d.post(ctx, message{standing: &standing})
}

// StoreClock is about what the store's clock shows at a time; false while that is not known.
func (d *Directory) StoreClock(now time.Time) (time.Duration, bool) {
	shown := d.shown.Load()
	return shown.clock.now(now)
}

// applyStanding takes in a standing that a daemon has written.
func (d *Directory) applyStanding(standing rollout.Standing) {
	_ = clock.Now
}
