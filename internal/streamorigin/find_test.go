package streamorigin

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
)

// TestOriginsAreFoundAfterDaemonsAreGone begins streams before two versions, and ends the daemon that began each of them together
// with a whole zone. The others must know which version began them.
func TestOriginsAreFoundAfterDaemonsAreGone(t *testing.T) {
	for _, count := range []int{3, 12, 40} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(1, count, "v1", "v2")
				fleet.network.Lose(0.01)
				const streams = 300
				for number := range streams {
					fleet.daemons[number%3].registry.Begun(stream(number), backendOf(fleet.listed[number%2]), true)
				}
				time.Sleep(200 * time.Millisecond)
				for index, each := range fleet.daemons {
					each.SetDown(index%3 == 0)
				}
				known := 0
				for number := range streams {
					found := fleet.daemons[1].registry.Find(context.Background(), stream(number))
					if found.Known {
						known++
						assert.Equal(t, found.Version, fleet.listed[number%2])
					}
				}
				assert.Assert(t, known >= streams*95/100, "%d of %d are known", known, streams)
			})
		})
	}
}

// TestOriginsAreToldWhenASecondVersionIsListed begins streams before one version, lists another one, and ends the daemon that
// began the streams.
func TestOriginsAreToldWhenASecondVersionIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 20, "v1")
		for number := range 300 {
			fleet.daemons[0].registry.Begun(stream(number), backendOf("v1"), true)
		}
		fleet.relist("v1", "v2")
		time.Sleep(listLag + 100*time.Millisecond)
		fleet.daemons[0].SetDown(true)
		for number := range 300 {
			found := fleet.daemons[1+number%19].registry.Find(context.Background(), stream(number))
			assert.Assert(t, found.Known, "stream %d", number)
			assert.Equal(t, found.Version, identity.SoftwareVersion("v1"))
		}
	})
}

// TestOthersStreamsAreNotFound asks for a stream under its ID as another tenant, host, path and service.
func TestOthersStreamsAreNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 3, "v1", "v2")
		fleet.daemons[0].registry.Begun(stream(1), backendOf("v1"), true)
		for _, change := range []func(*streamorigin.Stream){
			func(other *streamorigin.Stream) { other.Tenant = "other" },
			func(other *streamorigin.Stream) { other.Host = "other" },
			func(other *streamorigin.Stream) { other.Target = "/other" },
			func(other *streamorigin.Stream) { other.Service = "other" },
			func(other *streamorigin.Stream) { other.Tenant, other.Host = "th", "" },
		} {
			other := stream(1)
			change(&other)
			assert.Assert(t, !fleet.daemons[1].registry.Find(context.Background(), other).Known)
		}
		assert.Assert(t, fleet.daemons[1].registry.Find(context.Background(), stream(1)).Known)
	})
}

// TestNoStreamIsContinuedAtAnotherVersion draws versions that are listed and removed, daemons that join, end, and are cut off
// from each other, lost datagrams, and callers that come to any daemon. What is found must be the version that began the stream,
// but where all that know it are out of reach, and the list has just changed or changed before all others within reach started.
func TestNoStreamIsContinuedAtAnotherVersion(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		seed := rapid.Uint64().Draw(drawn, "seed")
		count := rapid.SampledFrom([]int{2, 3, 7, 20, 40}).Draw(drawn, "daemons")
		actions := rapid.SliceOfN(rapid.IntRange(0, 99), 20, 150).Draw(drawn, "actions")
		failed := ""
		synctest.Test(t, func(*testing.T) { failed = playVersions(seed, count, actions) })
		if failed != "" {
			drawn.Fatal(failed)
		}
	})
}

