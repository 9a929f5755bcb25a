package configuration

import (
	"context"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/revision"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

const (
	// scanLimit is how many change rows one scan of the table asks for.
	scanLimit = 200
	// mirrorGap is from how many missing revisions the mirror is taken first.
	mirrorGap = 500
)

// position reads where the table stands. A change ID may be read along.
func (r *Runner) position(ctx context.Context, changeID string) (revision.Position, error) {
	keys := []string{revision.KeyHead}
	if r.Revision() == 0 {
		keys = append(keys, revision.KeySnapshot)
	}
	if changeID != "" {
		keys = append(keys, revision.ChangeIDKey(changeID))
	}
	rows, err := r.options.Table.Read(ctx, keys...)
	if err != nil {
		return revision.Position{}, err
	}
	return revision.ReadPosition(rows)
}

// catchUp brings the store to the head of a position, by the table's rows.
func (r *Runner) catchUp(ctx context.Context, position revision.Position) error {
	if position.Snapshot != nil {
		if err := r.install(*position.Snapshot, revision.SourceTable); err != nil {
			r.options.Log.WithError(err).Error("The snapshot row is not usable.")
		}
	}
	if position.Head.Revision > r.Revision()+mirrorGap {
		// A shortcut only: the rows after the mirror are read in any case.
		_ = r.loadMirror(ctx)
	}
	for r.Revision() < position.Head.Revision {
		if err := r.readChanges(ctx); err != nil {
			return err
		}
	}
	return nil
}

// readChanges takes the next change rows of the table.
func (r *Runner) readChanges(ctx context.Context) error {
	before := r.Revision()
	rows, err := r.options.Table.Scan(ctx, revision.PrefixChange, revision.ChangeKey(before), scanLimit)
	if err != nil {
		return err
	}
	entries := make([]revision.Entry, 0, len(rows))
	for _, row := range rows {
		entry, err := r.readEntry(ctx, row)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	if err := r.offer(entries, revision.SourceTable); err != nil {
		return err
	}
	if r.Revision() == before {
		return fmt.Errorf("the table has no change row after revision %d", before)
	}
	return nil
}

// readEntry reads a change row, and the object of a large change.
func (r *Runner) readEntry(ctx context.Context, row platformwire.Row) (revision.Entry, error) {
	changeRow, err := revision.ReadChangeRow(row)
	if err != nil {
		return revision.Entry{}, err
	}
	entry := changeRow.Entry()
	if changeRow.Object == "" {
		return entry, nil
	}
	body, err := r.options.Objects.Get(ctx, changeRow.Object)
	if err != nil {
		return revision.Entry{}, err
	}
	entry.Change, err = dynamic.DecodeChange(body)
	return entry, err
}

// acceptedEntry reads the entry of one revision.
func (r *Runner) acceptedEntry(ctx context.Context, accepted identity.Revision) (revision.Entry, error) {
	rows, err := r.options.Table.Read(ctx, revision.ChangeKey(accepted))
	if err != nil {
		return revision.Entry{}, err
	}
	if len(rows) != 1 {
		return revision.Entry{}, fmt.Errorf("the table has no change row of revision %d", accepted)
	}
	return r.readEntry(ctx, rows[0])
}

// loadMirror takes the object store's copy if it is newer. It confirms nothing.
func (r *Runner) loadMirror(ctx context.Context) error {
	body, err := r.options.Objects.Get(ctx, revision.ObjectMirror)
	if err != nil {
		return err
	}
	var snapshot revision.Snapshot
	if err := msgpack.Unmarshal(body, &snapshot); err != nil {
		return fmt.Errorf("mirror: %w", err)
	}
	return r.install(snapshot, revision.SourceMirror)
}
