package simulation

import (
	"time"

	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// batchesKept is how many batches of cache events an engine keeps, as the
// stand-in engine does.
const batchesKept = 4096

// keptBatch is a batch with the time from which it can be read.
type keptBatch struct {
	batch enginewire.CacheEventBatch
	dueAt time.Time
}

// keep notes a batch for daemons that start later.
func (e *engineNode) keep(batch enginewire.CacheEventBatch, dueAt time.Time) {
	if len(e.kept) == batchesKept {
		e.kept = append([]keptBatch(nil), e.kept[batchesKept/2:]...)
	}
	e.kept = append(e.kept, keptBatch{batch: batch, dueAt: dueAt})
}

// replayEvents gives a daemon that has restarted the cache events that engines
// keep. The few milliseconds that reading them takes are left out.
func (w *world) replayEvents(daemon *daemonNode) {
	for _, engine := range w.engines {
		for _, kept := range engine.kept {
			if !kept.dueAt.After(w.now) {
				daemon.policy.ObserveCacheEvents(w.now, engine.id, kept.batch)
			}
		}
	}
}
