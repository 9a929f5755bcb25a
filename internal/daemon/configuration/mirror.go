package configuration

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/core/revision"
)

// mirrorWriter remembers that the object store's copy is out of date. Only the
// daemon that committed a change rewrites the copy.
type mirrorWriter struct {
	wanted    atomic.Bool
	writtenAt time.Time
}

func (w *mirrorWriter) request() { w.wanted.Store(true) }

// writeMirrorIfDue rewrites the object store's copy if this daemon committed a
// change since it last did, at most once in Options.MirrorInterval. Only the
// runner's loop calls it.
func (r *Runner) writeMirrorIfDue(ctx context.Context) error {
	now := r.options.Clock()
	if now.Sub(r.mirror.writtenAt) < r.options.MirrorInterval || !r.mirror.wanted.Swap(false) {
		return nil
	}
	r.mirror.writtenAt = now
	if err := r.writeMirror(ctx); err != nil {
		r.mirror.request()
		return err
	}
	return nil
}

func (r *Runner) writeMirror(ctx context.Context) error {
	snapshot, err := r.snapshot()
	if err != nil {
		return err
	}
	body, err := msgpack.Marshal(snapshot)
	if err != nil {
		return err
	}
	return r.options.Objects.Put(ctx, revision.ObjectMirror, body)
}

// snapshot encodes the present document.
func (r *Runner) snapshot() (revision.Snapshot, error) {
	r.mutex.Lock()
	head, document := r.store.Head(), r.store.Document()
	r.mutex.Unlock()
	return revision.NewSnapshot(head, document)
}
