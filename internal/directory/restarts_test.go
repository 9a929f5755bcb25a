package directory

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// restartSimulation is a reader of a list whose back ends restart, and the bulletins that it sends.
type restartSimulation struct {
	t       *rapid.T
	reader  *Directory
	version uint64
	told    []Bulletin
}

func newRestartSimulation(t *rapid.T) *restartSimulation {
	world := &restartSimulation{t: t, version: 1}
	world.reader = New(Options{
		Pool: backendpool.New("a"), Log: logging.Discard(), Self: "reader",
		Broadcast: func(told Bulletin) { world.told = append(world.told, told) },
	})
	world.reader.role.open()
	world.reader.role.decide(time.Now(), tableBackends) // it becomes the reader
	read := declaration(10, 7)
	now := time.Now()
	read.Clock = 50 * time.Second
	world.reader.apply(message{table: tableDeclared, began: now, ended: now, declared: &read})
	world.reader.listed.Store(true)
	advance(world.reader.positions[tableBackends], world.version)
	return world
}

// change starts, restarts or removes a back end.
func (w *restartSimulation) change() {
	changes := &Changes{After: w.version}
	w.version++
	changes.Last = w.version
	name := identity.BackendName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "name"))
	if rapid.IntRange(0, 4).Draw(w.t, "goes") == 0 {
		changes.Remove(name)
	} else {
		life := identity.Incarnation(rapid.Uint64Range(0, 3).Draw(w.t, "incarnation"))
		changes.Put(backendpool.Backend{ID: identity.NewBackendID(name, life), Slots: rapid.IntRange(1, 2).Draw(w.t, "slots")})
	}
	w.reader.apply(message{table: tableBackends, ended: time.Now(), changes: changes})
}

// roundTrip encodes and decodes a message.
func roundTrip[Body any](t *rapid.T, body Body) Body {
	encoded, err := msgpack.Marshal(body)
	assert.NilError(t, err)
	var got Body
	assert.NilError(t, msgpack.Unmarshal(encoded, &got))
	return got
}

// ask makes a daemon adopt the reader's data.
func (w *restartSimulation) ask(starter *Directory) {
	state, now := w.reader.State(), time.Now()
	snapshot := roundTrip(w.t, Snapshot{
		Complete: true, RowVersion: state.RowVersion, Configuration: state.Table.Configuration(),
		ClockLeast: 50 * time.Second, ClockMost: 51 * time.Second,
		HasBackends: true, Backends: w.reader.backends.all(), BackendsTo: w.reader.positions[tableBackends].Load(),
	})
	starter.apply(message{adopted: &adoption{from: "reader", asked: now, answered: now, snapshot: snapshot}})
}

// TestStarterBelievesInTheSameLives guards against wrong incarnations at a daemon that starts while back ends
// restart. It receives some bulletins late or repeatedly, and asks if they don't lead to the reader's list: its
// incarnations are always those of the reader at the same version, and equal in the end.
func TestStarterBelievesInTheSameLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newRestartSimulation(t)
		starter := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "starter"})
		histories := map[uint64]map[identity.BackendName]backendpool.Backend{1: backendsByName(world.reader)}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				world.change()
				histories[world.version] = backendsByName(world.reader)
			case 2:
				world.ask(starter)
			default:
				if len(world.told) > 0 && starter.Complete() {
					told := world.told[rapid.IntRange(0, len(world.told)-1).Draw(t, "told")]
					starter.applyBulletin(time.Now(), heardBulletin{from: "reader", bulletin: roundTrip(t, told)})
				}
			}
			if position := starter.positions[tableBackends].Load(); starter.Complete() {
				assert.DeepEqual(t, backendsByName(starter), histories[position])
			}
		}
		world.ask(starter)
		assert.DeepEqual(t, backendsByName(starter), backendsByName(world.reader))
	})
}
