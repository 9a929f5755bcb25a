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
	"github.com/lotusward/lotusward/internal/port"
)

// recordLag is the longest time until the record has a change of the list.
const recordLag = listLag + time.Second

// killAll ends all daemons and starts as many after a time.
func (f *fleet) killAll(down time.Duration) {
	f.mutex.Lock()
	working := 0
	for _, each := range f.daemons {
		if !each.down {
			working++
		}
		each.SetDown(true)
		each.kill()
	}
	f.daemons = nil
	f.mutex.Unlock()
	time.Sleep(down)
	for range max(working, 2) {
		f.add()
	}
}

// replaceInTurn ends the daemons one after the other, and starts one in place of each.
func (f *fleet) replaceInTurn() {
	for range len(f.daemons) {
		f.mutex.Lock()
		ended := f.daemons[0]
		f.daemons = f.daemons[1:]
		f.mutex.Unlock()
		ended.SetDown(true)
		ended.kill()
		time.Sleep(recordLag)
		f.add()
	}
}

// TestNewFleetKnowsWhatWasListedBefore ends all daemons of a fleet, at once or in turn, while its list moves from one version to
// another.
func TestNewFleetKnowsWhatWasListedBefore(t *testing.T) {
	for name, each := range map[string]struct {
		before, after []identity.SoftwareVersion
		known         bool
	}{
		"the version was replaced":        {before: []identity.SoftwareVersion{"v1"}, after: []identity.SoftwareVersion{"v2"}},
		"another one came and went":       {before: []identity.SoftwareVersion{"v1", "v2"}, after: []identity.SoftwareVersion{"v1"}},
		"there was no name, and one came": {before: []identity.SoftwareVersion{""}, after: []identity.SoftwareVersion{"v1"}},
		"there was a single one":          {before: []identity.SoftwareVersion{"v1"}, after: []identity.SoftwareVersion{"v1"}, known: true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, end := range []func(*fleet){func(f *fleet) { f.killAll(time.Second) }, (*fleet).replaceInTurn} {
				synctest.Test(t, func(t *testing.T) {
					fleet := newRecordingFleet(1, 3, each.before...)
					defer fleet.stop()
					time.Sleep(recordLag)
					fleet.daemons[0].registry.Begun(stream(1), backendOf(each.before[0]), true)
					fleet.setListed(each.after)
					end(fleet)
					time.Sleep(recordLag)
					for _, daemon := range fleet.daemons {
						found := daemon.registry.Find(context.Background(), stream(1))
						assert.Equal(t, found.Known, each.known, "%+v", found)
					}
				})
			}
		})
	}
}

// TestRecordOfAnEarlierEraProvesNothing ends all daemons once the store came back from a copy that lacks a version.
func TestRecordOfAnEarlierEraProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 3, "v1")
		defer fleet.stop()
		time.Sleep(recordLag)
		copied := fleet.service.Table.Copy()
		fleet.relist("v1", "v2")
		time.Sleep(recordLag)
		fleet.daemons[0].registry.Begun(stream(1), backendOf("v2"), true)
		fleet.service.Table.Restore(copied)
		fleet.era.Add(1)
		fleet.setListed([]identity.SoftwareVersion{"v1"})
		fleet.killAll(time.Second)
		time.Sleep(recordLag)
		found := fleet.daemons[0].registry.Find(context.Background(), stream(1))
		assert.Equal(t, found.Doubt, DoubtIncomplete)
		time.Sleep(streamorigin.Retention)
		found = fleet.daemons[0].registry.Find(context.Background(), stream(2))
		assert.Assert(t, found.Known, "streams go on once the list was known for longer than they last: %+v", found)
	})
}

// TestStarterWithoutTheStoreTrustsOthers starts a daemon that the store refuses.
func TestStarterWithoutTheStoreTrustsOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 3, "v1")
		defer fleet.stop()
		time.Sleep(recordLag)
		fleet.service.Refuse(true)
		fleet.add()
		time.Sleep(recordLag)
		found := fleet.daemons[3].registry.Find(context.Background(), stream(1))
		assert.Assert(t, found.Known && found.Version == "v1", "%+v", found)
		for _, daemon := range fleet.daemons[:3] {
			daemon.SetDown(true)
		}
		found = fleet.daemons[3].registry.Find(context.Background(), stream(1))
		assert.Equal(t, found.Doubt, DoubtIncomplete)
	})
}

