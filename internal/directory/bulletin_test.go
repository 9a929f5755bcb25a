package directory

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/logging"
)

// TestBulletinsLeadToTheReadersList guards against a wrong list after lost, duplicate or late bulletins: unless the
// daemon has to read itself, its list equals the reader's at the same version. A daemon that missed nothing never
// has to read.
func TestBulletinsLeadToTheReadersList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader := map[identity.BackendName]backendpool.Backend{}
		log := &changeLog{last: 1}
		follower := New(Options{Pool: backendpool.New("a"), Log: logging.Discard()})
		follower.listed.Store(true)
		advance(follower.positions[tableBackends], 1)
		histories := map[uint64]string{1: fmt.Sprint(reader)}
		var late []*BackendNews
		for version := uint64(1); version < 30; {
			from := version
			version += rapid.Uint64Range(1, 3).Draw(t, "step")
			var changed []backendpool.Backend
			var gone []identity.BackendName
			for range rapid.IntRange(0, 25).Draw(t, "changes") {
				id := identity.BackendName(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"))
				if _, known := reader[id]; known && rapid.Bool().Draw(t, "gone") {
					gone = append(gone, id)
					changed = removeBackend(changed, id)
					delete(reader, id)
					continue
				}
				backend := backendpool.Backend{ID: identity.NewBackendID(id, 0), Slots: int(version)}
				changed = append(removeBackend(changed, id), backend)
				gone = removeID(gone, id)
				reader[id] = backend
			}
			log.note(from, version, changed, gone)
			histories[version] = fmt.Sprint(reader)
			whole := newBackendList()
			for _, backend := range reader {
				whole.put(backend)
			}
			news := log.news(whole.digest)
			switch rapid.IntRange(0, 3).Draw(t, "fate") {
			case 0:
			case 1:
				late = append(late, news)
			default:
				upToDate := follower.positions[tableBackends].Load() == from
				follower.mergeBackendNews("reader", news)
				if upToDate {
					assert.Equal(t, follower.positions[tableBackends].Load(), version, "changes that follow on the list are applied")
				}
			}
			if len(late) > 0 && rapid.Bool().Draw(t, "late") {
				follower.mergeBackendNews("reader", late[0])
				late = late[1:]
			}
			position := follower.positions[tableBackends].Load()
			assert.Equal(t, fmt.Sprint(backendsByName(follower)), histories[position], "at version %d", position)
		}
	})
}

// backendsByName returns a daemon's list of back ends.
func backendsByName(directory *Directory) map[identity.BackendName]backendpool.Backend {
	list := map[identity.BackendName]backendpool.Backend{}
	for _, backend := range directory.backends.all() {
		list[backend.ID.Name()] = backend
	}
	return list
}

func removeBackend(list []backendpool.Backend, id identity.BackendName) []backendpool.Backend {
	var kept []backendpool.Backend
	for _, backend := range list {
		if backend.ID.Name() != id {
			kept = append(kept, backend)
		}
	}
	return kept
}

func removeID(list []identity.BackendName, id identity.BackendName) []identity.BackendName {
	var kept []identity.BackendName
	for _, each := range list {
		if each != id {
			kept = append(kept, each)
		}
	}
	return kept
}

// readFollower returns a daemon that has read the store when its clock showed 50 s.
func readFollower(t *testing.T) *Directory {
	t.Helper()
	follower := New(Options{
		Pool: backendpool.New("a"), Log: logging.Discard(), Self: "b", Broadcast: func(Bulletin) {},
	})
	began := time.Now()
	declared := declaration(10, 7)
	declared.Clock = 50 * time.Second
	declared.Versions["m"] = 1
	follower.apply(message{table: tableDeclared, began: began, ended: began, declared: &declared})
	follower.listed.Store(true)
	return follower
}

// TestToldConfirmationIsOfTheStoresMoment guards against confirmations dated by the arrival of a bulletin: they
// count from the time of the store's clock that it names.
func TestToldConfirmationIsOfTheStoresMoment(t *testing.T) {
	follower := readFollower(t)
	before := follower.ConfirmedAt()
	late := before.Add(9 * time.Second)
	follower.applyBulletin(late, heardBulletin{from: "a", bulletin: Bulletin{Declared: &DeclaredNews{
		Clock: 51 * time.Second, StoreVersion: 12, RowVersion: 10,
		Versions: []SeenVersion{{Model: "m", Version: 2, StoreClock: 50500 * time.Millisecond}},
	}}})
	assert.Equal(t, follower.ConfirmedAt().Sub(before), time.Second)
	named := follower.State().Versions["m"]
	assert.Equal(t, named[1].Version, uint64(2))
	assert.Equal(t, named[1].NamedAfter.Sub(before), 500*time.Millisecond)
	follower.applyBulletin(late, heardBulletin{from: "a", bulletin: Bulletin{Declared: &DeclaredNews{
		Clock: 50200 * time.Millisecond, StoreVersion: 11, RowVersion: 10,
	}}})
	assert.Equal(t, follower.ConfirmedAt().Sub(before), time.Second)
}

