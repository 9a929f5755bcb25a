package streamorigin

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// stored returns the row.
func (f *fleet) stored(t *testing.T) record {
	t.Helper()
	rows, err := f.service.Read(context.Background(), RowKey)
	assert.NilError(t, err)
	if len(rows) == 0 {
		return record{}
	}
	made, err := decodeRecord(rows[0].Value)
	assert.NilError(t, err)
	return made
}

// TestRestoredStoreWithoutARecordProvesNothing guards against a daemon that never saw the record, and was apart while a version came and
// went, taking the history of a store that came back from before the first record for a proof.
func TestRestoredStoreWithoutARecordProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 3, "v1")
		defer fleet.stop()
		fleet.withoutReader.Store(true)
		time.Sleep(5 * time.Second)
		copied := fleet.service.Table.Copy()
		fleet.withoutReader.Store(false)
		time.Sleep(watchedTime)
		assert.Assert(t, !fleet.stored(t).Partial && fleet.stored(t).Format == 1)
		apart, others := fleet.daemons[2], fleet.daemons[:2]
		apart.SetSide(1)
		fleet.relistAt(others, "v1", "v2")
		time.Sleep(time.Second)
		others[0].registry.Begun(stream(1), backendOf("v2"), true)
		fleet.service.Refuse(true)
		fleet.relistAt(others, "v1")
		time.Sleep(1200 * time.Millisecond)
		fleet.service.Table.Restore(copied)
		fleet.era.Add(1)
		fleet.killAllBut(apart)
		time.Sleep(time.Second)
		fleet.service.Refuse(false)
		time.Sleep(2 * time.Second)
		found := apart.registry.Find(context.Background(), stream(1))
		assert.Assert(t, !found.Known, "the daemon that was apart: %+v", found)
		fleet.add()
		time.Sleep(3 * time.Second)
		found = fleet.daemons[1].registry.Find(context.Background(), stream(1))
		assert.Assert(t, !found.Known, "one that started afterwards: %+v", found)
	})
}

// TestFirstRecordIsWholeThoughDaemonsHaveNotHeardEachOther guards against refusing the streams of a new deployment, because its first
// record was written before daemons that started at once had heard each other.
func TestFirstRecordIsWholeThoughDaemonsHaveNotHeardEachOther(t *testing.T) {
	for _, apart := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		t.Run(apart.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newRecordingFleet(1, 3, "v1")
				defer fleet.stop()
				fleet.service.Refuse(true)
				for side, each := range fleet.daemons {
					each.SetSide(side)
				}
				time.Sleep(2 * contactInterval)
				fleet.service.Refuse(false)
				time.Sleep(apart)
				for _, each := range fleet.daemons {
					each.SetSide(0)
				}
				time.Sleep(3 * time.Second)
				fleet.daemons[0].registry.Begun(stream(1), backendOf("v1"), true)
				fleet.killAll(time.Second)
				time.Sleep(recordLag)
				for _, each := range fleet.daemons {
					found := each.registry.Find(context.Background(), stream(1))
					assert.Assert(t, found.Known, "%+v", found)
				}
			})
		})
	}
}

// TestFirstRecordOfALaterReaderIsWhole guards against the same where the reader that is to write the first record was no reader at its
// start.
func TestFirstRecordOfALaterReaderIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 3, "v1")
		defer fleet.stop()
		fleet.withoutReader.Store(true)
		time.Sleep(5 * time.Second)
		for side, each := range fleet.daemons {
			each.SetSide(side)
		}
		time.Sleep(2 * time.Second)
		fleet.withoutReader.Store(false)
		time.Sleep(time.Second)
		for _, each := range fleet.daemons {
			each.SetSide(0)
		}
		time.Sleep(3 * time.Second)
		fleet.daemons[0].registry.Begun(stream(1), backendOf("v1"), true)
		fleet.killAll(time.Second)
		time.Sleep(recordLag)
		for _, each := range fleet.daemons {
			found := each.registry.Find(context.Background(), stream(1))
			assert.Assert(t, found.Known, "%+v", found)
		}
	})
}

