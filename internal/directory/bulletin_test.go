package directory

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// TestBulletinsLeadToTheReadersList has a daemon hear the bulletins of a reader of
// the list, some lost, some twice, some late: whenever it need not read itself, its
// list is one that the reader had at the same version. One that missed nothing never
// has to read.
func TestBulletinsLeadToTheReadersList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader := map[identity.BackendID]backendpool.Backend{}
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
			var gone []identity.BackendID
			for range rapid.IntRange(0, 25).Draw(t, "changes") {
				id := identity.BackendID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"))
				if _, known := reader[id]; known && rapid.Bool().Draw(t, "gone") {
					gone = append(gone, id)
					changed = removeBackend(changed, id)
					delete(reader, id)
					continue
				}
				backend := backendpool.Backend{ID: id, Slots: int(version)}
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
				follower.takeBackends(news)
				if upToDate {
					assert.Equal(t, follower.positions[tableBackends].Load(), version, "news that follows on is taken in")
				}
			}
			if len(late) > 0 && rapid.Bool().Draw(t, "late") {
				follower.takeBackends(late[0])
				late = late[1:]
			}
			position := follower.positions[tableBackends].Load()
			assert.Equal(t, fmt.Sprint(believed(follower)), histories[position], "at version %d", position)
		}
	})
}

// believed is the list that a daemon believes in.
func believed(directory *Directory) map[identity.BackendID]backendpool.Backend {
	list := map[identity.BackendID]backendpool.Backend{}
	for _, backend := range directory.backends.all() {
		list[backend.ID] = backend
	}
	return list
}

func removeBackend(list []backendpool.Backend, id identity.BackendID) []backendpool.Backend {
	var kept []backendpool.Backend
	for _, backend := range list {
		if backend.ID != id {
			kept = append(kept, backend)
		}
	}
	return kept
}

func removeID(list []identity.BackendID, id identity.BackendID) []identity.BackendID {
	var kept []identity.BackendID
	for _, each := range list {
		if each != id {
			kept = append(kept, each)
		}
	}
	return kept
}

// readFollower is a daemon that has read the store when its clock showed 50 s.
func readFollower(t *testing.T) *Directory {
	t.Helper()
	follower := New(Options{
		Pool: backendpool.New("a"), Log: logging.Discard(), Self: "b", Tell: func(Bulletin) {},
	})
	began := time.Now()
	declared := declaration(10, 7)
	declared.Clock = 50 * time.Second
	declared.Versions["m"] = 1
	follower.apply(message{table: tableDeclared, began: began, ended: began, declared: &declared})
	return follower
}

// TestToldConfirmationIsOfTheStoresMoment confirms the configuration as of the moment
// that the store's clock names, however late the bulletin comes.
func TestToldConfirmationIsOfTheStoresMoment(t *testing.T) {
	follower := readFollower(t)
	before := follower.ConfirmedAt()
	late := before.Add(9 * time.Second)
	follower.applyBulletin(late, heardBulletin{from: "a", bulletin: Bulletin{Declared: &DeclaredNews{
		Clock: 51 * time.Second, StoreVersion: 12, RowVersion: 10,
		Versions: []Seen{{Model: "m", Version: 2, StoreClock: 50500 * time.Millisecond}},
	}}})
	assert.Equal(t, follower.ConfirmedAt().Sub(before), time.Second)
	named := follower.State().Versions["m"]
	assert.Equal(t, named[1].Version, uint64(2))
	assert.Equal(t, named[1].SeenAt.Sub(before), 500*time.Millisecond)
	follower.applyBulletin(late, heardBulletin{from: "a", bulletin: Bulletin{Declared: &DeclaredNews{
		Clock: 50200 * time.Millisecond, StoreVersion: 11, RowVersion: 10,
	}}})
	assert.Equal(t, follower.ConfirmedAt().Sub(before), time.Second)
}

// TestToldMomentsToComeConfirmNothing reads itself when a bulletin shows that the
// store's clock is ahead of what this daemon makes of an outdated answer.
func TestToldMomentsToComeConfirmNothing(t *testing.T) {
	follower := readFollower(t)
	before := follower.ConfirmedAt()
	follower.turns[tableDeclared].reads = false
	follower.applyBulletin(before.Add(time.Second), heardBulletin{from: "a", bulletin: Bulletin{Declared: &DeclaredNews{
		Clock: 55 * time.Second, StoreVersion: 12, RowVersion: 10,
	}}})
	assert.Equal(t, follower.ConfirmedAt(), before)
	assert.Equal(t, follower.turns[tableDeclared].due(before.Add(time.Second)), taskRead)
}

// TestNewerConfigurationIsRead confirms nothing by news of a configuration that this
// daemon doesn't have, and reads it.
func TestNewerConfigurationIsRead(t *testing.T) {
	follower := readFollower(t)
	before := follower.ConfirmedAt()
	follower.turns[tableDeclared].reads = false
	now := before.Add(time.Second)
	follower.applyBulletin(now, heardBulletin{from: "a", bulletin: Bulletin{Declared: &DeclaredNews{
		Clock: 51 * time.Second, StoreVersion: 12, RowVersion: 12,
	}}})
	assert.Equal(t, follower.ConfirmedAt(), before)
	assert.Equal(t, follower.turns[tableDeclared].due(now), taskRead)
}