// playVersions plays actions and returns how a stream was continued wrongly; empty if none was.
func playVersions(seed uint64, count int, actions []int) string {
	fleet := newFleet(seed, count, "v1")
	luck := fleet.luck
	fleet.network.Lose([]float64{0, 0.03}[luck.IntN(2)])
	time.Sleep(time.Second)
	began, beganAt := map[int]identity.SoftwareVersion{}, map[int]time.Time{}
	for number, action := range actions {
		daemon := fleet.daemons[luck.IntN(len(fleet.daemons))]
		switch {
		case daemon.down:
		case action < 45:
			listed := daemon.lists()
			version := listed[luck.IntN(len(listed))]
			daemon.registry.Begun(stream(number), backendOf(version), true)
			began[number], beganAt[number] = version, time.Now()
		case action < 80 && len(began) > 0:
			which := luck.IntN(number)
			version, known := began[which]
			if !known || daemon.side != 0 || time.Since(beganAt[which]) > streamorigin.Retention-time.Second {
				continue
			}
			found := daemon.registry.Find(context.Background(), stream(which))
			outdated := found.From == "" && (time.Since(fleet.relistedAt) < listLag || !fleet.hasWitness(daemon))
			if found.Known && found.Version != version && !outdated {
				return fmt.Sprintf("stream %d of %s: %+v at %s, which lists %v", which, version, found, daemon.Address(), daemon.lists())
			}
		case action < 88:
			fleet.relist(fleet.nextList()...)
		case action < 91 && len(fleet.daemons) > 2:
			daemon.down = luck.IntN(3) == 0 && fleet.working() > 2
			daemon.SetDown(daemon.down)
		case action < 94:
			fleet.add()
		case action < 97:
			daemon.side = 1 - daemon.side
			daemon.SetSide(daemon.side)
		default:
			time.Sleep(time.Duration(luck.Int64N(int64(40 * time.Second))))
		}
		time.Sleep(time.Duration(luck.Int64N(int64(100 * time.Millisecond))))
	}
	return ""
}

// nextList returns a list of versions with one more or one less.
func (f *fleet) nextList() []identity.SoftwareVersion {
	all := []identity.SoftwareVersion{"v1", "v1.1", "v2", "v10"}
	next := slices.Clone(f.listed)
	version := all[f.luck.IntN(len(all))]
	if at := slices.Index(next, version); at < 0 {
		return append(next, version)
	} else if len(next) > 1 {
		return slices.Delete(next, at, at+1)
	}
	return next
}

// hasWitness reports whether the daemon, or one that it reaches, has been there since before the last change of the list.
func (f *fleet) hasWitness(daemon *testDaemon) bool {
	return slices.ContainsFunc(f.daemons, func(each *testDaemon) bool {
		return !each.down && each.side == daemon.side && each.addedAt.Before(f.relistedAt)
	})
}

func (f *fleet) working() int {
	count := 0
	for _, each := range f.daemons {
		if !each.down && each.side == 0 {
			count++
		}
	}
	return count
}

// stopInTurn stops the daemons one after the other, as for an upgrade, and starts one in place of each.
func (f *fleet) stopInTurn() {
	for range len(f.daemons) {
		f.mutex.Lock()
		stopping := f.daemons[0]
		f.mutex.Unlock()
		stopping.stopping.Store(true)
		time.Sleep(2 * handoverInterval)
		f.mutex.Lock()
		f.daemons = f.daemons[1:]
		f.mutex.Unlock()
		stopping.SetDown(true)
		stopping.kill()
		f.add()
		time.Sleep(time.Second)
	}
}

// TestStreamsOutliveDaemonsThatStopInTurn guards against refusing streams whose version still serves because all daemons that knew
// them were restarted.
func TestStreamsOutliveDaemonsThatStopInTurn(t *testing.T) {
	for _, count := range []int{3, 12} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newRecordingFleet(1, count, "v1", "v2")
				defer fleet.stop()
				time.Sleep(time.Second)
				const streams = 100
				fleet.beginStreams(streams)
				fleet.stopInTurn()
				for number := range streams {
					found := fleet.daemons[number%count].registry.Find(context.Background(), stream(number))
					assert.Assert(t, found.Known, "stream %d: %+v", number, found)
					assert.Equal(t, found.Version, fleet.listed[number%2])
				}
			})
		})
	}
}

// beginStreams begins streams of all versions at all daemons.
func (f *fleet) beginStreams(count int) {
	for number := range count {
		f.daemons[number%len(f.daemons)].registry.Begun(stream(number), backendOf(f.listed[number%len(f.listed)]), true)
	}
	time.Sleep(200 * time.Millisecond)
}

// TestLastDaemonOfFewKnowsAllStreams guards against refusing streams whose version still serves because most daemons were killed.
func TestLastDaemonOfFewKnowsAllStreams(t *testing.T) {
	for _, count := range []int{3, maxTellAll} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newRecordingFleet(1, count, "v1", "v2")
				defer fleet.stop()
				time.Sleep(time.Second)
				const streams = 100
				fleet.beginStreams(streams)
				for _, each := range fleet.daemons[1:] {
					each.SetDown(true)
				}
				for number := range streams {
					found := fleet.daemons[0].registry.Find(context.Background(), stream(number))
					assert.Assert(t, found.Known, "stream %d: %+v", number, found)
				}
			})
		})
	}
}