// TestHistoryIsAskedAgainAfterAFailure guards against refusing streams for two minutes because one look at the store's history failed.
func TestHistoryIsAskedAgainAfterAFailure(t *testing.T) {
	for failures, doubt := range map[int]Doubt{1: "", 10: "", 1000: DoubtIncomplete} {
		t.Run(fmt.Sprint(failures), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newRecordingFleet(1, 0, "v1")
				defer fleet.stop()
				fleet.failures.Store(int64(failures))
				for range 3 {
					fleet.add()
				}
				time.Sleep(historyPatience + 5*time.Second)
				fleet.daemons[0].registry.Begun(stream(1), backendOf("v1"), true)
				fleet.killAll(time.Second)
				time.Sleep(recordLag)
				for _, each := range fleet.daemons {
					assert.Equal(t, each.registry.Find(context.Background(), stream(1)).Doubt, doubt)
				}
			})
		})
	}
}

// stallingDirectory is a Directory of a reader that stands still once it is set.
type stallingDirectory struct {
	calls   atomic.Int64
	stallAt int64
	stall   func()
}

func (d *stallingDirectory) Complete() bool { return true }
func (d *stallingDirectory) IsReader() bool {
	if d.calls.Add(1) == d.stallAt {
		d.stall()
	}
	return true
}

// TestPauseBeforeTheFirstRecordProvesNothing guards against a daemon that stands still between its look at the history and its first write
// leaving out a version that daemons of earlier builds served meanwhile.
func TestPauseBeforeTheFirstRecordProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 3, "v1")
		defer fleet.stop()
		go fleet.hearEachOther()
		writer, others := fleet.daemons[0], fleet.daemons[1:]
		ctx, cancel := context.WithCancel(fleet.running)
		defer cancel()
		writer.kill = cancel
		directory := &stallingDirectory{stallAt: 2}
		directory.stall = func() {
			writer.SetSide(1)
			fleet.relistAt(others, "v1", "v2")
			time.Sleep(5 * time.Second)
			others[0].registry.Begun(stream(1), backendOf("v2"), true)
			fleet.removed.Store(true)
			fleet.relistAt(others, "v1")
			time.Sleep(5 * time.Second)
			writer.SetSide(0)
		}
		recorder := NewRecorder(RecorderOptions{
			Table: fleet.service, Registry: writer.registry, Log: logging.Discard(), Era: fleet.era.Load, Daemons: fleet.size,
			RemovedLately: fleet.removedLately, Directory: directory,
		})
		go func() { _ = writer.registry.Run(ctx) }()
		time.Sleep(10 * time.Millisecond)
		go func() { _ = recorder.Run(ctx) }()
		time.Sleep(15 * time.Second)
		assert.Assert(t, fleet.stored(t).Partial)
		assert.Assert(t, fleet.looks.Load() <= 2)
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

// TestHistoryThatForgetsARemovalProvesNothing guards against a second look at the history, which no longer reaches back to a removal that
// the first one told of, making up for the first.
func TestHistoryThatForgetsARemovalProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 0, "v2")
		defer fleet.stop()
		fleet.removed.Store(true)
		fleet.withoutReader.Store(true)
		for range 3 {
			fleet.add()
		}
		time.Sleep(10 * time.Second)
		fleet.removed.Store(false)
		time.Sleep(20 * time.Second)
		fleet.withoutReader.Store(false)
		time.Sleep(3 * time.Second)
		for _, each := range fleet.daemons {
			found := each.registry.Find(context.Background(), stream(1))
			assert.Assert(t, !found.Known, "%+v", found)
		}
	})
}

// TestPartialRecordBecomesWhole guards against a record that stays partial for good, and streams that are refused for it, because its
// writer is out of contact now and then.
func TestPartialRecordBecomesWhole(t *testing.T) {
	for name, play := range map[string]func(*fleet){
		"calm":                     func(f *fleet) { time.Sleep(10 * time.Minute) },
		"the other daemon is gone": func(f *fleet) { f.daemons[1].SetDown(true); f.daemons[1].kill(); time.Sleep(10 * time.Minute) },
		"the reader is apart each 100 s": func(f *fleet) {
			for range 6 {
				time.Sleep(98 * time.Second)
				f.daemons[0].SetSide(1)
				time.Sleep(2 * time.Second)
				f.daemons[0].SetSide(0)
			}
			time.Sleep(5 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newRecordingFleet(1, 0, "v1")
				defer fleet.stop()
				fleet.removed.Store(true)
				fleet.add()
				fleet.add()
				time.Sleep(5 * time.Second)
				assert.Assert(t, fleet.stored(t).Partial)
				fleet.removed.Store(false)
				play(fleet)
				found := fleet.daemons[0].registry.Find(context.Background(), stream(1))
				assert.Assert(t, !fleet.stored(t).Partial && found.Known)
			})
		})
	}
}

