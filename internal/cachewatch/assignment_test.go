package cachewatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

var start = time.Unix(1_000_000, 0)

// listed is a list of back ends for an Assignment.
type listed map[identity.BackendID]backendpool.Backend

func (l listed) all() []backendpool.Backend {
	var list []backendpool.Backend
	for _, backend := range l {
		list = append(list, backend)
	}
	return list
}

func engine(number int) backendpool.Backend {
	return backendpool.Backend{ID: identity.BackendID(fmt.Sprint("e", number)), Address: fmt.Sprint("a", number), Weights: map[identity.ModelName]uint64{"m": 1}}
}

func daemons(count int) []string {
	addresses := make([]string, count)
	for number := range addresses {
		addresses[number] = fmt.Sprint("d", number)
	}
	return addresses
}

// noZone knows no daemon's zone.
func noZone(string) identity.Zone { return "" }

// TestWatchersAreInTheZone has three zones, of which one has no daemons: caches are watched by daemons of their zone, two
// each, and those of the third by two of all.
func TestWatchersAreInTheZone(t *testing.T) {
	known := listed{}
	for number := range 300 {
		backend := engine(number)
		backend.Zone = identity.Zone(fmt.Sprint("z", number%3))
		known[backend.ID] = backend
	}
	addresses := daemons(40)
	zoneOf := func(daemon string) identity.Zone {
		var number int
		_, err := fmt.Sscanf(daemon, "d%d", &number)
		assert.NilError(t, err)
		return identity.Zone(fmt.Sprint("z", number%2))
	}
	watchers := map[string][]string{}
	for number, self := range addresses {
		assigned := NewAssignment(self, 2, known.all, zoneOf)
		others := append(slices.Clone(addresses[:number]), addresses[number+1:]...)
		assigned.Targets(start, others)
		for _, target := range assigned.Targets(start.Add(settleTime), others) {
			watchers[target.Name] = append(watchers[target.Name], self)
		}
	}
	for id, backend := range known {
		assert.Equal(t, len(watchers[string(id)]), 2)
		for _, watcher := range watchers[string(id)] {
			assert.Assert(t, backend.Zone == "z2" || zoneOf(watcher) == backend.Zone)
		}
	}
}

// listedEngines lists a number of back ends.
func listedEngines(count int) listed {
	known := listed{}
	for number := range count {
		known[engine(number).ID] = engine(number)
	}
	return known
}

// TestStarterWatchesItsPartOnly starts among hundreds of daemons, which it learns of a few at a time: it begins no more
// watches than are its part.
func TestStarterWatchesItsPartOnly(t *testing.T) {
	for _, count := range []int{1_000, 10_000, 20_000} {
		known := listedEngines(count)
		others := daemons(count / 10)
		starter := NewAssignment("self", 2, known.all, noZone)
		starter.Listed(known.all(), nil)
		begun := map[string]bool{}
		for step := range 40 {
			now := start.Add(time.Duration(step) * 400 * time.Millisecond)
			among := slices.Clone(others[:min(len(others), 1+step*step*len(others)/100)])
			if step >= 10 {
				among = others
			}
			for _, target := range starter.Targets(now, among) {
				begun[target.Name] = true
			}
		}
		assert.Assert(t, len(begun) > 0 && len(begun) < 2*20, "%d watches were begun", len(begun))
	}
}

// TestChangesCostTheirOwnWork changes one back end, and has a daemon come: what is looked at doesn't grow with the fleet.
func TestChangesCostTheirOwnWork(t *testing.T) {
	for _, count := range []int{1_000, 10_000, 20_000} {
		known := listedEngines(count)
		others := daemons(count / 10)
		settled := NewAssignment("self", 2, known.all, noZone)
		settled.Targets(start, others)
		settled.Targets(start.Add(settleTime), others)
		before := settled.checks
		settled.Listed([]backendpool.Backend{engine(7)}, nil)
		assert.Equal(t, settled.checks-before, 1)
		settled.Targets(start.Add(time.Minute), append(slices.Clone(others), "another"))
		assert.Assert(t, settled.checks-before < 60, "%d looks", settled.checks-before)
	}
}

// TestAssignmentIsAsRanked draws changes of both lists: the targets are those of an Assignment that looks at all.
func TestAssignmentIsAsRanked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known, others, now := listed{}, []string{}, start
		drawn := NewAssignment("self", 2, known.all, noZone)
		drawn.Targets(now, others)
		now = now.Add(settleTime)
		drawn.Targets(now, others)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			backend := engine(rapid.IntRange(0, 12).Draw(t, "back end"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				delete(known, backend.ID)
				drawn.Listed(nil, []identity.BackendID{backend.ID})
			case 1, 2:
				backend.Draining = rapid.IntRange(0, 3).Draw(t, "drains") == 0
				known[backend.ID] = backend
				drawn.Listed([]backendpool.Backend{backend}, nil)
			case 3:
				others = append(slices.Clone(others), fmt.Sprint("d", rapid.IntRange(0, 500).Draw(t, "comes")))
			default:
				others = slices.Clone(others[min(len(others), rapid.IntRange(0, 1).Draw(t, "goes")):])
			}
			var want []string
			for id, backend := range known {
				if !backend.Draining && rendezvous.AmongTop(rendezvous.Key(string(id)), "self", others, 2) {
					want = append(want, string(id))
				}
			}
			slices.Sort(want)
			var got []string
			for _, target := range drawn.Targets(now, others) {
				got = append(got, target.Name)
			}
			assert.DeepEqual(t, got, want)
		}
	})
}
