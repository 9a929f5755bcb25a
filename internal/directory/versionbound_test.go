package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// namingSimulation is a reader and a daemon that receives its data, over a store that names a version between two
// checks. Times are of one monotonic clock.
type namingSimulation struct {
	t              *rapid.T
	began          time.Time
	clockAtBegin   time.Duration
	reader, hearer *Directory
}

func newNamingSimulation(t *rapid.T, began time.Time) *namingSimulation {
	world := &namingSimulation{t: t, began: began, clockAtBegin: 50 * time.Second}
	world.reader, world.hearer = world.daemon(), world.daemon()
	return world
}

// daemon returns a daemon that has read the store when the first version was named.
func (w *namingSimulation) daemon() *Directory {
	made := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), GuessedNaming: w.began.Add(-4 * time.Second)})
	made.apply(w.reading(w.began, 1))
	made.listed.Store(true)
	return made
}

// took draws the duration of a call.
func (w *namingSimulation) took(name string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(w.t, name))
}

// reading returns a read of what operators declared that began at a time.
func (w *namingSimulation) reading(began time.Time, version uint64) message {
	there, back := w.took("way there"), w.took("way back")
	declared := declaration(10, 7)
	declared.Clock = w.clockAtBegin + began.Add(there).Sub(w.began)
	declared.Versions["m"] = version
	return message{table: tableDeclared, began: began, ended: began.Add(there + back), declared: &declared}
}

// tell passes the reader's data to the other daemon, by a bulletin or as a snapshot.
func (w *namingSimulation) tell(at time.Time) {
	known := w.reader.freshness[tableDeclared]
	heard := at.Add(w.took("way of the bulletin"))
	w.hearer.applyBulletin(heard, heardBulletin{from: "reader", bulletin: Bulletin{Declared: &DeclaredNews{
		Clock: known.storeTime(w.reader.ConfirmedAt()), StoreVersion: 12, RowVersion: 10, Versions: seenVersions(w.reader.State()),
	}}})
}

// rowOfNaming is the store's version of the row that names a version.
const rowOfNaming = 100

// changes reports changes of back ends to the reader in an interval after a check in which a version was named. It
// returns the last moment before the naming that the reader knows of.
func (w *namingSimulation) changes(checked time.Time, interval time.Duration, named time.Time) time.Time {
	last := checked
	at := checked
	for number := range rapid.IntRange(0, 30).Draw(w.t, "changes") {
		at = at.Add(time.Duration(rapid.Int64Range(1, int64(400*time.Millisecond)).Draw(w.t, "pause")))
		if at.Sub(checked) >= interval {
			break
		}
		told := Changes{Reading: Reading{Version: uint64(number) + 1, Clock: w.clockAtBegin + at.Sub(w.began)}}
		if at.Before(named) {
			last = at
		} else {
			told.Version += rowOfNaming - 1
		}
		w.reader.apply(message{table: tableBackends, began: at, ended: at, changes: &told})
	}
	return last
}

// TestVersionCountsFromItsNaming guards against requests on older weights later than the grace period after a newer
// version was named, however long the reader takes to notice, and against a bound that is much too early.
func TestVersionCountsFromItsNaming(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const grace = 9 * time.Second
		interval := time.Duration(rapid.Int64Range(int64(700*time.Millisecond), int64(3*time.Second)).Draw(t, "interval"))
		world := newNamingSimulation(t, time.Now().Add(-10*time.Second-interval))
		checked := world.began.Add(10 * time.Second)
		rows := world.reader.rows
		world.reader.apply(message{table: tableDeclared, began: checked, ended: checked.Add(world.took("check")), checked: rows})
		world.tell(checked)
		named := checked.Add(time.Duration(rapid.Int64Range(1, int64(interval)).Draw(t, "named after the check")))
		last := world.changes(checked, interval, named)
		read := world.reading(checked.Add(interval), 2)
		read.declared.VersionRows = map[identity.ModelName]uint64{"m": rowOfNaming}
		world.reader.apply(read)
		world.tell(read.ended)
		for name, daemon := range map[string]*Directory{"reader": world.reader, "hearer": world.hearer} {
			assert.Equal(t, daemon.State().NewestVersion("m"), uint64(2), name)
			bound := daemon.State().BeginBy("m", 1, time.Time{}, grace)
			assert.Assert(t, !bound.After(named.Add(grace)), "%s: %s too late", name, bound.Sub(named.Add(grace)))
			assert.Assert(t, bound.After(last.Add(grace-time.Second)), "%s: %s too early", name, last.Add(grace).Sub(bound))
		}
	})
}

// TestVersionToldWithoutItsTimeCountsFromTheLastConfirmation checks that a version reported without a time counts
// from this daemon's last confirmation without it.
func TestVersionToldWithoutItsTimeCountsFromTheLastConfirmation(t *testing.T) {
	hearer := readFollower(t)
	confirmed := hearer.ConfirmedAt()
	hearer.applyBulletin(confirmed.Add(time.Second), heardBulletin{from: "a", bulletin: Bulletin{Declared: &DeclaredNews{
		Clock: 51 * time.Second, StoreVersion: 12, RowVersion: 10, Versions: []SeenVersion{{Model: identity.ModelName("m"), Version: 2}},
	}}})
	assert.Assert(t, !hearer.State().BeginBy("m", 1, time.Time{}, 0).After(confirmed))
}

// TestVersionOfBeforeTheStartCountsFromItsNaming guards against a bound that is too late for a reported version:
// its store clock is converted to the earliest possible local time, however long the read took that showed the
// store's clock.
func TestVersionOfBeforeTheStartCountsFromItsNaming(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newNamingSimulation(t, time.Now().Add(-time.Second))
		ago := time.Duration(rapid.Int64Range(1, int64(20*time.Second)).Draw(t, "ago"))
		world.reader.apply(message{seen: []SeenVersion{{Model: "m", Version: 1, StoreClock: world.clockAtBegin - ago}}})
		bound := world.reader.State().BeginBy("m", 0, time.Time{}, 0)
		assert.Assert(t, !bound.After(world.began.Add(-ago)), "%s too late", bound.Sub(world.began.Add(-ago)))
		assert.Assert(t, bound.After(world.began.Add(-ago-time.Second)), "%s too early", world.began.Add(-ago).Sub(bound))
	})
}

// TestFeedsTellWhenAVersionWasNotNamed checks that a version counts from the last answer about back ends before its
// naming, if that is later than the last check.
func TestFeedsTellWhenAVersionWasNotNamed(t *testing.T) {
	reader := readFollower(t)
	began := reader.ConfirmedAt()
	tell := func(after time.Duration, version uint64) {
		told := Changes{Reading: Reading{Version: version, Clock: 50*time.Second + after}}
		reader.apply(message{table: tableBackends, began: began, ended: began.Add(after), changes: &told})
	}
	tell(800*time.Millisecond, rowOfNaming-1)
	tell(900*time.Millisecond, rowOfNaming)
	declared := declaration(rowOfNaming+1, 7)
	declared.Clock = 51 * time.Second
	declared.Versions["m"] = 2
	declared.VersionRows = map[identity.ModelName]uint64{"m": rowOfNaming}
	reader.apply(message{table: tableDeclared, began: began.Add(time.Second), ended: began.Add(time.Second), declared: &declared})
	assert.Equal(t, reader.State().BeginBy("m", 1, time.Time{}, 0).Sub(began), 800*time.Millisecond)
}
