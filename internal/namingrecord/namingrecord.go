// Package namingrecord stores, in one row of the platform's store, when each version of a model's weights was
// last known not to be named. When all daemons of a fleet start at once, none can learn these times from
// another, so they are read from this row. A guess instead would admit requests on old weights only for a few
// seconds after the start, although operators allow longer, and then refuse callers until back ends have
// loaded the new weights.
package namingrecord

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/storedrow"
)

const (
	// RowKey is the key of the row.
	RowKey = "weights/named"
	// syncInterval is how often the row is compared with what this daemon knows. A fleet that stops within
	// this time after a naming has to guess the time at its next start.
	syncInterval = 50 * time.Millisecond
	// callTimeout bounds a read or write of the row; retryDelay is the wait after a failed one.
	callTimeout = 700 * time.Millisecond
	retryDelay  = 300 * time.Millisecond
	// maxVersionsPerModel is how many versions of each model the row holds at most; older ones are dropped.
	maxVersionsPerModel = 8
)

// Directory holds what this daemon knows about namings.
type Directory interface {
	// IsReader reports whether this daemon reads the store on behalf of all others. Only the reader
	// maintains the row.
	IsReader() bool
	// SeenVersions returns the known versions. A zero time marks a guess.
	SeenVersions() []directory.SeenVersion
	// AddSeenVersions adds the versions read from the row and passes them on to the other daemons.
	AddSeenVersions(ctx context.Context, seen []directory.SeenVersion)
}

// Options configures a Keeper.
type Options struct {
	Table     port.TableService
	Directory Directory
	Log       logrus.FieldLogger
	// Era counts how often the store was restored from an earlier copy; nil means never.
	Era port.EraSource
}

// Keeper maintains the row. Only the goroutine that calls Run accesses its state.
type Keeper struct {
	options Options
	row     *storedrow.Row
	// stored is what the row holds, as far as this daemon knows.
	stored []directory.SeenVersion
	// failing is set while reads or writes of the row fail.
	failing bool
}

// New returns a Keeper that does nothing until Run is called.
func New(options Options) *Keeper {
	row := storedrow.New(storedrow.Options{Key: RowKey, Table: options.Table, Era: options.Era})
	return &Keeper{options: options, row: row}
}

// Run reads the row when this daemon becomes the reader and then writes versions that the row lacks,
// until the context is cancelled.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.sync(ctx); err != nil {
			k.logFirstFailure(err)
			pause.For(ctx, retryDelay)
		} else {
			k.failing = false
		}
		pause.For(ctx, syncInterval)
	}
	return nil
}

// logFirstFailure logs the first of several consecutive failures.
func (k *Keeper) logFirstFailure(err error) {
	if !k.failing {
		k.options.Log.WithError(err).Warn("The row of named versions could not be read or written; retrying.")
	}
	k.failing = true
}

// sync brings the row and this daemon's directory to the same versions. It returns the error of a failed
// store call.
func (k *Keeper) sync(ctx context.Context) error {
	if !k.options.Directory.IsReader() {
		k.row.Forget()
		return nil
	}
	seen := k.options.Directory.SeenVersions()
	if len(seen) == 0 {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !k.row.Current() {
		return k.read(bounded)
	}
	merged := merge(k.stored, seen)
	if slices.Equal(k.stored, merged) {
		return nil
	}
	return k.write(bounded, merged)
}

// read loads the row and adds its versions to the directory. A malformed row counts as empty: guessed times
// remain, and the row is overwritten.
func (k *Keeper) read(ctx context.Context) error {
	value, err := k.row.Read(ctx)
	if err != nil {
		return err
	}
	k.stored = nil
	if value == nil {
		return nil
	}
	if err := codec.Unmarshal(value, &k.stored); err != nil {
		k.stored = nil
		k.options.Log.WithError(err).WithField("row", RowKey).Error("The row of named versions is malformed; overwriting it.")
		return nil
	}
	k.stored = sortUnique(k.stored)
	k.options.Log.WithFields(logrus.Fields{"row_version": k.row.Version(), "versions": len(k.stored)}).Info("The row of named versions was read.")
	k.options.Directory.AddSeenVersions(ctx, k.stored)
	return nil
}

// write replaces the row if it has not changed since it was read. Otherwise the next sync reads it again.
func (k *Keeper) write(ctx context.Context, merged []directory.SeenVersion) error {
	value, err := msgpack.Marshal(merged)
	if err != nil {
		return err
	}
	replaced, err := k.row.Replace(ctx, value)
	if replaced {
		k.stored = merged
	}
	return err
}