// TestFirstFleetWithARecordKnowsWhetherVersionsWereRemoved guards against taking the only listed version for the one that began a
// stream, at daemons that find no record because earlier builds were there, unless no back end was removed lately.
func TestFirstFleetWithARecordKnowsWhetherVersionsWereRemoved(t *testing.T) {
	for name, each := range map[string]struct {
		removed bool
		era     uint64
		doubt   Doubt
	}{
		"none was removed": {},
		"one was removed":  {removed: true, doubt: DoubtIncomplete},
		"the store was restored before the first start": {era: 1},
		"the store was restored and one was removed":    {removed: true, era: 1, doubt: DoubtIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newRecordingFleet(1, 0, "v2")
				defer fleet.stop()
				fleet.removed.Store(each.removed)
				fleet.era.Store(each.era)
				for range 3 {
					fleet.add()
				}
				time.Sleep(2*(recordPatience+3*recordPatiencePerDaemon) + recordLag)
				for _, daemon := range fleet.daemons {
					found := daemon.registry.Find(context.Background(), stream(1))
					assert.Equal(t, found.Known, each.doubt == "", "%+v", found)
					assert.Equal(t, found.Doubt, each.doubt)
				}
				time.Sleep(streamorigin.Retention)
				found := fleet.daemons[0].registry.Find(context.Background(), stream(1))
				assert.Assert(t, found.Known, "streams go on once the list was known for longer than they last: %+v", found)
			})
		})
	}
}

// TestHistoryOfALargeFleetIsReadByFew guards against all daemons of a large new fleet reading the list's history at once, because the
// reader took seconds to write the first row.
func TestHistoryOfALargeFleetIsReadByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 0, "v1")
		defer fleet.stop()
		fleet.service.Refuse(true)
		for range 300 {
			fleet.add()
		}
		fleet.withoutReader.Store(true)
		fleet.service.Refuse(false)
		time.Sleep(5 * time.Second)
		fleet.withoutReader.Store(false)
		time.Sleep(10 * time.Second)
		assert.Equal(t, fleet.looks.Load(), int64(1))
		found := fleet.daemons[200].registry.Find(context.Background(), stream(1))
		assert.Assert(t, found.Known, "%+v", found)
	})
}

// TestStarterBesideAnEarlierBuildsReaderContinuesStreams guards against refusing the streams of a single version until a daemon that
// records versions is the reader.
func TestStarterBesideAnEarlierBuildsReaderContinuesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 0, "v1")
		defer fleet.stop()
		fleet.records = false
		fleet.add()
		fleet.records = true
		fleet.add()
		time.Sleep(2*(recordPatience+3*recordPatiencePerDaemon) + recordLag)
		found := fleet.daemons[1].registry.Find(context.Background(), stream(1))
		assert.Assert(t, found.Known && found.Version == "v1", "%+v", found)
	})
}

// TestLoneStarterContinuesStreams guards against refusing the streams of a single version because no other daemon of a fleet that
// ended has started yet.
func TestLoneStarterContinuesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 3, "v1")
		defer fleet.stop()
		time.Sleep(recordLag)
		fleet.daemons[0].registry.Begun(stream(1), backendOf("v1"), true)
		for _, daemon := range fleet.daemons {
			daemon.SetDown(true)
			daemon.kill()
		}
		fleet.add()
		time.Sleep(recordLag)
		found := fleet.daemons[3].registry.Find(context.Background(), stream(1))
		assert.Assert(t, found.Known && found.Version == "v1", "%+v", found)
	})
}