// TestToldMomentsToComeConfirmNothing guards against a wrong estimate of the store's clock after an outdated
// answer: a bulletin from the future confirms nothing, and the daemon reads itself.
func TestToldMomentsToComeConfirmNothing(t *testing.T) {
	follower := readFollower(t)
	before := follower.ConfirmedAt()
	follower.role.open()
	follower.role.reads = false
	follower.applyBulletin(before.Add(time.Second), heardBulletin{from: "a", bulletin: Bulletin{Declared: &DeclaredNews{
		Clock: 55 * time.Second, StoreVersion: 12, RowVersion: 10,
	}}})
	assert.Equal(t, follower.ConfirmedAt(), before)
	assert.Equal(t, follower.role.decide(before.Add(time.Second), tableDeclared).task, taskRead)
}

// TestNewerConfigurationIsRead guards against confirming an old configuration by news of a newer one, which is read
// from the store if no daemon provides it.
func TestNewerConfigurationIsRead(t *testing.T) {
	follower := readFollower(t)
	before := follower.ConfirmedAt()
	follower.role.open()
	follower.role.reads = false
	now := before.Add(time.Second)
	follower.applyBulletin(now, heardBulletin{from: "a", bulletin: Bulletin{Declared: &DeclaredNews{
		Clock: 51 * time.Second, StoreVersion: 12, RowVersion: 12,
	}}})
	assert.Equal(t, follower.ConfirmedAt(), before)
	assert.Equal(t, follower.missing.Load().need, Have{NeedRowVersion: 12})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go follower.catchUp(ctx)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if follower.role.decide(now, tableDeclared).task == taskRead {
			return poll.Success()
		}
		return poll.Continue("the store is not read")
	})
}

// TestOneReadsForAll runs several daemons over one store: exactly one reads, all learn of changes in time, and
// another daemon takes over from a stopped reader.
func TestOneReadsForAll(t *testing.T) {
	source := &memorySource{declared: declaration(10, 7)}
	source.declared.Clock = time.Minute
	source.listed = Listed{Reading: Reading{Version: 10, Clock: time.Minute}, Backends: []backendpool.Backend{{ID: "a", Service: "s"}}}
	daemons := newFleet(t, &clockedSource{memorySource: source, start: time.Now()}, 12)
	daemons.waitForAll(t, 7, 3*time.Second)
	time.Sleep(time.Second)
	first := daemons.readers()
	assert.Equal(t, len(first), 1, "readers: %v", first)
	source.set(func(s *memorySource) { s.declared = declaration(11, 8) })
	daemons.waitForAll(t, 8, 600*time.Millisecond)
	daemons.kill(first[0])
	source.set(func(s *memorySource) { s.declared = declaration(12, 9) })
	daemons.waitForAll(t, 9, 1500*time.Millisecond)
	for _, address := range daemons.addresses() {
		assert.Assert(t, time.Since(daemons.daemon(address).ConfirmedAt()) < 2*time.Second)
	}
}

// TestStarterNeedsNoStore starts a daemon while the store is down: it adopts the other daemons' data, with the age
// of their confirmation.
func TestStarterNeedsNoStore(t *testing.T) {
	source := &memorySource{declared: declaration(10, 7)}
	source.declared.Versions["m"] = 3
	source.listed = Listed{Reading: Reading{Version: 10, Clock: time.Minute}, Backends: []backendpool.Backend{{ID: "a", Service: "s"}}}
	daemons := newFleet(t, &clockedSource{memorySource: source, start: time.Now()}, 3)
	daemons.waitForAll(t, 7, 3*time.Second)
	time.Sleep(300 * time.Millisecond)
	source.set(func(s *memorySource) { s.failure = errors.New("down"); s.calls = 0 })
	time.Sleep(300 * time.Millisecond)
	daemons.add("10.0.0.50")
	daemons.start(t, "10.0.0.50")
	started := daemons.daemon("10.0.0.50")
	poll.WaitOn(t, complete(started), poll.WithTimeout(time.Second))
	assert.Equal(t, started.State().Table.Version(), uint64(7))
	assert.Equal(t, started.State().NewestVersion("m"), uint64(3))
	assert.Equal(t, len(started.options.Pool.Backends()), 1)
	age := time.Since(started.ConfirmedAt())
	assert.Assert(t, age > 250*time.Millisecond && age < 3*time.Second, "confirmed %s ago", age)
}

