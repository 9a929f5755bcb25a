// Package namingrecord keeps in a row of the platform's store when versions of models' weights were last
// known not to be named. A fleet that starts whole, of which nobody can tell another, reads it there: a
// guess in its place lets requests begin on old weights for a few seconds only after the start, though
// operators allow more, and refuses callers from then on until back ends have loaded.
package namingrecord

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
)

const (
	// RowKey is the key of the row.
	RowKey = "weights/named"
	// interval is how often it is looked whether the row lacks something: a fleet that ends within it
	// of a naming guesses.
	interval = 50 * time.Millisecond
	// callTimeout bounds a call for the row, and failurePause lies after one that failed.
	callTimeout  = 700 * time.Millisecond
	failurePause = 300 * time.Millisecond
	// keptVersions is how many versions of a model the row holds at most, the newest.
	keptVersions = 8
)

// Directory is what this daemon knows of namings.
type Directory interface {
	// IsReader tells whether this daemon reads the store for all others: it alone keeps the row.
	IsReader() bool
	// SeenVersions returns the known versions; the time of one that is a guess is zero.
	SeenVersions() []directory.SeenVersion
	// AddSeenVersions takes in what the row holds, and tells the others of it.
	AddSeenVersions(ctx context.Context, seen []directory.SeenVersion)
}

// Options are what a Keeper works with.
type Options struct {
	Table     port.TableService
	Directory Directory
	Log       logrus.FieldLogger
	// Era counts how often the store has come back from a copy of before; nil is never.
	Era port.EraSource
}

// Keeper keeps the row. Its state belongs to the goroutine of Run.
type Keeper struct {
	options Options
	// known is set while version and held are what the row holds, as far as this daemon knows.
	known   bool
	version uint64
	held    []directory.SeenVersion
	// era is the store's of when the row was read.
	era uint64
	// failing is set while calls for the row fail.
	failing bool
}

// New makes a Keeper that does nothing until it runs.
func New(options Options) *Keeper { return &Keeper{options: options} }

// Run reads the row when this daemon comes to read the store for all, and writes what it lacks,
// until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.sync(ctx); err != nil {
			k.noteFailure(err)
			pause.For(ctx, failurePause)
		} else {
			k.failing = false
		}
		pause.For(ctx, interval)
	}
	return nil
}

// noteFailure logs the first of some failed calls.
func (k *Keeper) noteFailure(err error) {
	if !k.failing {
		k.options.Log.WithError(err).Warn("The row of named versions can't be read or written; it is tried again.")
	}
	k.failing = true
}

// sync makes the row and this daemon know the same. The error is that of a call.
func (k *Keeper) sync(ctx context.Context) error {
	if !k.options.Directory.IsReader() {
		k.known = false
		return nil
	}
	seen := k.options.Directory.SeenVersions()
	if len(seen) == 0 {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if era := k.options.Era.Era(); era != k.era { // the row may be of before
		k.era, k.known = era, false
	}
	if !k.known {
		return k.read(bounded)
	}
	merged := merge(k.held, seen)
	if slices.Equal(k.held, merged) {
		return nil
	}
	return k.write(bounded, merged)
}

// read takes in what the row holds. A row that can't be read tells nothing: guesses stay, and it is
// written anew.
func (k *Keeper) read(ctx context.Context) error {
	rows, err := k.options.Table.Read(ctx, RowKey)
	if err != nil {
		return err
	}
	k.known, k.version, k.held = true, 0, nil
	if len(rows) == 0 {
		return nil
	}
	k.version = rows[0].Version
	if err := codec.Unmarshal(rows[0].Value, &k.held); err != nil {
		k.held = nil
		k.options.Log.WithError(err).WithField("row", RowKey).Error("The row of named versions is malformed; it is written anew.")
		return nil
	}
	k.held = inOrder(k.held)
	k.options.Log.WithFields(logrus.Fields{"row_version": k.version, "versions": len(k.held)}).Info("The row of named versions was read.")
	k.options.Directory.AddSeenVersions(ctx, k.held)
	return nil
}

// write replaces the row if it is as it was read. Otherwise it is read anew.
func (k *Keeper) write(ctx context.Context, merged []directory.SeenVersion) error {
	value, err := msgpack.Marshal(merged)
	if err != nil {
		return err
	}
	rows, err := k.options.Table.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: RowKey, Version: k.version}},
		Writes:     []port.Write{{Key: RowKey, Value: value}},
	})
	if err == nil && len(rows) > 0 {
		k.version, k.held = rows[0].Version, merged
		return nil
	}
	k.known = false
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		return nil // another daemon read for all in between
	}
	return err
}
