package streamorigin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
)

const (
	// archivePrefix begins the keys of the rows with beginnings of streams: archivePrefix, the daemon's name, a slash, and the row's
	// number.
	archivePrefix = "begun/"
	// archiveIntervalPerDaemon times the number of daemons is the time between two writes of a daemon, and at least
	// minArchiveInterval: all together write a hundred times a second at most. Streams that begin in this time before all daemons end
	// are lost.
	archiveIntervalPerDaemon = 10 * time.Millisecond
	minArchiveInterval       = 50 * time.Millisecond
	// oldRowsInterval is how often a daemon looks for rows of its own to remove.
	oldRowsInterval = 10 * time.Second
	// archiveTimeout bounds a call.
	archiveTimeout = 700 * time.Millisecond
	// A daemon keeps archiveRows rows of up to streamsPerRow streams each, and overwrites the oldest.
	archiveRows   = 64
	streamsPerRow = 64
	// maxRowsPerWrite bounds one transaction.
	maxRowsPerWrite = 16
	// archivePage is the number of rows that are read in one call, and maxArchivedStreams that of the streams that are taken over, the
	// newest first.
	archivePage        = 500
	maxArchivedStreams = 1 << 15
	// rereadInterval is the time between two readings of all rows, for streams that no daemon remembers, and retryInterval that after
	// one that failed.
	rereadInterval = time.Second
	retryInterval  = 200 * time.Millisecond
	// maxArchivingDaemons is the number of daemons up to which they archive: all rows are read by each daemon that starts.
	maxArchivingDaemons = 128
)

// ArchiveOptions configures an Archive.
type ArchiveOptions struct {
	Table port.TableService
	// Self is this daemon's name, which it keeps over its starts.
	Self     string
	Registry *Registry
	// Ready reports whether the list of back ends is known.
	Ready func() bool
	// Daemons returns the number of daemons.
	Daemons func() int
	Log     logrus.FieldLogger
}

// Archive keeps in the store which versions began streams while their services had several, for daemons that start once all that
// remembered them have ended. A recorded beginning never changes, so that none is outdated.
type Archive struct {
	options ArchiveOptions

	mutex sync.Mutex
	// pending are beginnings that were not written yet, and added has a value once there are some.
	pending []beginning
	added   chan struct{}
	reading *archiveReading

	// The fields below are owned by the goroutine of Run. next is the row that is written next.
	next    archiveRow
	failing bool
	// writtenAt is when a row was last written; zero if there is none.
	writtenAt time.Time
}

// archiveReading is one reading of all rows.
type archiveReading struct {
	began time.Time
	done  chan struct{}
	err   error
	// sequence is the highest one of this daemon's own rows.
	sequence uint64
}

// NewArchive returns an Archive that writes nothing until Run is called.
func NewArchive(options ArchiveOptions) *Archive {
	return &Archive{options: options, added: make(chan struct{}, 1), next: archiveRow{Format: archiveFormat}}
}

// enabled reports whether daemons archive: they are few enough.
func (a *Archive) enabled() bool { return a.options.Daemons() <= maxArchivingDaemons }

// add adds beginnings of streams that this daemon has seen. It never blocks.
func (a *Archive) add(begun []beginning) {
	if len(begun) == 0 || !a.enabled() {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.pending = append(a.pending, begun...)
	a.dropExcess()
	a.wake()
}

// wake makes Run write.
func (a *Archive) wake() {
	select {
	case a.added <- struct{}{}:
	default:
	}
}

// Run reads all rows once, and then writes what is added, until the context is cancelled.
func (a *Archive) Run(ctx context.Context) error {
	for ctx.Err() == nil && !a.begin(ctx) {
		pause.For(ctx, minArchiveInterval)
	}
	old := time.NewTicker(oldRowsInterval)
	defer old.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-old.C:
			a.removeOld(ctx)
		case <-a.added:
			a.writeAdded(ctx)
		}
	}
}

// writeAdded writes once and waits until the next write may follow.
func (a *Archive) writeAdded(ctx context.Context) {
	if err := a.write(ctx); err != nil {
		a.logFirstFailure(err)
		pause.For(ctx, archiveTimeout)
		a.wake()
		return
	}
	a.failing = false
	pause.For(ctx, max(minArchiveInterval, time.Duration(a.options.Daemons())*archiveIntervalPerDaemon))
}

func (a *Archive) logFirstFailure(err error) {
	if !a.failing {
		a.options.Log.WithError(err).WithField("rows", archivePrefix).Warn("Beginnings of streams can't be read or written in the store; retrying.")
	}
	a.failing = true
}

// begin reads the rows of before this daemon's start, and returns true once that is done.
func (a *Archive) begin(ctx context.Context) bool {
	if !a.options.Ready() || !a.enabled() {
		return false
	}
	reading := a.read()
	select {
	case <-reading.done:
	case <-ctx.Done():
		return false
	}
	if reading.err != nil {
		a.logFirstFailure(reading.err)
		return false
	}
	a.next.Sequence = reading.sequence + 1
	if reading.sequence > 0 {
		a.writtenAt = clock.Now()
	}
	return true
}

// write writes what was added since the last time.
func (a *Archive) write(ctx context.Context) error {
	pending := a.take()
	if len(pending) == 0 {
		return nil
	}
	rows := a.rowsOf(pending)
	err := a.commit(ctx, rows)
	if err != nil {
		a.giveBack(pending)
		return err
	}
	a.next, a.writtenAt = rows[len(rows)-1], clock.Now()
	return nil
}