// TestSnapshotNeverGoesBack guards against snapshots that replace a configuration, list or confirmation by an older
// one, or confirm a later time than the asked daemon did.
func TestSnapshotNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origin := time.Now()
		asker := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "b", Broadcast: func(Bulletin) {}})
		var row, backendsTo uint64
		confirmed := time.Time{}
		for step := range rapid.IntRange(1, 20).Draw(t, "snapshots") {
			// The store's clock shows 50 s at the origin. The asked daemon knows it to within some ms.
			asked := origin.Add(time.Duration(step) * time.Second)
			way := time.Duration(rapid.IntRange(0, 300).Draw(t, "way")) * time.Millisecond
			true1 := 50*time.Second + asked.Add(way/2).Sub(origin)
			unsure := time.Duration(rapid.IntRange(0, 50).Draw(t, "unsure")) * time.Millisecond
			age := time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond
			version := rapid.Uint64Range(1, 20).Draw(t, "row")
			snapshot := Snapshot{
				Complete: true, ClockLeast: true1 - unsure, ClockMost: true1 + unsure, Confirmed: max(true1-age, time.Millisecond),
				StoreVersion: version, RowVersion: version, Configuration: &routing.Configuration{Version: version},
				BackendsTo: rapid.Uint64Range(1, 20).Draw(t, "back ends"), HasBackends: true,
			}
			snapshot.Backends = []backendpool.Backend{{ID: identity.BackendID(fmt.Sprint(snapshot.BackendsTo)), Service: "s"}}
			asker.adopt(&adoption{from: "a", asked: asked, answered: asked.Add(way), snapshot: snapshot})
			row, backendsTo = max(row, version), max(backendsTo, snapshot.BackendsTo)
			assert.Equal(t, asker.State().RowVersion, row)
			assert.Equal(t, asker.State().Table.Version(), row)
			assert.Equal(t, string(asker.options.Pool.Backends()[0].ID), fmt.Sprint(backendsTo))
			if version == row {
				confirmed = later(confirmed, origin.Add(snapshot.Confirmed-50*time.Second))
			}
			assert.Assert(t, !asker.ConfirmedAt().After(confirmed), "confirmed %s too late", asker.ConfirmedAt().Sub(confirmed))
		}
	})
}

// clockedSource is a memorySource with a running store clock.
type clockedSource struct {
	*memorySource
	start time.Time
}

func (c *clockedSource) clock() time.Duration { return time.Minute + time.Since(c.start) }

// Declared implements Source.
func (c *clockedSource) Declared(ctx context.Context) (Declared, error) {
	declared, err := c.memorySource.Declared(ctx)
	declared.Clock = c.clock()
	return declared, err
}

// Backends implements Source.
func (c *clockedSource) Backends(ctx context.Context, from string) (Listed, error) {
	listed, err := c.memorySource.Backends(ctx, from)
	listed.Clock = c.clock()
	return listed, err
}

// TestReadersNeverHideChangesFromOthers guards against changes lost between several readers of one feed, with
// bulletins lost and late: each daemon's list equals the store's at the version up to which the daemon claims to
// know it.
func TestReadersNeverHideChangesFromOthers(t *testing.T) {
	rapid.Check(t, readersNeverHideChanges(func(*rapid.T) identity.Incarnation { return 0 }))
}

// TestReadersNeverHideLivesFromOthers is the same for back ends that restart under their names, some with clocks
// that step back and some without a start time.
func TestReadersNeverHideLivesFromOthers(t *testing.T) {
	rapid.Check(t, readersNeverHideChanges(func(t *rapid.T) identity.Incarnation {
		return identity.Incarnation(rapid.Uint64Range(0, 3).Draw(t, "incarnation"))
	}))
}

