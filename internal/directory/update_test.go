package directory

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// update requests data from a daemon that isn't running.
func update(asked *Directory, have Have) Update {
	answer := make(chan Update, 1)
	go func() { answer <- asked.Update(context.Background(), have) }()
	for {
		select {
		case got := <-asked.messages:
			asked.apply(got)
		case update := <-answer:
			return update
		}
	}
}

// fetchFrom makes one daemon request another one's data as ask does, and apply it. It returns the number of back
// ends received.
func fetchFrom(t assert.TestingT, asker, asked *Directory) int {
	told := 0
	for range 2 {
		now := time.Now()
		have := asker.have()
		have.NeedBackendsTo = asked.positions[tableBackends].Load() // as from a bulletin
		update := update(asked, have)
		list, err := deltaOf(&update)
		assert.NilError(t, err)
		told += list.size()
		asker.apply(message{adopted: &adoption{from: "reader", asked: now, answered: now, snapshot: update.Snapshot, list: list}})
		if !asker.needsWholeList.Load() {
			break
		}
	}
	return told
}

// TestAskersGetTheSameList checks that daemons that start, that missed some changes, or that have a wrong list get
// the asked daemon's list.
func TestAskersGetTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newRestartSimulation(t)
		world.reader.backends.history.begin(world.version)
		world.reader.publishBackendPosition()
		askers := make([]*Directory, 3)
		for index := range askers {
			askers[index] = New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: fmt.Sprint("asker", index)})
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			asker := askers[rapid.IntRange(0, len(askers)-1).Draw(t, "asker")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				world.change()
			case 3:
				if asker.Complete() && rapid.Bool().Draw(t, "mistaken") {
					asker.backends.put(backendpool.Backend{ID: "nobody", Service: "s"})
				}
			default:
				fetchFrom(t, asker, world.reader)
				assert.DeepEqual(t, backendsByName(asker), backendsByName(world.reader))
				assert.Equal(t, asker.backends.digest, world.reader.backends.digest)
			}
		}
		for _, asker := range askers {
			fetchFrom(t, asker, world.reader)
			assert.DeepEqual(t, backendsByName(asker), backendsByName(world.reader))
			assert.DeepEqual(t, asker.options.Pool.Backends(), world.reader.backends.all())
		}
	})
}

// listOf returns a list of back ends as in a real fleet.
func listOf(count int) []backendpool.Backend {
	list := make([]backendpool.Backend, count)
	for number := range list {
		list[number] = backendpool.Backend{
			ID:      identity.NewBackendID(identity.BackendName(fmt.Sprintf("i-%08x%04d", uint32(number)*2654435761, number)), identity.Incarnation(1796262243000+number*17)),
			Service: "assistant", Address: fmt.Sprintf("10.%d.%d.%d:8000", number%5, number/250, number%250), Zone: identity.Zone(fmt.Sprintf("zone-%d", number%5)),
			Slots: 16, Software: "v1", Weights: map[identity.ModelName]uint64{"m0": 3},
		}
	}
	return list
}

// newListReader returns a daemon that has read a list.
func newListReader(list []backendpool.Backend) *Directory {
	return newBroadcastingReader(list, func(Bulletin) {})
}

// newBroadcastingReader returns a daemon that has read a list and broadcasts what it reads.
func newBroadcastingReader(list []backendpool.Backend, tell func(Bulletin)) *Directory {
	reader := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "reader", Broadcast: tell})
	reader.role.open()
	reader.role.decide(time.Now(), tableBackends) // it becomes the reader
	declared := declaration(10, 7)
	now := time.Now()
	reader.apply(message{table: tableDeclared, began: now, ended: now, declared: &declared})
	reader.apply(message{table: tableBackends, began: now, ended: now, listed: &Listed{Reading: Reading{Version: 1000}, Backends: list}})
	return reader
}

// TestMissedChangesCostNoWholeList guards against sending the whole list to a daemon that missed a few changes: it
// gets these alone, whether the list has 1,000 or 20,000 entries.
func TestMissedChangesCostNoWholeList(t *testing.T) {
	for _, count := range []int{1_000, 10_000, 20_000} {
		list := listOf(count)
		reader := newListReader(list)
		asker := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "asker"})
		assert.Equal(t, fetchFrom(t, asker, reader), count)
		for number := range 300 {
			changed := list[number]
			changed.Draining = true
			reader.change([]backendpool.Backend{changed}, nil, uint64(1001+number))
		}
		assert.Equal(t, fetchFrom(t, asker, reader), 300)
		assert.Equal(t, asker.backends.digest, reader.backends.digest)
	}
}

// TestMistakenListIsToldWholeOnce checks that a daemon with a wrong list, which the changes don't lead to the
// reader's, gets the whole list once. Changes that it misses later are sent alone again.
func TestMistakenListIsToldWholeOnce(t *testing.T) {
	const count = 1_000
	list := listOf(count)
	reader := newListReader(list)
	asker := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "asker"})
	assert.Equal(t, fetchFrom(t, asker, reader), count)
	asker.backends.put(backendpool.Backend{ID: "nobody", Service: "s"})
	for number := range 3 {
		changed := list[number]
		changed.Draining = true
		reader.change([]backendpool.Backend{changed}, nil, uint64(1001+number))
		told := fetchFrom(t, asker, reader)
		assert.Equal(t, asker.backends.digest, reader.backends.digest)
		if number > 0 {
			assert.Equal(t, told, 1)
		}
	}
}

// TestListsArePackedOnce bounds the cost of many daemons that start at once: with 20,000 back ends each receives
// the whole list in a third of a second on a link of 20 Mbit/s, and the asked daemon packs it once.
func TestListsArePackedOnce(t *testing.T) {
	const linkBytesPerSecond = 20_000_000 / 8
	reader := newListReader(listOf(20_000))
	first := update(reader, Have{})
	assert.Assert(t, len(first.List.Packed) < linkBytesPerSecond/3, "%d bytes", len(first.List.Packed))
	for range 10 {
		next := update(reader, Have{})
		assert.Assert(t, &next.List.Packed[0] == &first.List.Packed[0])
	}
	t.Logf("%d bytes for 20,000 back ends", len(first.List.Packed))
}

// BenchmarkAdopt measures adopting a whole list, as a starting daemon does.
func BenchmarkAdopt(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			reader := newListReader(listOf(count))
			told := update(reader, Have{})
			for b.Loop() {
				starter := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "starter"})
				list, err := deltaOf(&told)
				assert.NilError(b, err)
				starter.apply(message{adopted: &adoption{from: "reader", asked: time.Now(), answered: time.Now(), snapshot: told.Snapshot, list: list}})
			}
		})
	}
}

// BenchmarkChange measures applying a change of one back end.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list := listOf(count)
			reader := newListReader(list)
			version, number := uint64(1000), 0
			for b.Loop() {
				version, number = version+1, (number+7)%count
				changed := list[number]
				changed.Draining = version%2 == 0
				reader.change([]backendpool.Backend{changed}, nil, version)
			}
		})
	}
}
