package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/storedrow"
)

const (
	// RowKey is the key of the row with the versions that were listed lately.
	RowKey = "streams/versions"
	// recordInterval is how often the row is compared with what this daemon knows. A version that is listed and removed
	// within this time before all daemons end is missing in the row.
	recordInterval = 50 * time.Millisecond
	// recordTimeout bounds a call for the row; recordRetry is the mean wait after a failed one.
	recordTimeout = 700 * time.Millisecond
	recordRetry   = 300 * time.Millisecond
	// recordPatience is how long a daemon that is not the reader waits for the first row before it looks at the store's history
	// itself, which may take as many bytes as the list, and recordPoll how often it looks for the row meanwhile. Both are longer by
	// a time for each daemon, so that the daemons of a large fleet don't all do so at once.
	recordPatience          = time.Second
	recordPatiencePerDaemon = 30 * time.Millisecond
	recordPoll              = 300 * time.Millisecond
	recordPollPerDaemon     = 3 * time.Millisecond
	// historyTimeout bounds the look at the store's history, which may take a call for each bit of a version. Looks that fail are
	// repeated for historyPatience; then earlier versions count as unknown. For as long after a look that told of no removal, the first
	// row waits until its writer has verified its list.
	historyTimeout  = 3 * time.Second
	historyPatience = 10 * time.Second
	// recordFormat is the format of the row. A row without it was not written by a daemon.
	recordFormat = 1
	// maxRowBytes bounds the row. Rows of the store hold 65,536 bytes.
	maxRowBytes = 48 << 10
)

// record is the row: the versions of each service that were listed within the last Retention. It holds no times: a daemon that
// reads it takes versions that are no longer listed for removed just now.
type record struct {
	// Format is recordFormat.
	Format int
	// Era is the store's when the row was written. A row of an earlier era may lack versions that were listed since.
	Era uint64
	// Partial is set if versions may be missing.
	Partial  bool
	Services []recordedService
}

// recordedService are the versions of a service, in the order of their names.
type recordedService struct {
	Service  identity.ServiceName
	Versions []identity.SoftwareVersion
}

// Directory tells what this daemon knows of the store.
type Directory interface {
	// Complete reports whether the list of back ends is known.
	Complete() bool
	// IsReader reports whether this daemon reads the store for all others. Only the reader writes the row.
	IsReader() bool
}

// RecorderOptions configures a Recorder.
type RecorderOptions struct {
	Table     port.TableService
	Directory Directory
	Registry  *Registry
	Log       logrus.FieldLogger
	// Era counts how often the store was restored from an earlier copy; nil means never.
	Era port.EraSource
	// Daemons returns the number of daemons.
	Daemons func() int
	// RemovedLately reports whether back ends were removed from the list within the history that the store keeps. It fails if the store
	// keeps none; nil always does.
	RemovedLately func(ctx context.Context) (bool, error)
	// Refresh brings the list of back ends up to date; nil leaves it as it is.
	Refresh func(ctx context.Context) error
}

// Recorder reads the row for a daemon that has started, and maintains it while this daemon is the reader. Only the goroutine that
// calls Run accesses its state.
type Recorder struct {
	options RecorderOptions
	row     *storedrow.Row
	// read is set once the row was read, stored is what it holds, and proves is set if that names all versions.
	read   bool
	stored record
	proves bool
	// cleanAt is when the store's history told, at the daemon's start, that no back end was removed lately, and cleanEra the era of the
	// store then; zero if it didn't. It is asked again from lookAt on.
	cleanAt, lookAt time.Time
	cleanEra        uint64
	// failedSince is when the first look at the store's history failed; zero if none did.
	failedSince time.Time
	// failing is set while calls for the row fail.
	failing bool
	// waitsUntil is when a daemon that is not the reader waits for the first row no longer, and pollAt when to look for it again.
	waitsUntil, pollAt time.Time
}

// NewRecorder returns a Recorder that does nothing until Run is called.
func NewRecorder(options RecorderOptions) *Recorder {
	row := storedrow.New(storedrow.Options{Key: RowKey, Table: options.Table, Era: options.Era})
	return &Recorder{options: options, row: row}
}