// TestFewReadForAll runs daemons over one store: nearly all readings are made by a
// few of them, all learn of changes in time, and others take over from readers that
// are gone.
func TestFewReadForAll(t *testing.T) {
	const daemons = 12
	source := &memorySource{declared: declaration(10, 7)}
	source.declared.Clock = time.Minute
	source.listed = Listed{Reading: Reading{Version: 10, Clock: time.Minute}, Backends: []backendpool.Backend{{ID: "a", Service: "s"}}}
	clocked := &clockedSource{memorySource: source, start: time.Now()}
	var mutex sync.Mutex
	var running [daemons]*Directory
	var stops [daemons]context.CancelFunc
	told := [daemons]int{}
	for index := range daemons {
		self := fmt.Sprintf("10.0.0.%02d", index)
		running[index] = New(Options{
			Source: clocked, Pool: backendpool.New("a"), Log: logging.Discard(), Self: self,
			Tell: func(bulletin Bulletin) {
				mutex.Lock()
				defer mutex.Unlock()
				told[index]++
				for other, directory := range running {
					if other != index && directory != nil {
						directory.Hear(self, bulletin)
					}
				}
			},
		})
	}
	for index := range daemons {
		var ctx context.Context
		ctx, stops[index] = context.WithCancel(context.Background())
		t.Cleanup(stops[index])
		go func() { _ = running[index].Run(ctx) }()
	}
	waitForAll := func(version uint64, within time.Duration) {
		for index := range daemons {
			if running[index] != nil {
				poll.WaitOn(t, inForce(running[index], version), poll.WithTimeout(within))
			}
		}
	}
	waitForAll(7, time.Second)
	time.Sleep(2 * time.Second)
	readers := func() []int {
		mutex.Lock()
		defer mutex.Unlock()
		clear(told[:])
		mutex.Unlock()
		time.Sleep(time.Second)
		mutex.Lock()
		var found []int
		for index, count := range told {
			if count > 2 {
				found = append(found, index)
			}
		}
		return found
	}
	first := readers()
	assert.Assert(t, len(first) >= 1 && len(first) <= 2*wantedReaders, "readers: %v", first)
	source.set(func(s *memorySource) { s.declared = declaration(11, 8) })
	waitForAll(8, 600*time.Millisecond)
	mutex.Lock()
	for _, index := range first {
		stops[index]()
		running[index] = nil
	}
	mutex.Unlock()
	source.set(func(s *memorySource) { s.declared = declaration(12, 9) })
	waitForAll(9, 1500*time.Millisecond)
	for _, directory := range running {
		if directory != nil {
			assert.Assert(t, time.Since(directory.ConfirmedAt()) < 2*time.Second)
		}
	}
}

// clockedSource is a memorySource whose answers tell a clock that goes on.
type clockedSource struct {
	*memorySource
	start time.Time
}

func (c *clockedSource) clock() time.Duration { return time.Minute + time.Since(c.start) }

// Declared implements Source.
func (c *clockedSource) Declared(ctx context.Context, known uint64) (Declared, error) {
	declared, err := c.memorySource.Declared(ctx, known)
	declared.Clock = c.clock()
	return declared, err
}

// Backends implements Source.
func (c *clockedSource) Backends(ctx context.Context, from string) (Listed, error) {
	listed, err := c.memorySource.Backends(ctx, from)
	listed.Clock = c.clock()
	return listed, err
}

// TestReadersNeverHideChangesFromOthers has several daemons read the feed of one store
// and tell each other, with bulletins lost and late: the list of each is always the
// one that the store had at the version up to which the daemon believes to know all.
func TestReadersNeverHideChangesFromOthers(t *testing.T) {
	type row struct {
		version uint64
		backend backendpool.Backend
		gone    bool
	}
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 3
		rows := map[identity.BackendID]row{}
		histories := map[uint64]string{1: fmt.Sprint(map[identity.BackendID]backendpool.Backend{})}
		version := uint64(1)
		var all [daemons]*Directory
		var told []heardBulletin
		for index := range daemons {
			self := fmt.Sprint(index)
			all[index] = New(Options{
				Pool: backendpool.New("a"), Log: logging.Discard(), Self: self,
				Tell: func(bulletin Bulletin) { told = append(told, heardBulletin{from: self, bulletin: bulletin}) },
			})
			all[index].listed.Store(true)
			advance(all[index].positions[tableBackends], 1)
		}
		write := func() {
			version++
			id := identity.BackendID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"))
			slots := rapid.IntRange(1, 2).Draw(t, "slots") // often a heartbeat that changes nothing
			rows[id] = row{version: version, backend: backendpool.Backend{ID: id, Slots: slots}, gone: rapid.Bool().Draw(t, "gone")}
			state := map[identity.BackendID]backendpool.Backend{}
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
					changes.Remove(row.backend.ID)
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
				// A call that began before some bulletins were taken in.
				read(directory, max(position-min(rapid.Uint64Range(0, 3).Draw(t, "before"), position-1), 1))
			case 3:
				if len(told) > 0 {
					at := rapid.IntRange(0, len(told)-1).Draw(t, "bulletin")
					directory.applyBulletin(time.Now(), told[at])
				}
			}
			position = directory.positions[tableBackends].Load()
			assert.Equal(t, fmt.Sprint(believed(directory)), histories[position], "at version %d", position)
		}
	})
}
