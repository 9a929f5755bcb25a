package directory

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// Timing of the simulation.
const (
	boundsGrace   = 10 * time.Second
	boundsContact = 3 * time.Second
	// boundsStep is the longest time between two events.
	boundsStep = 2 * time.Second
)

// naming records when a version was named, and the store's version of its row.
type naming struct {
	version, row uint64
	at           time.Time
}

// boundsSimulation simulates daemons that start, stop, read the store and exchange data in simulated time, while
// versions of a model's weights are named. The store is healthy all the time.
type boundsSimulation struct {
	t     *rapid.T
	began time.Time
	now   time.Time
	// storeVersion counts the store's transactions.
	storeVersion uint64
	namings      []naming
	daemons      map[string]*boundsDaemon
	// kept is the row in which daemons record when versions were named.
	kept []SeenVersion
}

// boundsDaemon is a daemon with its last read.
type boundsDaemon struct {
	*Directory
	started time.Time
	read    bool
}

func newBoundsSimulation(t *rapid.T) *boundsSimulation {
	began := time.Now().Add(-time.Hour)
	world := &boundsSimulation{t: t, began: began, now: began, storeVersion: 10, daemons: map[string]*boundsDaemon{}}
	world.name()
	for _, name := range []string{"a", "b", "c"} {
		world.start(name)
	}
	return world
}

func (w *boundsSimulation) clockAt(at time.Time) time.Duration {
	return 50*time.Second + at.Sub(w.began)
}

func (w *boundsSimulation) draw(most time.Duration, what string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(w.t, what))
}

func (w *boundsSimulation) pick() *boundsDaemon {
	return w.daemons[rapid.SampledFrom(slices.Sorted(maps.Keys(w.daemons))).Draw(w.t, "daemon")]
}

// start starts a daemon, replacing a stopped one of the same name.
func (w *boundsSimulation) start(name string) {
	w.daemons[name] = &boundsDaemon{started: w.now, Directory: New(Options{
		Pool: backendpool.New("a"), Log: logging.Discard(), Self: name, Started: w.now,
		GuessedNaming: w.now.Add(boundsContact - boundsGrace), SteadyTime: boundsContact, QuietTime: boundsContact,
	})}
	w.daemons[name].listed.Store(true)
}

// name names the next version.
func (w *boundsSimulation) name() {
	w.storeVersion++
	w.namings = append(w.namings, naming{version: uint64(len(w.namings) + 1), row: w.storeVersion, at: w.now})
}

func (w *boundsSimulation) newest() naming { return w.namings[len(w.namings)-1] }

// simulateCall simulates a call, and returns when it began and when the store answered it.
func (w *boundsSimulation) simulateCall() (began, answered time.Time) {
	began = w.now
	w.now = w.now.Add(w.draw(100*time.Millisecond, "way there"))
	answered = w.now
	w.now = w.now.Add(w.draw(100*time.Millisecond, "way back"))
	return began, answered
}

// read makes a daemon read in full what operators declared.
func (w *boundsSimulation) read(daemon *boundsDaemon) {
	began, answered := w.simulateCall()
	declared := declaration(w.storeVersion, 7)
	declared.RowVersion, declared.Clock = 10, w.clockAt(answered)
	declared.Versions["m"] = w.newest().version
	declared.VersionRows = map[identity.ModelName]uint64{"m": w.newest().row}
	declared.Rows = map[string]uint64{"config": 10, "m": w.newest().row}
	daemon.apply(message{table: tableDeclared, began: began, ended: w.now, declared: &declared})
	daemon.read = true
}

// confirm makes a daemon check whether its last read is still the newest.
func (w *boundsSimulation) confirm(daemon *boundsDaemon) {
	if !daemon.read {
		return
	}
	if daemon.rows["m"] != w.newest().row {
		w.read(daemon)
		return
	}
	began, _ := w.simulateCall()
	daemon.apply(message{table: tableDeclared, began: began, ended: w.now, checked: daemon.rows})
}

