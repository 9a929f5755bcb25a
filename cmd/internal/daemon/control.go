package daemon

import (
	"context"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/pause"
)

// AddTo adds the daemon's parts to a group. All but the listeners go on until the
// last request has ended, since requests need a belief that is up to date, and the
// holder of the lease of weight updates keeps its duty for as long as it can.
func (w *Daemon) AddTo(group *run.Group) {
	add := func(part func(context.Context) error) {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return part(ctx) }, func(error) {
			go func() {
				<-w.serving.stopped
				cancel()
			}()
		})
	}
	for _, part := range w.control() {
		add(part)
	}
	w.metricsOut.addTo(group)
	w.serving.addTo(group)
}

// control are the parts that keep what this daemon believes, and act on it.
func (w *Daemon) control() []func(context.Context) error {
	parts := []func(context.Context) error{
		w.directory.Run, w.members.Run, w.namings.Run, w.streams.Run, w.streamRecord.Run, w.streamArchive.Run, w.weights.Run, w.follower.Run, w.link.Run, w.snapshots.Run, w.broadcast.Run, w.tree.Run, w.loads.Run,
		w.homes.Run, w.rooms.Run, w.limits.Run, w.paths.Run, w.prober.Run, w.crashes.Run, w.crashes.KeepRow, w.promptsIn.Run, w.cachesIn.Run, w.sweep, w.countBackends, w.watchClock, w.checkLedger, w.keeper.Run,
	}
	if w.rollouts != nil {
		parts = append(parts, w.rollouts.Run)
	}
	return parts
}

// watchClock looks for suspensions of the machine that no decision has noticed.
func (w *Daemon) watchClock(ctx context.Context) error {
	log := w.part("clock")
	if !clock.Readable() {
		log.Error("Suspensions of the machine can't be noticed: spans that contain one look shorter than they are.")
	}
	clock.OnSuspension(func(suspended time.Duration) {
		log.WithFields(logrus.Fields{
			"suspended_ms": suspended.Milliseconds(), "total_ms": clock.Suspended().Milliseconds(),
		}).Warn("The machine was suspended.")
	})
	pause.Every(ctx, clockCheckInterval, func(time.Time) { clock.Check() })
	return nil
}

// sweep closes connections that are unused for too long.
func (w *Daemon) sweep(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, sweepTime)
		w.pool.Sweep(clock.Now())
	}
	return nil
}
