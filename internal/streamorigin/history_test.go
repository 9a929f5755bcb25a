package streamorigin

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
)

// TestPauseDuringALookProvesNothing guards against a daemon that stands still while the store's history is on its way leaving out a version
// that came and went meanwhile.
func TestPauseDuringALookProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 3, "v1")
		defer fleet.stop()
		go fleet.hearEachOther()
		writer, others := fleet.daemons[0], fleet.daemons[1:]
		ctx, cancel := context.WithCancel(fleet.running)
		defer cancel()
		writer.kill = cancel
		directory := &switchedDirectory{}
		directory.reader.Store(true)
		recorder := NewRecorder(RecorderOptions{
			Table: fleet.service, Registry: writer.registry, Log: logging.Discard(), Era: fleet.era.Load, Daemons: fleet.size,
			RemovedLately: func(ctx context.Context) (bool, error) {
				removed, err := fleet.removedLately(ctx)
				if fleet.looks.Load() == 1 {
					writer.SetSide(1)
					fleet.relistAt(others, "v1", "v2")
					time.Sleep(5 * time.Second)
					others[0].registry.Begun(stream(1), backendOf("v2"), true)
					fleet.removed.Store(true)
					fleet.relistAt(others, "v1")
					time.Sleep(5 * time.Second)
					writer.SetSide(0)
				}
				return removed, err
			},
			Directory: directory,
			Refresh:   func(ctx context.Context) error { return fleet.refresh(ctx, writer) },
		})
		go func() { _ = writer.registry.Run(ctx) }()
		time.Sleep(10 * time.Millisecond)
		go func() { _ = recorder.Run(ctx) }()
		time.Sleep(15 * time.Second)
		row := fleet.stored(t)
		assert.Assert(t, row.Partial)
		for _, each := range others {
			each.kill = func() {}
		}
		fleet.records = true
		fleet.killAll(time.Second)
		time.Sleep(3 * time.Second)
		for _, each := range fleet.daemons {
			found := each.registry.Find(context.Background(), stream(1))
			assert.Assert(t, !found.Known, "%+v", found)
		}
	})
}

// TestRemovalAfterALookIsNotMissed guards against a list that is younger than the history's answer: a version that was removed in between
// is in neither.
func TestRemovalAfterALookIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 3, "v1")
		defer fleet.stop()
		go fleet.hearEachOther()
		later, others := fleet.daemons[0], fleet.daemons[1:]
		ctx, cancel := context.WithCancel(fleet.running)
		defer cancel()
		later.kill = cancel
		directory := &switchedDirectory{}
		recorder := NewRecorder(RecorderOptions{
			Table: fleet.service, Registry: later.registry, Log: logging.Discard(), Era: fleet.era.Load, Daemons: fleet.size,
			RemovedLately: func(ctx context.Context) (bool, error) {
				removed, err := fleet.removedLately(ctx)
				if fleet.looks.Load() == 2 {
					time.Sleep(100 * time.Millisecond)
				}
				return removed, err
			},
			Directory: directory,
			Refresh:   func(ctx context.Context) error { return fleet.refresh(ctx, later) },
		})
		go func() { _ = later.registry.Run(ctx) }()
		go func() { _ = recorder.Run(ctx) }()
		time.Sleep(5 * time.Second)
		later.SetSide(1)
		fleet.relistAt(others, "v1", "v2")
		time.Sleep(2 * time.Second)
		others[0].registry.Begun(stream(1), backendOf("v2"), true)
		looks := fleet.looks.Load()
		directory.reader.Store(true)
		for fleet.looks.Load() == looks && time.Since(later.addedAt) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		fleet.removed.Store(true)
		fleet.relistAt(others, "v1")
		fleet.setListed([]identity.SoftwareVersion{"v1"})
		time.Sleep(500 * time.Millisecond)
		for _, each := range others {
			each.kill = func() {}
		}
		fleet.records = true
		fleet.killAll(time.Second)
		time.Sleep(3 * time.Second)
		for _, each := range fleet.daemons {
			found := each.registry.Find(context.Background(), stream(1))
			assert.Assert(t, !found.Known, "%+v", found)
		}
	})
}

