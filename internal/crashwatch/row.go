package crashwatch

import (
	"context"
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/storedrow"
)

const (
	// RowKey is the key of the row with the evidence against quarantined requests.
	RowKey = "quarantine/requests"
	// rowInterval is how often it is looked whether the row lacks something.
	rowInterval = 50 * time.Millisecond
	// expiryInterval is how often it is looked whether a quarantine in the row has ended, which
	// takes a look at all that is remembered.
	expiryInterval = 10 * time.Second
	// rowTimeout bounds a call for the row, and rowRest lies after one that failed.
	rowTimeout = 1200 * time.Millisecond
	rowRest    = time.Second
)

// row is the state of the row, of the goroutine of KeepRow.
type row struct {
	*storedrow.Row
	// requests are those that the row holds.
	requests map[quarantine.Fingerprint]bool
	// comparedAt is when it was last compared with what this daemon knows.
	comparedAt time.Time
	// failing is set while calls for it fail.
	failing bool
}

// rowEvidence is evidence as the row has it. Times of day are steady enough: a step of seconds
// moves the end of a quarantine by as much.
type rowEvidence struct {
	Fingerprint uint64
	Backend     uint64
	// AtMs is negative for a shared part of prompts, which earlier builds take for too old to count.
	AtMs int64
}

// Informed tells whether this daemon knows what its predecessors found out, as far as it can: one
// that starts is told by another daemon, or reads for all and must have tried the row.
func (w *Watcher) Informed() bool { return w.informed.Load() || !w.options.Reads() }

// KeepRow reads the row when this daemon comes to read the store for all, and writes what it
// lacks, until the context ends.
func (w *Watcher) KeepRow(ctx context.Context) error {
	for ctx.Err() == nil {
		if !w.options.Reads() {
			w.row.Forget()
		} else if err := w.syncRow(ctx); err != nil {
			w.noteFailure(err)
			pause.For(ctx, rowRest)
		} else {
			w.row.failing = false
		}
		pause.For(ctx, rowInterval)
	}
	return nil
}

// noteFailure logs the first of some failed calls. The daemon then serves without the row.
func (w *Watcher) noteFailure(err error) {
	if !w.row.failing {
		w.options.Log.WithError(err).Warn("The row of quarantined requests can't be read or written; it is tried again.")
	}
	w.row.failing = true
	w.informed.Store(true)
}

// syncRow makes the row and this daemon know the same.
func (w *Watcher) syncRow(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	if !w.row.Current() {
		return w.readRow(bounded)
	}
	now := clock.Now()
	if !w.changed.Swap(false) && now.Sub(w.row.comparedAt) < expiryInterval {
		return nil
	}
	w.row.comparedAt = now
	held := w.quarantined(now, maximumRequests)
	requests := map[quarantine.Fingerprint]bool{}
	for _, each := range held {
		requests[each.Fingerprint] = true
	}
	if maps.Equal(requests, w.row.requests) {
		return nil
	}
	return w.writeRow(bounded, held, requests)
}

// readRow takes in what the row holds, and tells all others of it.
func (w *Watcher) readRow(ctx context.Context) error {
	value, err := w.row.Read(ctx)
	if err != nil {
		return err
	}
	w.row.requests = map[quarantine.Fingerprint]bool{}
	w.changed.Store(true)
	defer w.informed.Store(true)
	if value == nil {
		return nil
	}
	var held []rowEvidence
	if err := codec.Unmarshal(value, &held); err != nil {
		w.options.Log.WithError(err).Error("The row of quarantined requests is malformed; it is written anew.")
		return nil
	}
	w.adoptRow(held)
	return nil
}

func (w *Watcher) adoptRow(held []rowEvidence) {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, each := range held {
		w.row.requests[quarantine.Fingerprint(each.Fingerprint)] = true
		age := max(time.Since(time.UnixMilli(max(each.AtMs, -each.AtMs))), 0)
		crash := quarantine.Crash{Fingerprint: quarantine.Fingerprint(each.Fingerprint), Backend: each.Backend, At: now.Add(-age), Part: each.AtMs < 0}
		if w.add(now, crash, RowKey) {
			w.enqueue(report{crash: &crash})
		}
	}
}

// writeRow replaces the row, if it is as it was read. Otherwise it is read anew.
func (w *Watcher) writeRow(ctx context.Context, held []quarantine.Crash, requests map[quarantine.Fingerprint]bool) error {
	now := clock.Now()
	var kept []rowEvidence
	for _, each := range held {
		at := time.Now().Add(-now.Sub(each.At)).UnixMilli()
		if each.Part {
			at = -at
		}
		kept = append(kept, rowEvidence{Fingerprint: uint64(each.Fingerprint), Backend: each.Backend, AtMs: at})
	}
	value, err := msgpack.Marshal(kept)
	if err != nil {
		return err
	}
	replaced, err := w.row.Replace(ctx, value)
	if !replaced {
		w.changed.Store(true)
		return err
	}
	w.row.requests = requests
	return nil
}