// Run reads and maintains the row until the context is cancelled.
func (r *Recorder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.sync(ctx); err != nil {
			r.logFirstFailure(err)
			pause.For(ctx, recordRetry/2+rand.N(recordRetry))
		} else {
			r.failing = false
		}
		pause.For(ctx, recordInterval)
	}
	return nil
}

func (r *Recorder) logFirstFailure(err error) {
	if !r.failing {
		r.options.Log.WithError(err).WithField("row", RowKey).Warn("The record of listed versions can't be read or written; retrying.")
	}
	r.failing = true
}

// sync reads the row once the list of back ends is known, so that each version listed before is in one of them, and writes it if
// this daemon is the reader and knows other versions.
func (r *Recorder) sync(ctx context.Context) error {
	if !r.options.Directory.Complete() {
		return nil
	}
	reader := r.options.Directory.IsReader()
	if !reader {
		r.row.Forget()
	}
	if !r.read || (reader && !r.row.Current()) {
		return r.load(ctx, reader)
	}
	if !reader {
		return nil
	}
	known := r.known()
	if reflect.DeepEqual(known, r.stored) {
		return nil
	}
	if known.Partial && r.mayBecomeWhole() {
		return r.verifyByHistory(ctx)
	}
	bounded, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return r.write(bounded, known)
}

// known returns the record of what this daemon knows.
func (r *Recorder) known() record {
	versions, complete := r.options.Registry.RecentVersions()
	partial := !complete || (!r.proves && r.options.Registry.missed())
	made := record{Format: recordFormat, Era: r.options.Era.Era(), Partial: partial}
	for _, service := range slices.Sorted(maps.Keys(versions)) {
		made.Services = append(made.Services, recordedService{Service: service, Versions: versions[service]})
	}
	return made
}