// TestVersionThatIsGoneCountsBesideOneOfAnotherDaemon guards against continuing a stream at the version that another daemon lists,
// because the daemon itself lists none at the moment, though it knows of another one that was listed lately.
func TestVersionThatIsGoneCountsBesideOneOfAnotherDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRecordingFleet(1, 2, "v1")
		defer fleet.stop()
		time.Sleep(recordLag)
		fleet.setListed(nil)
		fleet.killAll(time.Second)
		time.Sleep(recordLag)
		fleet.service.Refuse(true)
		fleet.setListed([]identity.SoftwareVersion{"v2"})
		fleet.add()
		time.Sleep(recordLag)
		fleet.daemons[1].SetDown(true)
		found := fleet.daemons[0].registry.Find(context.Background(), stream(1))
		assert.Equal(t, found.Doubt, DoubtSeveral, "%+v", found)
	})
}

// TestMalformedRecordProvesNothing starts daemons that find a row which can't be read, or that no daemon wrote.
func TestMalformedRecordProvesNothing(t *testing.T) {
	for name, value := range map[string][]byte{"no msgpack": []byte("?"), "empty": {}, "null": {0xc0}, "no fields": {0x80}, "a list": {0x90}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newRecordingFleet(1, 0, "v1")
				defer fleet.stop()
				_, err := fleet.service.Commit(context.Background(), port.Transaction{Writes: []port.Write{{Key: RowKey, Value: value}}})
				assert.NilError(t, err)
				fleet.add()
				fleet.add()
				time.Sleep(recordLag)
				found := fleet.daemons[0].registry.Find(context.Background(), stream(1))
				assert.Equal(t, found.Doubt, DoubtIncomplete)
			})
		})
	}
}

// TestNoStreamChangesItsVersionWhileFleetsEnd draws lists that change, daemons that start, end, are cut off and all end, lost
// datagrams, and a store that refuses calls or comes back older. What is found must be the version that began the stream.
func TestNoStreamChangesItsVersionWhileFleetsEnd(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		seed := rapid.Uint64().Draw(drawn, "seed")
		count := rapid.SampledFrom([]int{2, 3, 7, 20}).Draw(drawn, "daemons")
		actions := rapid.SliceOfN(rapid.IntRange(0, 99), 20, 150).Draw(drawn, "actions")
		failed := ""
		synctest.Test(t, func(*testing.T) {
			play := &fleetPlay{fleet: newRecordingFleet(seed, count, "v1"), began: map[int]beganStream{}, listedAt: map[identity.SoftwareVersion]time.Time{}}
			failed = play.run(actions)
			play.stop()
		})
		if failed != "" {
			drawn.Fatal(failed)
		}
	})
}

// TestStreamsOfASingleVersionGoOnWhileFleetsEnd draws the same without changes of the list. All streams must be found.
func TestStreamsOfASingleVersionGoOnWhileFleetsEnd(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		seed := rapid.Uint64().Draw(drawn, "seed")
		count := rapid.SampledFrom([]int{2, 3, 7, 20}).Draw(drawn, "daemons")
		actions := rapid.SliceOfN(rapid.IntRange(0, 99), 20, 150).Draw(drawn, "actions")
		failed := ""
		synctest.Test(t, func(*testing.T) {
			play := &fleetPlay{fleet: newRecordingFleet(seed, count, "v1"), began: map[int]beganStream{}, single: true}
			failed = play.run(actions)
			play.stop()
		})
		if failed != "" {
			drawn.Fatal(failed)
		}
	})
}

// beganStream is a stream that a version began.
type beganStream struct {
	version identity.SoftwareVersion
	at      time.Time
}

// fleetPlay is a play of actions before a recording fleet.
type fleetPlay struct {
	*fleet
	// single leaves the list as it is, and the store sound.
	single bool
	began  map[int]beganStream
	// listedAt is when versions were listed, and unrecorded which were in the list for less than recordLag when all daemons ended.
	listedAt   map[identity.SoftwareVersion]time.Time
	unrecorded map[identity.SoftwareVersion]bool
	copied     map[string]port.Row
	copiedList []identity.SoftwareVersion
}

