// Package storedrow keeps a daemon's copy of a row of the platform's store that is only ever replaced as a whole, by one
// daemon at a time: a replacement has no effect if another daemon has replaced the row since this one read it.
package storedrow

import (
	"context"
	"errors"

	"github.com/lotusward/lotusward/internal/port"
)

// Options configures a Row.
type Options struct {
	Key   string
	Table port.TableService
	// Era counts how often the store was restored from an earlier copy; nil means never.
	Era port.EraSource
}

// Row is a copy of a row. It is not safe for concurrent use.
type Row struct {
	options Options
	current bool
	version uint64
	// era is the store's era when the row was read.
	era uint64
}

// New returns a Row that was not read yet.
func New(options Options) *Row { return &Row{options: options} }

// Current reports whether the copy matches the row as far as this daemon knows. It no longer does once the store was restored.
func (r *Row) Current() bool { return r.current && r.era == r.options.Era.Era() }

// Version returns the store's version of the row; zero if there was none.
func (r *Row) Version() uint64 { return r.version }

// Forget makes the copy no longer current.
func (r *Row) Forget() { r.current = false }

// Read reads the row. It returns nil if there is none, and never for one that is empty.
func (r *Row) Read(ctx context.Context) ([]byte, error) {
	era := r.options.Era.Era()
	rows, err := r.options.Table.Read(ctx, r.options.Key)
	if err != nil {
		return nil, err
	}
	r.current, r.version, r.era = true, 0, era
	if len(rows) == 0 {
		return nil, nil
	}
	r.version = rows[0].Version
	if rows[0].Value == nil {
		return []byte{}, nil
	}
	return rows[0].Value, nil
}

// Replace writes the row unless it has changed since it was read. It returns false, and the copy is no longer current, if
// nothing was written or that is not known. A change by another daemon is no error.
func (r *Row) Replace(ctx context.Context, value []byte) (bool, error) {
	rows, err := r.options.Table.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: r.options.Key, Version: r.version}},
		Writes:     []port.Write{{Key: r.options.Key, Value: value}},
	})
	if err == nil && len(rows) > 0 {
		r.version = rows[0].Version
		return true, nil
	}
	r.current = false
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return false, err
}
