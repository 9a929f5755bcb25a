package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// roleSimulation simulates the roles of daemons in simulated time: each reads the store when its role requires it
// and the store serves it, and sends datagrams to the others that may be lost.
type roleSimulation struct {
	t        *rapid.T // nil if no datagrams are lost
	now      time.Time
	interval time.Duration
	roles    []*readerRole
	// cut daemons reach no other one, refused ones are rejected by the store, frozen ones do nothing.
	cut, refused, frozen map[int]bool
	// loss is the percentage of lost datagrams, drawn from t.
	loss     int
	nextCall []time.Time
	newsAt   []time.Time
	calls    int
	// capacities are the daemons' capacities, and storeTimes how long their calls to the store take.
	capacities []float64
	storeTimes []time.Duration
}

const roleStep = 20 * time.Millisecond

func daemonAddress(index int) string { return fmt.Sprintf("10.0.0.%03d", index) }

func newRoleSimulation(t *rapid.T, daemons int) *roleSimulation {
	world := &roleSimulation{
		t: t, now: time.Unix(1_000_000, 0), interval: 500 * time.Millisecond,
		cut: map[int]bool{}, refused: map[int]bool{}, frozen: map[int]bool{},
		nextCall: make([]time.Time, daemons), newsAt: make([]time.Time, daemons),
		storeTimes: make([]time.Duration, daemons),
	}
	for range daemons {
		world.capacities = append(world.capacities, 1)
	}
	for index := range daemons {
		made := newReaderRole(readerRoleOptions{
			self: daemonAddress(index), interval: world.interval, capacity: world.capacity,
			storeTime: func() time.Duration { return world.storeTimes[index] },
			others: func() []string {
				var others []string
				for other := range daemons {
					if other != index {
						others = append(others, daemonAddress(other))
					}
				}
				return others
			},
		})
		made.open()
		world.roles = append(world.roles, made)
		world.newsAt[index] = world.now
		made.newsAt, made.newsFrom = world.now, daemonAddress(0)
	}
	return world
}

// capacity returns the capacity of the daemon at an address.
func (w *roleSimulation) capacity(address string) float64 {
	var index int
	_, _ = fmt.Sscanf(address, "10.0.0.%d", &index) // all addresses have this form
	return w.capacities[index]
}

// step makes all daemons do what is due.
func (w *roleSimulation) step() {
	w.now = w.now.Add(roleStep)
	for index, role := range w.roles {
		if w.frozen[index] || w.now.Before(w.nextCall[index]) || role.decide(w.now, tableDeclared).task == taskNone {
			continue
		}
		w.calls++
		w.nextCall[index] = w.now.Add(w.interval)
		if w.refused[index] {
			w.tellTrying(index)
			continue
		}
		w.newsAt[index] = w.now
		if role.noteOwnNews(w.now) {
			w.tell(index)
		}
	}
}

func (w *roleSimulation) tell(from int) {
	for index, role := range w.roles {
		if index == from || w.frozen[index] || w.cut[index] || w.cut[from] {
			continue
		}
		if w.loss > 0 && rapid.IntRange(0, 99).Draw(w.t, "lost") < w.loss {
			continue
		}
		w.newsAt[index] = w.now
		role.noteNewsFrom(w.now, w.now, daemonAddress(from))
	}
}

// tellTrying announces to the others that a daemon's call failed.
func (w *roleSimulation) tellTrying(from int) {
	for index, role := range w.roles {
		if index != from && !w.frozen[index] && !w.cut[index] && !w.cut[from] {
			role.noteFailedTry(w.now)
		}
	}
}

func (w *roleSimulation) readers() int {
	count := 0
	for _, role := range w.roles {
		if role.isReader() {
			count++
		}
	}
	return count
}

// TestReadersAreHandedOver cuts daemons off from each other, makes the store reject some, freezes some and loses
// datagrams. Every daemon that reaches the store, or a daemon that does, must have news within the time in which a
// configuration must be in force. After the faults one daemon reads.
func TestReadersAreHandedOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(2, 12).Draw(t, "daemons")
		world := newRoleSimulation(t, daemons)
		for index := range daemons {
			world.capacities[index] = rapid.SampledFrom([]float64{1, 1, 9}).Draw(t, "capacity")
			world.storeTimes[index] = rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, 45 * time.Millisecond}).Draw(t, "store time")
		}
		for range rapid.IntRange(1, 3).Draw(t, "troubles") {
			world.loss = rapid.SampledFrom([]int{0, 0, 3, 20}).Draw(t, "loss")
			for index := range daemons {
				kind := rapid.IntRange(0, 7).Draw(t, "trouble")
				world.cut[index], world.refused[index], world.frozen[index] = kind == 0, kind == 1, kind == 2
			}
			for range rapid.IntRange(10, 150).Draw(t, "steps") {
				world.step()
			}
		}
		clear(world.cut)
		clear(world.frozen)
		clear(world.refused)
		world.loss = 0
		calm := world.now
		const bound = 2 * time.Second // the shortest time in which a configuration must be in force
		for world.now.Sub(calm) < 4*time.Second {
			world.step()
			for index := range daemons {
				if world.now.Sub(calm) > bound {
					age := world.now.Sub(world.newsAt[index])
					assert.Assert(t, age < bound, "daemon %d of %d had news %s ago", index, daemons, age)
				}
			}
		}
		assert.Equal(t, world.readers(), 1)
	})
}

