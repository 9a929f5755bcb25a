package directory

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// topologyOf returns one daemon's view of the others.
func topologyOf(self string, all []string) peerlink.Topology {
	return peerlink.Topology{Others: func() []string { return removeAddress(all, self) }, Region: regionOf}
}

// TestQuestionsFormOneTree checks that requests lead from each daemon to the reader, that one daemon of each other
// region asks across the border, and that each daemon is asked by few.
func TestQuestionsFormOneTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []string
		for region := range rapid.IntRange(1, 3).Draw(t, "regions") {
			for index := range rapid.IntRange(1, 100).Draw(t, "daemons") {
				all = append(all, fmt.Sprintf("10.%d.0.%d", region, index))
			}
		}
		reader := rapid.SampledFrom(all).Draw(t, "reader")
		parents, askers, crossings := map[string]string{}, map[string]int{}, map[identity.Region]int{}
		for _, self := range removeAddress(all, reader) {
			topology := topologyOf(self, all)
			daemon := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: self, Others: topology.Others, Topology: topology})
			parents[self] = daemon.upstreamOf(reader)
			askers[parents[self]]++
			if regionOf(self) != regionOf(parents[self]) {
				crossings[regionOf(self)]++
			}
		}
		for self := range parents {
			steps := 0
			for at := self; at != reader; at = parents[at] {
				steps++
				assert.Assert(t, steps <= 4, "%s doesn't reach the reader", self)
			}
		}
		for asked, count := range askers {
			assert.Assert(t, count <= treeFanOut+len(crossings), "%s is asked by %d", asked, count)
		}
		for region, count := range crossings {
			assert.Equal(t, count, 1, "region %s", region)
		}
	})
}

// TestStarterAsksItsRegionFirst checks that a starting daemon asks its own region first.
func TestStarterAsksItsRegionFirst(t *testing.T) {
	all := []string{"10.0.0.1", "10.0.0.2", "10.1.0.1", "10.1.0.2", "10.1.0.3"}
	topology := topologyOf("10.1.0.1", all)
	daemon := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "10.1.0.1", Others: topology.Others, Topology: topology})
	contacts := []string{"10.0.0.1", "10.1.0.3", "10.0.0.2", "10.1.0.2"}
	daemon.sortByProximity(contacts)
	assert.DeepEqual(t, contacts, []string{"10.1.0.3", "10.1.0.2", "10.0.0.1", "10.0.0.2"})
}

// regionFleet is a fleet of two regions over one store with a clock.
func regionFleet(t *testing.T, each int) (*fleet, *memorySource) {
	t.Helper()
	source := &memorySource{declared: declaration(10, 7)}
	source.listed = Listed{Reading: Reading{Version: 10, Clock: time.Minute}, Backends: []backendpool.Backend{
		{ID: "north", Service: "s"}, {ID: "south", Service: "s"},
	}}
	daemons := newFleet(t, &clockedSource{memorySource: source, start: time.Now()}, 0)
	for region := range 2 {
		for index := range each {
			daemons.add(fmt.Sprintf("10.%d.0.%02d", region, index))
		}
	}
	for _, address := range daemons.addresses() {
		daemons.start(t, address)
	}
	daemons.waitForAll(t, 7, 3*time.Second)
	return daemons, source
}

// TestConfigurationCrossesEachBorderOnce guards against many requests across regions for a new configuration: few
// daemons of a region ask there, and the others ask these.
func TestConfigurationCrossesEachBorderOnce(t *testing.T) {
	t.Parallel()
	daemons, source := regionFleet(t, 9)
	time.Sleep(time.Second)
	daemons.questions()
	source.set(func(s *memorySource) { s.declared = declaration(11, 8) })
	daemons.waitForAll(t, 8, 800*time.Millisecond)
	near, far := daemons.questions()
	assert.Assert(t, near >= 15, "%d in the region", near)
	assert.Assert(t, far <= 2, "%d over the border", far)
}

// cutRegions loses all messages between regions.
func cutRegions(from, to string) bool { return regionOf(from) != regionOf(to) }