// load reads the row and adopts its versions, unless this daemon knows more.
func (r *Recorder) load(ctx context.Context, reader bool) error {
	now := r.options.Registry.options.Now()
	if !reader && now.Before(r.pollAt) {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	value, err := r.row.Read(bounded)
	if err != nil {
		return err
	}
	if value == nil && !r.read && !reader && r.waitsForFirst(now) {
		return nil
	}
	first := !r.read
	r.stored = record{}
	earlier := EarlierUnknown
	if value != nil {
		earlier = r.decode(value)
	}
	r.proves = earlier == EarlierKnown
	if value == nil && first {
		if earlier, err = r.withoutRow(ctx); err != nil {
			return err
		}
	}
	r.read = true
	r.adopt(earlier)
	if first && earlier != EarlierUnknown {
		r.options.Registry.verified(now)
	}
	return nil
}

// mayBecomeWhole reports whether there is no row yet, and this daemon, which knew all versions at its start, may soon have verified those
// since: daemons that start together have not heard each other at first.
func (r *Recorder) mayBecomeWhole() bool {
	recent := !r.cleanAt.IsZero() && r.options.Registry.options.Now().Sub(r.cleanAt) < historyPatience
	return recent && r.row.Version() == 0 && r.cleanEra == r.options.Era.Era()
}

// verifyByHistory verifies the list of a daemon that was out of contact, and no longer is, by the store's history in place of a row.
func (r *Recorder) verifyByHistory(ctx context.Context) error {
	now := r.options.Registry.options.Now()
	if now.Before(r.lookAt) || !r.options.Registry.missedInContact() {
		return nil
	}
	r.lookAt = now.Add(recordRetry)
	removed, err := r.look(ctx)
	if err != nil {
		return err
	}
	if removed {
		r.cleanAt = time.Time{}
		return nil
	}
	r.options.Registry.verified(now)
	return nil
}

// look refreshes the list, and reports whether back ends were removed from it within the store's history. If none was, the list has all
// versions that were listed within that time up to the refresh.
func (r *Recorder) look(ctx context.Context) (removed bool, err error) {
	if r.options.Refresh != nil {
		bounded, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		if err := r.options.Refresh(bounded); err != nil {
			return false, err
		}
	}
	bounded, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	return r.options.RemovedLately(bounded)
}

// waitsForFirst reports whether the row, which is missing, should be looked for again: the reader may be about to write it.
func (r *Recorder) waitsForFirst(now time.Time) bool {
	daemons := time.Duration(r.options.Daemons())
	if r.waitsUntil.IsZero() {
		patience := recordPatience + daemons*recordPatiencePerDaemon
		r.waitsUntil = now.Add(patience + rand.N(patience))
	}
	poll := recordPoll + daemons*recordPollPerDaemon
	r.pollAt = now.Add(poll/2 + rand.N(poll))
	return now.Before(r.waitsUntil)
}

// withoutRow returns what is known of earlier versions if no row was ever written, because the deployment is new or daemons of earlier
// builds were there. The list is the same as before then, unless back ends were removed within the history of the store. Its era tells
// nothing: a store may have been restored long ago, and a record that was written before it was restored names an earlier era. It fails if
// the store doesn't answer and should be asked again.
func (r *Recorder) withoutRow(ctx context.Context) (Earlier, error) {
	log := r.options.Log.WithFields(logrus.Fields{"row": RowKey, "era": r.options.Era.Era()})
	if r.options.RemovedLately == nil {
		log.Warn("There is no record of listed versions, and no history of the list: earlier versions are unknown.")
		return EarlierUnknown, nil
	}
	now, era := r.options.Registry.options.Now(), r.options.Era.Era()
	removed, err := r.look(ctx)
	if r.asksAgain(err) {
		return EarlierUnknown, err
	}
	log = log.WithField("removed", removed)
	if err != nil || removed {
		log.WithError(err).Warn("There is no record of listed versions, and back ends may have been removed lately: earlier versions are unknown.")
		return EarlierUnknown, nil
	}
	r.cleanAt, r.cleanEra = now, era
	log.Info("There is no record of listed versions, and no back end was removed lately: all versions are listed.")
	return EarlierUnrecorded, nil
}

// asksAgain reports whether a look at the store's history failed, and another one may tell more.
func (r *Recorder) asksAgain(err error) bool {
	var none *port.NotFoundError
	if err == nil || errors.As(err, &none) {
		return false
	}
	now := r.options.Registry.options.Now()
	if r.failedSince.IsZero() {
		r.failedSince = now
	}
	return now.Sub(r.failedSince) < historyPatience
}

// adopt adds what the row, or its absence, tells of earlier versions. A daemon that knows all versions may not have heard of the last.
func (r *Recorder) adopt(earlier Earlier) {
	_, complete := r.options.Registry.RecentVersions()
	versions := r.stored.versions()
	r.options.Registry.AdoptEarlier(versions, earlier)
	if complete {
		return
	}
	r.options.Log.WithFields(logrus.Fields{
		"row_version": r.row.Version(), "services": len(versions), "complete": earlier != EarlierUnknown, "era": r.stored.Era, "partial": r.stored.Partial,
	}).Info("The record of listed versions was read.")
}

// decode decodes the row. A malformed row holds no versions.
func (r *Recorder) decode(value []byte) Earlier {
	var err error
	if r.stored, err = decodeRecord(value); err != nil {
		r.options.Log.WithError(err).WithField("row", RowKey).Error("The record of listed versions is malformed; overwriting it.")
		return EarlierUnknown
	}
	if r.stored.Partial || r.stored.Era != r.options.Era.Era() {
		return EarlierUnknown
	}
	return EarlierKnown
}

// decodeRecord decodes the row. A malformed one is empty.
func decodeRecord(value []byte) (record, error) {
	var stored record
	err := codec.Unmarshal(value, &stored)
	if err == nil && stored.Format != recordFormat {
		err = fmt.Errorf("format %d is not %d", stored.Format, recordFormat)
	}
	if err != nil {
		return record{}, err
	}
	return stored, nil
}

// write replaces the row.
func (r *Recorder) write(ctx context.Context, known record) error {
	value, err := msgpack.Marshal(known)
	if err != nil {
		return err
	}
	if len(value) > maxRowBytes {
		known = record{Format: recordFormat, Era: known.Era, Partial: true}
		if reflect.DeepEqual(known, r.stored) {
			return nil
		}
		r.options.Log.WithFields(logrus.Fields{"row": RowKey, "bytes": len(value), "limit_bytes": maxRowBytes}).Error("The record of listed versions is too long; only that it is partial is stored.")
		if value, err = msgpack.Marshal(known); err != nil {
			return err
		}
	}
	replaced, err := r.row.Replace(ctx, value)
	if replaced {
		r.stored, r.proves = known, !known.Partial
	}
	return err
}