// run plays actions and returns how a stream was continued wrongly; empty if none was.
func (p *fleetPlay) run(actions []int) string {
	p.network.Lose([]float64{0, 0.03}[p.luck.IntN(2)])
	time.Sleep(recordLag)
	if p.single { // the first daemons find no record
		time.Sleep(publishTime)
	}
	for number, action := range actions {
		daemon := p.daemons[p.luck.IntN(len(p.daemons))]
		switch {
		case action < 40:
			p.begin(number, daemon)
		case action < 75 && len(p.began) > 0:
			if wrong := p.find(p.luck.IntN(number), daemon); wrong != "" {
				return wrong
			}
		case action < 83 && !p.single:
			p.move(p.nextList())
		case action < 86 && p.count() > 2:
			daemon.down = true
			daemon.SetDown(true)
			daemon.kill()
		case action < 89:
			p.add()
		case action < 92:
			p.endAll()
		case action < 94 && !p.single:
			p.service.Refuse(true)
			time.Sleep(time.Duration(p.luck.Int64N(int64(3 * time.Second))))
			p.service.Refuse(false)
		case action < 96 && !p.single:
			p.copied, p.copiedList = p.service.Table.Copy(), p.listed
		case action < 98 && p.copied != nil:
			p.comeBack()
		default:
			time.Sleep(time.Duration(p.luck.Int64N(int64(40 * time.Second))))
		}
		time.Sleep(time.Duration(p.luck.Int64N(int64(100 * time.Millisecond))))
	}
	return ""
}

func (p *fleetPlay) begin(number int, daemon *testDaemon) {
	listed := daemon.lists()
	if daemon.down || len(listed) == 0 {
		return
	}
	version := listed[p.luck.IntN(len(listed))]
	daemon.registry.Begun(stream(number), backendOf(version), true)
	p.began[number] = beganStream{version: version, at: time.Now()}
}

// find looks up a stream and returns how it was found wrongly.
func (p *fleetPlay) find(number int, daemon *testDaemon) string {
	began, known := p.began[number]
	if !known || daemon.down || time.Since(began.at) > streamorigin.Retention-time.Second {
		return ""
	}
	if p.single && time.Since(daemon.addedAt) < recordLag {
		return ""
	}
	found := daemon.registry.Find(context.Background(), stream(number))
	if found.Known && found.Version != began.version && !p.unrecorded[began.version] && (found.From != "" || time.Since(p.relistedAt) >= listLag) {
		return fmt.Sprintf("stream %d of %s: %+v at %s, which lists %v", number, began.version, found, daemon.Address(), daemon.lists())
	}
	if p.single && !found.Known {
		return fmt.Sprintf("stream %d is not found: %+v at %s", number, found, daemon.Address())
	}
	return ""
}

// move changes the list.
func (p *fleetPlay) move(next []identity.SoftwareVersion) {
	for _, version := range next {
		if _, listed := p.listedAt[version]; !listed {
			p.listedAt[version] = time.Now()
		}
	}
	for version := range p.listedAt {
		if !slices.Contains(next, version) {
			delete(p.listedAt, version)
		}
	}
	p.relist(next...)
}

// endAll ends all daemons. The list may change before they start again.
func (p *fleetPlay) endAll() {
	p.unrecorded = map[identity.SoftwareVersion]bool{}
	for version, at := range p.listedAt {
		p.unrecorded[version] = time.Since(at) < recordLag
	}
	if !p.single && p.luck.IntN(2) == 0 {
		p.setListed(p.nextList())
	}
	p.killAll(time.Duration(p.luck.Int64N(int64(2 * time.Second))))
}

// comeBack brings the store back from its copy. What operators wrote since is written again a moment later.
func (p *fleetPlay) comeBack() {
	lost := p.listed
	p.service.Table.Restore(p.copied)
	p.era.Add(1)
	p.copied = nil
	p.relist(p.copiedList...)
	if p.luck.IntN(2) == 0 {
		p.endAll()
	}
	time.Sleep(time.Duration(p.luck.Int64N(int64(2 * time.Second))))
	p.move(lost)
}

func (p *fleetPlay) count() int {
	count := 0
	for _, each := range p.daemons {
		if !each.down {
			count++
		}
	}
	return count
}