// change reports a change of the list to a daemon.
func (w *boundsSimulation) change(daemon *boundsDaemon) {
	w.storeVersion++
	began, answered := w.simulateCall()
	told := Changes{Reading: Reading{Version: w.storeVersion, Clock: w.clockAt(answered)}}
	daemon.apply(message{table: tableBackends, began: began, ended: w.now, changes: &told})
}

// tell passes one daemon's data to another one, by a bulletin or as a snapshot.
func (w *boundsSimulation) tell(teller, hearer *boundsDaemon) {
	state := teller.State()
	if state == nil || teller == hearer {
		return
	}
	known, confirmed := teller.freshness[tableDeclared], teller.ConfirmedAt()
	asked, _ := w.simulateCall()
	if hearer.State() != nil {
		hearer.applyBulletin(w.now, heardBulletin{from: "teller", bulletin: Bulletin{Declared: &DeclaredNews{
			Clock: known.storeTime(confirmed), StoreVersion: 12, RowVersion: 10, Versions: seenVersions(state),
		}}})
		return
	}
	hearer.apply(message{adopted: &adoption{from: "teller", asked: asked, answered: w.now, snapshot: Snapshot{
		Complete: true, ClockLeast: known.storeTime(asked), ClockMost: known.maxAt(w.now), Confirmed: known.storeTime(confirmed),
		StoreVersion: 12, RowVersion: 10, Configuration: state.Table.Configuration(), Versions: seenVersions(state),
	}}})
}

// failedCalls makes two calls of a daemon fail although the store is healthy, while another daemon's check
// confirms.
func (w *boundsSimulation) failedCalls(daemon, other *boundsDaemon) {
	began := w.now
	w.read(other)
	w.tell(other, daemon)
	w.now = w.now.Add(w.draw(boundsStep, "time-out"))
	daemon.NoteFailedCall(FailedCall{Began: began, Ended: w.now})
	daemon.NoteFailedCall(FailedCall{Began: began.Add(time.Millisecond), Ended: w.now})
}

// check compares the bounds of all daemons with the first naming after each version. Daemons that have just started
// may still use any guess.
func (w *boundsSimulation) check() {
	for name, daemon := range w.daemons {
		state := daemon.State()
		if state == nil {
			continue
		}
		for _, naming := range w.namings {
			if naming.version > state.NewestVersion("m") {
				break
			}
			latest := naming.at.Add(boundsGrace)
			if inTouch := daemon.started.Add(boundsContact); inTouch.After(latest) {
				latest = inTouch
			}
			bound := state.BeginBy("m", naming.version-1, daemon.SteadySince(), boundsGrace)
			assert.Assert(w.t, !bound.IsZero(), "%s sets no bound on versions before %d", name, naming.version)
			assert.Assert(w.t, !bound.After(latest), "%s bounds versions before %d by %s too late", name, naming.version, bound.Sub(latest))
		}
	}
}

// TestBeginsAreBoundByTheFirstNaming guards against requests that begin on old weights too late. Daemons start,
// read, exchange data and lose calls in any order; while the store is healthy, no request may begin on a version
// later than the grace period after the first newer version was named.
func TestBeginsAreBoundByTheFirstNaming(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newBoundsSimulation(t)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			world.now = world.now.Add(world.draw(boundsStep, "pause"))
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				world.name()
			case 1, 2:
				world.read(world.pick())
			case 3:
				world.confirm(world.pick())
			case 4:
				world.change(world.pick())
			case 5:
				world.tell(world.pick(), world.pick())
			case 6:
				world.start(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "starts"))
			case 7:
				world.syncNamingRow(world.pick())
			case 8:
				world.failedCalls(world.pick(), world.pick())
			}
			world.check()
		}
	})
}

// syncNamingRow makes a daemon record its namings in the store, or adopt those recorded there.
func (w *boundsSimulation) syncNamingRow(daemon *boundsDaemon) {
	if rapid.Bool().Draw(w.t, "keeps") {
		w.kept = daemon.SeenVersions()
		return
	}
	daemon.apply(message{seen: w.kept})
}