// TestReplacedWriterOfTheFirstRecordOverwritesNothing is the same where the others are of this build.
func TestReplacedWriterOfTheFirstRecordOverwritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 0, "v1")
		defer fleet.stop()
		fleet.records = false
		fleet.add()
		fleet.records = true
		fleet.withoutReader.Store(true)
		fleet.add()
		fleet.add()
		writer, others := fleet.daemons[0], fleet.daemons[1:]
		ctx, cancel := context.WithCancel(fleet.running)
		defer cancel()
		writer.kill = cancel
		directory := &stallingDirectory{stallAt: 2}
		directory.stall = func() {
			writer.SetDown(true)
			fleet.withoutReader.Store(false)
			fleet.relistAt(others, "v1", "v2")
			time.Sleep(5 * time.Second)
			fleet.removed.Store(true)
			fleet.relistAt(others, "v1")
			time.Sleep(5 * time.Second)
			writer.SetDown(false)
		}
		recorder := NewRecorder(RecorderOptions{
			Table: fleet.service, Registry: writer.registry, Log: logging.Discard(), Era: fleet.era.Load, Daemons: fleet.size,
			RemovedLately: fleet.removedLately, Directory: directory,
		})
		go func() { _ = writer.registry.Run(ctx) }()
		time.Sleep(10 * time.Millisecond)
		go func() { _ = recorder.Run(ctx) }()
		time.Sleep(15 * time.Second)
		row := fleet.stored(t)
		assert.Equal(t, len(row.Services[0].Versions), 2)
	})
}

// TestHistoryThatFailsForAMomentIsAskedAgain guards against refusing streams for two minutes after a second of refused calls.
func TestHistoryThatFailsForAMomentIsAskedAgain(t *testing.T) {
	refused := 0
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			fleet := newRecordingFleet(uint64(seed), 0, "v1")
			defer fleet.stop()
			fleet.failures.Store(1 << 40)
			time.AfterFunc(1500*time.Millisecond, func() { fleet.failures.Store(0) })
			for range 3 {
				fleet.add()
			}
			time.Sleep(30 * time.Second)
			fleet.killAll(time.Second)
			time.Sleep(recordLag)
			if !fleet.daemons[0].registry.Find(context.Background(), stream(1)).Known {
				refused++
			}
		})
	}
	assert.Equal(t, refused, 0)
}

// switchedDirectory is a Directory whose daemon becomes the reader.
type switchedDirectory struct{ reader atomic.Bool }

func (d *switchedDirectory) Complete() bool { return true }
func (d *switchedDirectory) IsReader() bool { return d.reader.Load() }

// TestFirstRecordHasWhatTheHistoryHas guards against a daemon that was apart recording a list that is older than the history's answer.
func TestFirstRecordHasWhatTheHistoryHas(t *testing.T) {
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
			RemovedLately: fleet.removedLately, Directory: directory,
			Refresh: func(ctx context.Context) error { return fleet.refresh(ctx, later) },
		})
		go func() { _ = later.registry.Run(ctx) }()
		go func() { _ = recorder.Run(ctx) }()
		time.Sleep(5 * time.Second)
		later.SetSide(1)
		fleet.relistAt(others, "v1", "v2")
		time.Sleep(2 * time.Second)
		others[0].registry.Begun(stream(1), backendOf("v2"), true)
		directory.reader.Store(true)
		time.Sleep(300 * time.Millisecond)
		for _, each := range others {
			each.kill = func() {}
		}
		fleet.records = true
		fleet.removed.Store(true)
		fleet.setListed([]identity.SoftwareVersion{"v1"})
		fleet.killAll(time.Second)
		time.Sleep(3 * time.Second)
		for _, each := range fleet.daemons {
			found := each.registry.Find(context.Background(), stream(1))
			assert.Assert(t, !found.Known, "%+v", found)
		}
	})
}