// readersNeverHideChanges returns the property of the tests above. incarnation draws the incarnation of each row.
func readersNeverHideChanges(incarnation func(*rapid.T) identity.Incarnation) func(*rapid.T) {
	type row struct {
		version uint64
		backend backendpool.Backend
		gone    bool
	}
	return func(t *rapid.T) {
		const daemons = 3
		rows := map[identity.BackendName]row{}
		histories := map[uint64]string{1: fmt.Sprint(map[identity.BackendName]backendpool.Backend{})}
		version := uint64(1)
		var all [daemons]*Directory
		var told []heardBulletin
		for index := range daemons {
			self := fmt.Sprint(index)
			all[index] = New(Options{
				Pool: backendpool.New("a"), Log: logging.Discard(), Self: self,
				Broadcast: func(bulletin Bulletin) { told = append(told, heardBulletin{from: self, bulletin: bulletin}) },
			})
			all[index].listed.Store(true)
			advance(all[index].positions[tableBackends], 1)
		}
		write := func() {
			version++
			id := identity.BackendName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"))
			slots := rapid.IntRange(1, 2).Draw(t, "slots") // often a heartbeat without a change
			rows[id] = row{version: version, backend: backendpool.Backend{ID: identity.NewBackendID(id, incarnation(t)), Slots: slots}, gone: rapid.Bool().Draw(t, "gone")}
			state := map[identity.BackendName]backendpool.Backend{}
			for id, row := range rows {
				if !row.gone {
					state[id] = row.backend
				}
			}
			histories[version] = fmt.Sprint(state)
		}
		read := func(directory *Directory, after uint64) {
			changes := &Changes{After: after}
			for _, row := range rows {
				if row.version <= after {
					continue
				}
				changes.Last = max(changes.Last, row.version)
				if row.gone {
					changes.Remove(row.backend.ID.Name())
				} else {
					changes.Put(row.backend)
				}
			}
			directory.apply(message{table: tableBackends, ended: time.Now(), changes: changes})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			directory := all[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			position := directory.positions[tableBackends].Load()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				write()
			case 2:
				// This call began before some bulletins were applied.
				read(directory, max(position-min(rapid.Uint64Range(0, 3).Draw(t, "before"), position-1), 1))
			case 3:
				if len(told) > 0 {
					at := rapid.IntRange(0, len(told)-1).Draw(t, "bulletin")
					directory.applyBulletin(time.Now(), told[at])
				}
			}
			position = directory.positions[tableBackends].Load()
			assert.Equal(t, fmt.Sprint(backendsByName(directory)), histories[position], "at version %d", position)
		}
	}
}

// TestLateBulletinsAreNoNews guards against delayed or repeated bulletins that keep a daemon from reading: a
// bulletin counts as news as of its own time only.
func TestLateBulletinsAreNoNews(t *testing.T) {
	follower := readFollower(t)
	follower.role.open()
	follower.role.reads = false
	known := follower.ConfirmedAt()
	late := func(now time.Time, clock time.Duration) {
		follower.applyBulletin(now, heardBulletin{from: "a", bulletin: Bulletin{Declared: &DeclaredNews{
			Clock: clock, StoreVersion: 12, RowVersion: 10,
		}}})
	}
	late(known.Add(5*time.Second), 51*time.Second)
	assert.Equal(t, follower.ConfirmedAt().Sub(known), time.Second)
	assert.Equal(t, follower.role.decide(known.Add(5*time.Second), tableDeclared).task, taskRead, "news of four seconds ago kept it from reading")

	follower = readFollower(t)
	follower.role.open()
	follower.role.reads = false
	known = follower.ConfirmedAt()
	late(known.Add(100*time.Millisecond), 50050*time.Millisecond)
	for step := range 40 {
		late(known.Add(time.Duration(step)*100*time.Millisecond), 50050*time.Millisecond)
	}
	assert.Equal(t, follower.role.decide(known.Add(4*time.Second), tableDeclared).task, taskRead, "the same bulletin again and again kept it from reading")
}

// TestLargeReadingsAreToldInPages sends some hundred changes found by one read, as in a rolling replacement of back
// ends, in several bulletins: receivers need no request, unless a page is lost.
func TestLargeReadingsAreToldInPages(t *testing.T) {
	for _, lost := range []int{-1, 0, 2} {
		list := listOf(2_000)
		var told []Bulletin
		reader := newBroadcastingReader(list, func(bulletin Bulletin) { told = append(told, bulletin) })
		hearer := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "hearer"})
		fetchFrom(t, hearer, reader)

		told = nil
		changes := &Changes{After: 1000, Last: 1300}
		for number := range 250 {
			changed := list[number]
			changed.Draining = true
			changes.Changed = append(changes.Changed, changed)
		}
		for number := 300; number < 320; number++ {
			changes.Gone = append(changes.Gone, list[number].ID.Name())
		}
		reader.apply(message{table: tableBackends, began: time.Now(), ended: time.Now(), changes: changes})
		assert.Equal(t, len(told), 6)
		for index, bulletin := range told {
			datagram, err := codec.Marshal(&bulletin)
			assert.NilError(t, err)
			assert.Assert(t, len(datagram) < 8<<10, "%d bytes", len(datagram))
			packed, brief, packs := bulletin.Pack()
			assert.Assert(t, packs && len(packed.Packed) < len(datagram)/2, "%d bytes packed of %d", len(packed.Packed), len(datagram))
			if index != lost {
				hearer.ReceivePackedBulletin("reader", packed)
				hearer.applyBulletin(time.Now(), <-hearer.bulletins)
			}
			hearer.applyBulletin(time.Now(), heardBulletin{from: "reader", bulletin: brief})
		}
		asks := hearer.missing.Load() != nil
		assert.Equal(t, asks, lost >= 0)
		if asks {
			assert.Assert(t, fetchFrom(t, hearer, reader) <= 270)
		}
		assert.DeepEqual(t, backendsByName(hearer), backendsByName(reader))
	}
}
