package configuration

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/core/revision"
	"github.com/lotusward/lotusward/internal/pause"
)

const (
	// startingInterval is the pause between two steps until the first
	// confirmation, in the first startingPeriod of a daemon's life.
	startingInterval = 250 * time.Millisecond
	startingPeriod   = 5 * time.Second
	// confirmJitter is the part by which a pause is longer or shorter at random.
	confirmJitter = 0.15
	// refreshInterval is how often isolation and the mirror are looked after.
	refreshInterval = 250 * time.Millisecond
	// awaitInterval is how often a starting daemon looks for its peers.
	awaitInterval = 50 * time.Millisecond
)

// Run loads the configuration and keeps it the newest until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	defer r.stop()
	r.awaitPeers(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.lookAfter(ctx)
	}()
	for ctx.Err() == nil {
		r.step(ctx)
		pause.For(ctx, r.pause())
	}
	<-done
	return nil
}

// awaitPeers gives membership a moment to find most daemons, so that not every
// daemon of a herd takes itself for a root and reads the table.
func (r *Runner) awaitPeers(ctx context.Context) {
	deadline := r.options.Clock().Add(r.herdDelay())
	for ctx.Err() == nil && r.options.Clock().Before(deadline) {
		if len(r.options.Peers.Members())+1 > r.options.Peers.Size()/2 {
			return
		}
		pause.For(ctx, awaitInterval)
	}
}

// herdDelay is a random part of the time over which all daemons together may
// each read the table once.
func (r *Runner) herdDelay() time.Duration {
	return time.Duration(r.options.Random() * float64(r.herdPeriod()))
}

func (r *Runner) herdPeriod() time.Duration {
	seconds := float64(r.options.Peers.Size()) / DefaultHerdReadsPerSecond
	return time.Duration(seconds * float64(time.Second))
}

// step asks once for a confirmation, and falls back on the mirror while there is
// no document at all.
func (r *Runner) step(ctx context.Context) {
	err := r.confirmOnce(ctx)
	if err != nil {
		r.options.Log.WithError(err).Debug("No confirmation.")
	}
	if err != nil && r.wantsMirror() {
		r.startFromMirror(ctx)
	}
	r.refresh()
}

// wantsMirror tells whether neither the table nor any peer gave a document in
// time. Roots read the mirror, and the others get it from their parents.
func (r *Runner) wantsMirror() bool {
	waited := r.options.Clock().Sub(r.startedAt) >= r.options.MirrorGrace
	if !waited || r.Revision() > 0 {
		return false
	}
	_, rank, _ := r.ranking()
	return rank < revision.Roots
}

func (r *Runner) startFromMirror(ctx context.Context) {
	if err := r.loadMirror(ctx); err != nil {
		r.options.Log.WithError(err).Warn("The mirror can't be read.")
		return
	}
	r.options.Log.Warnf("Revision %d of the mirror is provisional.", r.Revision())
}

func (r *Runner) pause() time.Duration {
	interval := r.options.ConfirmInterval
	starting := r.options.Clock().Sub(r.startedAt) < startingPeriod
	if starting && r.Status().Provisional {
		interval = min(interval, startingInterval)
	}
	jitter := (2*r.options.Random() - 1) * confirmJitter
	return time.Duration((1 + jitter) * float64(interval))
}

// lookAfter notices isolation, and writes the mirror.
func (r *Runner) lookAfter(ctx context.Context) {
	for ctx.Err() == nil {
		r.refresh()
		if err := r.writeMirrorIfDue(ctx); err != nil {
			r.options.Log.WithError(err).Warn("The mirror can't be written.")
		}
		pause.For(ctx, refreshInterval)
	}
}