// take returns and removes beginnings that were not written yet, as many as one write holds.
func (a *Archive) take() []beginning {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := min(len(a.pending), maxRowsPerWrite*streamsPerRow-len(a.next.Streams))
	taken := slices.Clone(a.pending[:count])
	if a.pending = slices.Clone(a.pending[count:]); len(a.pending) > 0 {
		a.wake()
	}
	return taken
}

// giveBack adds beginnings again that could not be written.
func (a *Archive) giveBack(taken []beginning) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.pending = append(taken, a.pending...)
	a.dropExcess()
}

// dropExcess drops the oldest beginnings of more than the rows hold. The caller holds the mutex.
func (a *Archive) dropExcess() {
	if excess := len(a.pending) - archiveRows*streamsPerRow; excess > 0 {
		a.pending = slices.Clone(a.pending[excess:])
	}
}

func (a *Archive) commit(ctx context.Context, rows []archiveRow) error {
	var writes []port.Write
	for _, row := range rows {
		value, err := codec.Marshal(&row)
		if err != nil {
			return err
		}
		writes = append(writes, port.Write{Key: a.key(row.Sequence), Value: value})
	}
	bounded, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	_, err := a.options.Table.Commit(bounded, port.Transaction{Writes: writes})
	return err
}

// rowsOf returns the rows to write: the present one with more streams, and further ones.
func (a *Archive) rowsOf(pending []beginning) []archiveRow {
	current := archiveRow{Format: archiveFormat, Sequence: a.next.Sequence, Versions: slices.Clone(a.next.Versions), Streams: slices.Clone(a.next.Streams)}
	var rows []archiveRow
	for _, begun := range pending {
		if len(current.Streams) == streamsPerRow {
			rows = append(rows, current)
			current = archiveRow{Format: archiveFormat, Sequence: current.Sequence + 1}
		}
		current.add(begun)
	}
	return append(rows, current)
}

// key returns the key of a row of this daemon.
func (a *Archive) key(sequence uint64) string {
	return fmt.Sprintf("%s%02d", a.ownPrefix(), sequence%archiveRows)
}

func (a *Archive) ownPrefix() string { return archivePrefix + a.options.Self + "/" }

// removeOld removes this daemon's rows once no stream in them can be continued.
func (a *Archive) removeOld(ctx context.Context) {
	if a.writtenAt.IsZero() || clock.Now().Sub(a.writtenAt) < streamorigin.Retention {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	var writes []port.Write
	for number := range uint64(archiveRows) {
		writes = append(writes, port.Write{Key: a.key(number), Delete: true})
	}
	if _, err := a.options.Table.Commit(bounded, port.Transaction{Writes: writes}); err != nil {
		a.logFirstFailure(err)
		return
	}
	a.writtenAt = time.Time{}
	a.next = archiveRow{Format: archiveFormat, Sequence: a.next.Sequence + 1}
}

// Recall makes the registry know the streams that daemons had written up to rereadInterval before. It returns when that is done, has
// failed, or the context has ended.
func (a *Archive) Recall(ctx context.Context) error {
	if !a.enabled() {
		return errNotArchived
	}
	reading := a.read()
	select {
	case <-reading.done:
		return reading.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// errNotArchived is returned if there are too many daemons to archive streams.
var errNotArchived = errors.New("beginnings of streams are not archived in a fleet of this size")

// read returns the reading of all rows that is under way, the last one if it is recent, or a new one.
func (a *Archive) read() *archiveReading {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := clock.Now()
	if a.reading != nil && now.Sub(a.reading.began) < a.reading.lasts() {
		return a.reading
	}
	a.reading = &archiveReading{began: now, done: make(chan struct{})}
	go a.run(a.reading)
	return a.reading
}

// lasts returns how long after its beginning no other reading begins.
func (r *archiveReading) lasts() time.Duration {
	select {
	case <-r.done:
		if r.err != nil {
			return retryInterval
		}
	default:
	}
	return rereadInterval
}

func (a *Archive) run(reading *archiveReading) {
	defer close(reading.done)
	ctx, cancel := context.WithTimeout(context.Background(), archiveTimeout)
	defer cancel()
	rows, err := a.scan(ctx)
	if err != nil {
		reading.err = err
		return
	}
	// The newest rows come first: rows of daemons that are gone may be old.
	slices.SortFunc(rows, func(left, right port.Row) int { return cmp.Compare(right.Version, left.Version) })
	streams, malformed := map[streamorigin.Key]streamorigin.Origin{}, 0
	for _, row := range rows {
		stored, err := decodeArchiveRow(row.Value)
		if err != nil {
			malformed++
			continue
		}
		if strings.HasPrefix(row.Key, a.ownPrefix()) {
			reading.sequence = max(reading.sequence, stored.Sequence)
		}
		for key, origin := range stored.origins() {
			if _, newer := streams[key]; !newer && len(streams) < maxArchivedStreams {
				streams[key] = origin
			}
		}
	}
	added := a.options.Registry.recall(streams)
	if added > 0 || malformed > 0 {
		a.options.Log.WithFields(logrus.Fields{"rows": len(rows), "streams": len(streams), "new": added, "malformed": malformed}).Info("Beginnings of streams were read from the store.")
	}
}

// scan returns all rows of all daemons.
func (a *Archive) scan(ctx context.Context) ([]port.Row, error) {
	var rows []port.Row
	after := ""
	for {
		page, err := a.options.Table.Scan(ctx, archivePrefix, after, archivePage)
		rows = append(rows, page...)
		if err != nil || len(page) == 0 { // the store also ends a page by its bytes
			return rows, err
		}
		after = page[len(page)-1].Key
	}
}