// TestLostReaderIsReplacedInTime stops the reader of a large fleet and its first successors: news is back within
// the bound, and few other daemons read meanwhile.
func TestLostReaderIsReplacedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 60
		world := newRoleSimulation(t, daemons)
		for range 200 {
			world.step()
		}
		assert.Equal(t, world.readers(), 1)
		share := rapid.IntRange(0, 60).Draw(t, "killed in 100")
		for index := range daemons {
			if world.roles[index].isReader() || rapid.IntRange(0, 99).Draw(t, "killed") < share {
				world.frozen[index] = true
			}
		}
		world.calls = 0
		killed := world.now
		const bound = 2 * time.Second
		for world.now.Sub(killed) < bound {
			world.step()
		}
		for index := range daemons {
			if !world.frozen[index] {
				assert.Assert(t, world.now.Sub(world.newsAt[index]) < bound-world.interval, "daemon %d", index)
			}
		}
		assert.Assert(t, world.calls < 30, "%d calls", world.calls)
	})
}

// TestRefusedReaderIsReplacedInTime makes the store reject the reader of a fleet and a third of the others, while
// it serves the rest, which includes at least one of the first successors: news is never older at any daemon than
// the time in which a configuration must be in force. All eight successors are rejected in one of 6,500 fleets;
// there it may take longer.
func TestRefusedReaderIsReplacedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.SampledFrom([]int{7, 16, 60}).Draw(t, "daemons")
		world := newRoleSimulation(t, daemons)
		for range 200 {
			world.step()
		}
		served := 0
		for index := range daemons {
			world.refused[index] = world.roles[index].isReader() || rapid.IntRange(0, 2).Draw(t, "refused") == 0
			if !world.refused[index] && world.roles[index].rank() >= 0 {
				served++
			}
		}
		if served == 0 {
			return
		}
		refusedAt := world.now
		const bound = 2 * time.Second
		for world.now.Sub(refusedAt) < 2*bound {
			world.step()
			for index, newsAt := range world.newsAt {
				assert.Assert(t, world.now.Sub(newsAt) < bound, "daemon %d of %d had news %s ago", index, daemons, world.now.Sub(newsAt))
			}
		}
	})
}

// TestReadersInStepResolve guards against two readers that read at the same moments and never stop: the one with
// the higher address stops.
func TestReadersInStepResolve(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	made := newReaderRole(readerRoleOptions{self: daemonAddress(2), interval: time.Second})
	made.open()
	assert.Equal(t, made.decide(now, tableDeclared).task, taskRead)
	assert.Assert(t, made.noteOwnNews(now))
	assert.Assert(t, !made.noteNewsFrom(now, now.Add(-5*time.Millisecond), daemonAddress(3)))
	assert.Assert(t, made.noteNewsFrom(now, now.Add(-5*time.Millisecond), daemonAddress(1)))
	assert.Assert(t, !made.isReader())
}

// newRefusedFleet returns a large fleet whose daemons have been rejected by the store for six seconds, apart from a
// share in thirds.
func newRefusedFleet(servedThirds int) *roleSimulation {
	const daemons = 60
	world := newRoleSimulation(nil, daemons)
	for range 200 {
		world.step()
	}
	for index := range daemons {
		world.refused[index] = index%3 >= servedThirds
	}
	began := world.now
	for world.now.Sub(began) < 6*time.Second {
		world.step()
	}
	return world
}

// TestFewTryWhileTheStoreIsAway guards against a rush on the store: it rejects all daemons of a large fleet for six
// seconds, and only a few of them try. The roles draw random times, and one more daemon per interval tries on
// average besides the eight successors, so the bound is on the mean of several fleets: 327 daemons try in twenty
// fleets on average, and 364 at most in 300 such draws.
func TestFewTryWhileTheStoreIsAway(t *testing.T) {
	const fleets, mostOnAverage, mostOfOne = 20, 25, 40
	sum := 0
	for range fleets {
		trying := newRefusedFleet(0).readers()
		assert.Assert(t, trying <= mostOfOne, "%d daemons try", trying)
		sum += trying
	}
	assert.Assert(t, sum <= fleets*mostOnAverage, "%d daemons of %d fleets try", sum, fleets)
}

// TestNewsIsBackWhereSomeAreServed makes the store serve a part of a large fleet: news is soon back at all daemons.
func TestNewsIsBackWhereSomeAreServed(t *testing.T) {
	for _, servedThirds := range []int{1, 2} {
		for range 20 {
			world := newRefusedFleet(servedThirds)
			for index, newsAt := range world.newsAt {
				age := world.now.Sub(newsAt)
				assert.Assert(t, age < 2*time.Second, "daemon %d had news %s ago", index, age)
			}
		}
	}
}