// TestCutRegionReadsForItself cuts two regions off from each other: each soon has a reader of its own, learns of a
// new configuration, and keeps the list. After the cut one daemon reads for both.
func TestCutRegionReadsForItself(t *testing.T) {
	t.Parallel()
	daemons, source := regionFleet(t, 5)
	time.Sleep(500 * time.Millisecond)
	daemons.block(cutRegions)
	source.set(func(s *memorySource) { s.declared = declaration(11, 8) })
	daemons.waitForAll(t, 8, 3*time.Second)
	readers := daemons.readers()
	assert.Assert(t, slices.ContainsFunc(readers, func(reader string) bool { return regionOf(reader) == "0" }), "%v", readers)
	assert.Assert(t, slices.ContainsFunc(readers, func(reader string) bool { return regionOf(reader) == "1" }), "%v", readers)
	for _, address := range daemons.addresses() {
		daemon := daemons.daemon(address)
		assert.Assert(t, time.Since(daemon.ConfirmedAt()) < time.Second, address)
		assert.Equal(t, len(daemon.options.Pool.Backends()), 2, "%s has dropped back ends", address)
	}
	daemons.block(nil)
	time.Sleep(2 * time.Second)
	assert.Equal(t, len(daemons.readers()), 1)
}

// TestHealedRegionsAskLittle guards against a wave of requests after a cut during which nothing changed.
func TestHealedRegionsAskLittle(t *testing.T) {
	t.Parallel()
	daemons, _ := regionFleet(t, 5)
	time.Sleep(500 * time.Millisecond)
	daemons.block(cutRegions)
	time.Sleep(2 * time.Second)
	daemons.block(nil)
	daemons.questions()
	time.Sleep(time.Second)
	near, far := daemons.questions()
	assert.Assert(t, near+far <= 2, "%d in the region, %d over the border", near, far)
}

// oneSidedSource is a store that only some daemons reach.
type oneSidedSource struct {
	Source
	reached func() bool
}

var errNoWay = errors.New("no way to the store")

// Declared implements Source.
func (s *oneSidedSource) Declared(ctx context.Context) (Declared, error) {
	if !s.reached() {
		return Declared{}, errNoWay
	}
	return s.Source.Declared(ctx)
}

// Unchanged implements Source.
func (s *oneSidedSource) Unchanged(ctx context.Context, rows map[string]uint64) (bool, error) {
	if !s.reached() {
		return false, errNoWay
	}
	return s.Source.Unchanged(ctx, rows)
}

// Backends implements Source.
func (s *oneSidedSource) Backends(ctx context.Context, from string) (Listed, error) {
	if !s.reached() {
		return Listed{}, errNoWay
	}
	return s.Source.Backends(ctx, from)
}

// BackendChanges implements Source.
func (s *oneSidedSource) BackendChanges(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	if !s.reached() {
		return Changes{}, errNoWay
	}
	return s.Source.BackendChanges(ctx, after, wait)
}

// TestRegionCutFromTheStoreKeepsItsList cuts a region off from the others and the store: it confirms nothing, so
// that keys and denials fail closed, and keeps the list. After the cut it confirms again.
func TestRegionCutFromTheStoreKeepsItsList(t *testing.T) {
	t.Parallel()
	daemons, source := regionFleet(t, 4)
	alone := &oneSidedSource{Source: daemons.source}
	cut := false
	alone.reached = func() bool {
		daemons.mutex.Lock()
		defer daemons.mutex.Unlock()
		return !cut
	}
	for _, address := range daemons.addresses() {
		if regionOf(address) == "1" {
			daemons.kill(address)
		}
	}
	daemons.source = alone
	for index := range 4 {
		address := fmt.Sprintf("10.1.0.%02d", index)
		daemons.add(address)
		daemons.start(t, address)
	}
	daemons.waitForAll(t, 7, 3*time.Second)
	daemons.mutex.Lock()
	cut, daemons.blocks = true, cutRegions
	daemons.mutex.Unlock()
	began := time.Now()
	time.Sleep(300 * time.Millisecond)
	source.set(func(s *memorySource) { s.declared = declaration(11, 8) })
	time.Sleep(1500 * time.Millisecond)
	for _, address := range daemons.addresses() {
		daemon := daemons.daemon(address)
		assert.Equal(t, len(daemon.options.Pool.Backends()), 2, address)
		if regionOf(address) == "1" {
			assert.Assert(t, daemon.ConfirmedAt().Before(began.Add(300*time.Millisecond)), "%s confirms what it can't know", address)
		} else {
			assert.Assert(t, time.Since(daemon.ConfirmedAt()) < time.Second, address)
		}
	}
	daemons.mutex.Lock()
	cut, daemons.blocks = false, nil
	daemons.mutex.Unlock()
	daemons.waitForAll(t, 8, 3*time.Second)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, address := range daemons.addresses() {
			if time.Since(daemons.daemon(address).ConfirmedAt()) > time.Second {
				return poll.Continue("%s confirms nothing", address)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
}
