package streamorigin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/port/porttest"
)

// watchedTime is longer than daemons watch the list until they know all versions.
const watchedTime = streamorigin.Retention + 10*time.Second

// relistAt changes the list at some daemons, at once.
func (f *fleet) relistAt(daemons []*testDaemon, versions ...identity.SoftwareVersion) {
	f.mutex.Lock()
	f.listed = versions
	f.changes++
	change := f.changes
	f.mutex.Unlock()
	for _, each := range daemons {
		each.list(versions, change)
	}
}

// killAllBut ends all daemons but one.
func (f *fleet) killAllBut(kept *testDaemon) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, each := range f.daemons {
		if each != kept {
			each.SetDown(true)
			each.kill()
		}
	}
	f.daemons = []*testDaemon{kept}
}

// beginsWhileApart has a version join, begin a stream and leave while the last daemon is apart, which then is the only one left.
func (f *fleet) beginsWhileApart(t *testing.T, restore bool) (apart *testDaemon) {
	t.Helper()
	time.Sleep(watchedTime)
	copied := f.service.Table.Copy()
	apart = f.daemons[len(f.daemons)-1]
	others := f.daemons[:len(f.daemons)-1]
	apart.SetSide(1)
	f.relistAt(others, "v1", "v2")
	time.Sleep(300 * time.Millisecond)
	others[0].registry.Begun(stream(1), backendOf("v2"), true)
	f.service.Refuse(true)
	f.relistAt(others, "v1")
	time.Sleep(1200 * time.Millisecond)
	if restore {
		f.service.Table.Restore(copied)
		f.era.Add(1)
	}
	f.killAllBut(apart)
	return apart
}

// TestReaderThatWasApartOverwritesNoRecord guards against a daemon that has not heard of a version writing a record without it, and
// against the same after the store came back from a copy without that version.
func TestReaderThatWasApartOverwritesNoRecord(t *testing.T) {
	for _, restore := range []bool{false, true} {
		t.Run(fmt.Sprint("restored ", restore), func(t *testing.T) {
			for range 5 {
				synctest.Test(t, func(t *testing.T) {
					fleet := newRecordingFleet(1, 3, "v1")
					defer fleet.stop()
					apart := fleet.beginsWhileApart(t, restore)
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
		})
	}
}

// TestRecordOfAnEarlierEraVerifiesNothing guards against a daemon that was apart taking the record of a store that came back from a
// copy for all versions, when it is asked at once.
func TestRecordOfAnEarlierEraVerifiesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 3, "v1")
		defer fleet.stop()
		apart := fleet.beginsWhileApart(t, true)
		fleet.service.Refuse(false)
		found := apart.registry.Find(context.Background(), stream(1))
		assert.Assert(t, !found.Known, "%+v", found)
	})
}

// TestVersionThatReturnsWhileADaemonIsApartIsRemembered guards against forgetting a version too early that left, returned, and left again
// while a daemon was apart: the record didn't change.
func TestVersionThatReturnsWhileADaemonIsApartIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 3, "v1")
		defer fleet.stop()
		time.Sleep(watchedTime)
		fleet.relistAt(fleet.daemons, "v1", "v2")
		time.Sleep(time.Second)
		fleet.relistAt(fleet.daemons, "v1")
		time.Sleep(streamorigin.Retention - 10*time.Second)
		apart, others := fleet.daemons[2], fleet.daemons[:2]
		apart.SetSide(1)
		fleet.relistAt(others, "v1", "v2")
		time.Sleep(300 * time.Millisecond)
		others[0].registry.Begun(stream(1), backendOf("v2"), true)
		time.Sleep(300 * time.Millisecond)
		fleet.relistAt(others, "v1")
		time.Sleep(time.Second)
		fleet.killAllBut(apart)
		for range 20 {
			time.Sleep(5 * time.Second)
			found := apart.registry.Find(context.Background(), stream(1))
			assert.Assert(t, !found.Known, "%+v", found)
		}
	})
}

// TestArchivedStreamGivesWayToWhatDaemonsTell guards against an old row hiding what a daemon has just told of the same stream's name.
func TestArchivedStreamGivesWayToWhatDaemonsTell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := porttest.NewService()
		gone := startArchiving(service, "gone")
		time.Sleep(time.Second)
		gone.registry.Begun(stream(1), backendOf("v2"), true)
		time.Sleep(time.Second)
		gone.kill()
		time.Sleep(5 * streamorigin.Retention)
		other := startArchiving(service, "d0")
		time.Sleep(time.Second)
		other.registry.receiveBegin("x", beginMessage{Streams: []beginning{{Key: uint64(stream(1).Key()), Version: "v1"}}})
		found := other.registry.Find(context.Background(), stream(1))
		assert.Equal(t, found.Version, identity.SoftwareVersion("v1"))
		other.kill()
		time.Sleep(archiveTimeout)
	})
}

// TestDaemonThatStoodStillKnowsItAtOnce guards against trusting its contact before that is checked again.
func TestDaemonThatStoodStillKnowsItAtOnce(t *testing.T) {
	var tracked contact
	now := time.Now()
	others := []string{"a", "b"}
	tracked.check(now, others, func(string) time.Time { return now })
	assert.Assert(t, !tracked.missed(now.Add(contactInterval)))
	assert.Assert(t, tracked.missed(now.Add(1700*time.Millisecond)))
}

// TestContactOfALargeFleetIsKept guards against losing contact because each daemon is heard rarely, and forgotten by presence.
func TestContactOfALargeFleetIsKept(t *testing.T) {
	const daemons, heardEach = 985, 8
	var tracked contact
	now := time.Now()
	var others []string
	for number := range daemons - 1 {
		others = append(others, fmt.Sprint("d", number))
	}
	for tick := range 600 {
		now = now.Add(contactInterval)
		just := map[string]bool{}
		for number := range heardEach {
			just[others[(tick*heardEach+number)%len(others)]] = true
		}
		tracked.check(now, others, func(address string) time.Time {
			if just[address] {
				return now
			}
			return time.Time{}
		})
		assert.Assert(t, tick < 200 || !tracked.apart, "tick %d", tick)
	}
}
