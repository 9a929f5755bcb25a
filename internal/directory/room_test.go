package directory

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// reader returns the reader, or -1 if there is not exactly one.
func (w *roleSimulation) reader() int {
	found := -1
	for index, role := range w.roles {
		if !role.isReader() || w.frozen[index] {
			continue
		}
		if found >= 0 {
			return -1
		}
		found = index
	}
	return found
}

// advanceTime simulates some time.
func (w *roleSimulation) advanceTime(length time.Duration) {
	for until := w.now.Add(length); w.now.Before(until); {
		w.step()
	}
}

// TestReaderFallsToRoom stops one reader after the other in a fleet of a few daemons with much capacity and many
// with little: nearly always one with much capacity takes over, as long as there are any.
func TestReaderFallsToRoom(t *testing.T) {
	const daemons, large = 40, 12
	world := newRoleSimulation(nil, daemons)
	for index := range large {
		world.capacities[3*index] = 9
	}
	world.advanceTime(4 * time.Second)
	withRoom := 0
	for range large - 2 {
		reader := world.reader()
		assert.Assert(t, reader >= 0, "no daemon reads, or several do")
		if world.capacities[reader] > 1 {
			withRoom++
		}
		world.frozen[reader] = true
		world.advanceTime(4 * time.Second)
	}
	assert.Assert(t, withRoom >= large-4, "%d of %d readers have room", withRoom, large-2)
}

// TestOfTwoReadersTheOneWithRoomStays checks that of two readers the one with less capacity stops, whatever their
// addresses.
func TestOfTwoReadersTheOneWithRoomStays(t *testing.T) {
	world := newRoleSimulation(nil, 3)
	world.capacities[2] = 9
	for _, index := range []int{0, 2} {
		world.roles[index].begin(world.now)
		world.roles[index].noteOwnNews(world.now) // its calls succeed
	}
	world.advanceTime(2 * time.Second)
	assert.Equal(t, world.reader(), 2)
}

// TestReaderIsNearTheStore checks that daemons whose calls take ten times as long take over after those near the
// store.
func TestReaderIsNearTheStore(t *testing.T) {
	const daemons = 12
	near := 0
	for round := range 20 {
		world := newRoleSimulation(nil, daemons)
		for index := range daemons {
			world.storeTimes[index] = 45 * time.Millisecond
			if (index+round)%3 == 0 {
				world.storeTimes[index] = 5 * time.Millisecond
			}
		}
		world.advanceTime(4 * time.Second)
		if reader := world.reader(); reader >= 0 && world.storeTimes[reader] < 10*time.Millisecond {
			near++
		}
	}
	// A third of the daemons are near the store; by rank alone seven of twenty readers would be.
	assert.Assert(t, near >= 10, "%d of 20 readers are near the store", near)
}

// TestStarterWithoutRoomWaits checks the additional delay of starting daemons that know one with more capacity, or
// are far from the store.
func TestStarterWithoutRoomWaits(t *testing.T) {
	capacities := map[string]float64{"10.0.0.1": 1, "10.0.0.2": 9, "10.0.0.3": 1}
	handicap := func(self string, storeTime time.Duration, contacts ...string) time.Duration {
		daemon := New(Options{
			Pool: backendpool.New("a"), Log: logging.Discard(), Self: self, StoreTime: func() time.Duration { return storeTime },
			Topology: peerlink.Topology{
				Others:   func() []string { return contacts },
				Capacity: func(address string) float64 { return capacities[address] },
			},
		})
		return daemon.joinHandicap(slices.Clone(contacts))
	}
	assert.Equal(t, handicap("10.0.0.1", 0, "10.0.0.3"), time.Duration(0))
	assert.Equal(t, handicap("10.0.0.1", 0, "10.0.0.2", "10.0.0.3"), lowCapacityHandicap)
	assert.Equal(t, handicap("10.0.0.2", 0, "10.0.0.1", "10.0.0.3"), time.Duration(0))
	assert.Equal(t, handicap("10.0.0.2", 45*time.Millisecond, "10.0.0.1"), 180*time.Millisecond)
	assert.Equal(t, handicap("10.0.0.2", time.Second, "10.0.0.1"), maxHandicap)
}