// TestShortHistoryVerifiesNoDaemonThatWasApart guards against a daemon that was apart for longer than the store's history reaches.
func TestShortHistoryVerifiesNoDaemonThatWasApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 3, "v1")
		defer fleet.stop()
		fleet.withoutReader.Store(true)
		time.Sleep(10 * time.Second)
		apart, others := fleet.daemons[2], fleet.daemons[:2]
		apart.SetSide(1)
		fleet.relistAt(others, "v1", "v2")
		time.Sleep(time.Second)
		others[0].registry.Begun(stream(1), backendOf("v2"), true)
		fleet.relistAt(others, "v1")
		fleet.setListed([]identity.SoftwareVersion{"v1"})
		fleet.removed.Store(true)
		time.Sleep(20 * time.Second)
		fleet.removed.Store(false)
		fleet.killAllBut(apart)
		fleet.withoutReader.Store(false)
		time.Sleep(2 * time.Second)
		found := apart.registry.Find(context.Background(), stream(1))
		assert.Assert(t, !found.Known, "%+v", found)
		fleet.add()
		time.Sleep(3 * time.Second)
		found = fleet.daemons[1].registry.Find(context.Background(), stream(1))
		assert.Assert(t, !found.Known, "starter %+v", found)
	})
}

// readOnly is a TableService that refuses writes.
type readOnly struct{ port.TableService }

func (readOnly) Commit(context.Context, port.Transaction) ([]port.Row, error) {
	return nil, context.DeadlineExceeded
}

// TestHistoryIsNotAskedForEachFailedWrite guards against looks at the history, each of which takes many calls, while the store refuses
// writes.
func TestHistoryIsNotAskedForEachFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 1, "v1")
		defer fleet.stop()
		writer := fleet.daemons[0]
		ctx, cancel := context.WithCancel(fleet.running)
		defer cancel()
		directory := &switchedDirectory{}
		directory.reader.Store(true)
		recorder := NewRecorder(RecorderOptions{
			Table: readOnly{fleet.service}, Registry: writer.registry, Log: logging.Discard(), Era: fleet.era.Load, Daemons: fleet.size,
			RemovedLately: fleet.removedLately, Directory: directory,
			Refresh: func(ctx context.Context) error { return fleet.refresh(ctx, writer) },
		})
		go func() { _ = writer.registry.Run(ctx) }()
		go func() { _ = recorder.Run(ctx) }()
		time.Sleep(100 * time.Second)
		assert.Assert(t, fleet.looks.Load() <= 2)
	})
}

// lateCommit is a TableService that does the first write late.
type lateCommit struct {
	port.TableService
	once   atomic.Bool
	during func()
}

func (l *lateCommit) Commit(ctx context.Context, transaction port.Transaction) ([]port.Row, error) {
	if len(transaction.Writes) > 0 && !l.once.Swap(true) {
		l.during()
	}
	return l.TableService.Commit(ctx, transaction)
}

// TestFirstRecordThatIsWrittenLateProvesNothing guards against a daemon that stands still between its check and its write, or a store that
// does the write late.
func TestFirstRecordThatIsWrittenLateProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 3, "v1")
		defer fleet.stop()
		go fleet.hearEachOther()
		writer, others := fleet.daemons[0], fleet.daemons[1:]
		ctx, cancel := context.WithCancel(fleet.running)
		defer cancel()
		writer.kill = cancel
		directory := &switchedDirectory{}
		directory.reader.Store(true)
		recorder := NewRecorder(RecorderOptions{
			Table: &lateCommit{TableService: fleet.service, during: func() {
				writer.SetSide(1)
				fleet.relistAt(others, "v1", "v2")
				time.Sleep(5 * time.Second)
				others[0].registry.Begun(stream(1), backendOf("v2"), true)
				fleet.removed.Store(true)
				fleet.relistAt(others, "v1")
				fleet.setListed([]identity.SoftwareVersion{"v1"})
				time.Sleep(5 * time.Second)
				writer.SetSide(0)
			}}, Registry: writer.registry, Log: logging.Discard(), Era: fleet.era.Load, Daemons: fleet.size,
			RemovedLately: fleet.removedLately,
			Directory:     directory,
			Refresh:       func(ctx context.Context) error { return fleet.refresh(ctx, writer) },
		})
		go func() { _ = writer.registry.Run(ctx) }()
		time.Sleep(10 * time.Millisecond)
		go func() { _ = recorder.Run(ctx) }()
		time.Sleep(15 * time.Second)
		row := fleet.stored(t)
		assert.Assert(t, row.Partial)
		for _, each := range others {
			each.kill = func() {}
		}
		fleet.records = true
		fleet.killAll(time.Second)
		time.Sleep(3 * time.Second)
		for _, each := range fleet.daemons {
			found := each.registry.Find(context.Background(), stream(1))
			assert.Assert(t, !found.Known, "%+v", found)
		}
	})
}
