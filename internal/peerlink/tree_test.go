package peerlink

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/freeport/freeporttest"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/presence"
)

// TestTreeReachesEachDaemonOnce follows a datagram down its tree: each daemon gets it once,
// in few steps, and none sends to more than a few.
func TestTreeReachesEachDaemonOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 400).Draw(t, "daemons")
		number := rapid.Uint64().Draw(t, "number")
		var daemons []string
		for index := range count {
			daemons = append(daemons, fmt.Sprintf("10.0.%d.%d:7340", index/250, index%250))
		}
		origin := rapid.SampledFrom(daemons).Draw(t, "origin")
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 10), count, count).Draw(t, "weights")
		capacity := func(address string) float64 { return weights[slices.Index(daemons, address)] }
		steps := map[string]int{origin: 0}
		for waiting := []string{origin}; len(waiting) > 0; waiting = waiting[1:] {
			others := without(daemons, waiting[0])
			tree := NewTree(New(waiting[0], logging.Discard()), Topology{Others: func() []string { return others }, Capacity: capacity}, nil)
			sent := tree.below(forwarded{number: number, origin: origin, root: origin})
			assert.Assert(t, len(sent) <= treeWidth)
			for _, address := range sent {
				_, again := steps[address]
				assert.Assert(t, !again, "%s gets it twice", address)
				steps[address] = steps[waiting[0]] + 1
				waiting = append(waiting, address)
			}
		}
		assert.Equal(t, len(steps), count)
		for address, taken := range steps {
			assert.Assert(t, taken <= 3, "%s after %d steps", address, taken)
		}
	})
}

// TestTreeOfZonesCrossesEachBorderOnce follows a datagram down the trees of some zones: each daemon gets it once, in few
// steps, and each other zone gets one copy from elsewhere.
func TestTreeOfZonesCrossesEachBorderOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, zones := rapid.IntRange(1, 400).Draw(t, "daemons"), rapid.IntRange(1, 6).Draw(t, "zones")
		number := rapid.Uint64().Draw(t, "number")
		daemons, zoneOf, inUse := make([]string, count), map[string]identity.Zone{}, map[identity.Zone]bool{}
		for index := range daemons {
			daemons[index] = fmt.Sprintf("10.0.%d.%d:7340", index/250, index%250)
			zoneOf[daemons[index]] = identity.Zone(fmt.Sprint("z", rapid.IntRange(1, zones).Draw(t, "zone")))
			inUse[zoneOf[daemons[index]]] = true
		}
		origin := rapid.SampledFrom(daemons).Draw(t, "origin")
		steps, crossed := map[string]int{origin: 0}, 0
		for waiting := []string{origin}; len(waiting) > 0; waiting = waiting[1:] {
			others := without(daemons, waiting[0])
			tree := NewTree(New(waiting[0], logging.Discard()), Topology{
				Others: func() []string { return others }, Zone: func(address string) identity.Zone { return zoneOf[address] },
			}, nil)
			sent := tree.below(forwarded{number: number, shape: shapeZones, origin: origin, root: origin})
			assert.Assert(t, len(sent) <= treeWidth+zones-1)
			for _, address := range sent {
				_, again := steps[address]
				assert.Assert(t, !again, "%s gets it twice", address)
				steps[address] = steps[waiting[0]] + 1
				if zoneOf[address] != zoneOf[waiting[0]] {
					crossed++
				}
				waiting = append(waiting, address)
			}
		}
		assert.Equal(t, len(steps), count)
		assert.Equal(t, crossed, len(inUse)-1)
		for address, taken := range steps {
			assert.Assert(t, taken <= 4, "%s after %d steps", address, taken)
		}
	})
}

// newCrossing makes a crossing of a daemon that knows one region.
func newCrossing(carrier Carrier) *Crossing {
	return NewCrossing(carrier, Topology{Others: func() []string { return nil }}, presence.NewUnresponsive(presence.New()))
}

func without(addresses []string, address string) []string {
	var others []string
	for _, each := range addresses {
		if each != address {
			others = append(others, each)
		}
	}
	return others
}

// TestMalformedForwardsAreDropped takes any bytes as a datagram.
func TestMalformedForwardsAreDropped(t *testing.T) {
	link := New("127.0.0.1:1", logging.Discard())
	tree := NewTree(link, Topology{Others: func() []string { return nil }}, newCrossing(link))
	rapid.Check(t, func(t *rapid.T) {
		tree.receive("127.0.0.1:2", rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "body"))
		for len(tree.waiting) > 0 {
			tree.forward(<-tree.waiting)
		}
	})
}

// TestForwardedComesFromItsOrigin sends a body over a daemon between.
func TestForwardedComesFromItsOrigin(t *testing.T) {
	addresses := make([]string, treeWidth+2)
	for index := range addresses {
		addresses[index] = freeporttest.Address(t)
	}
	type heard struct{ at, from string }
	got := make(chan heard, 4*len(addresses))
	var trees []*Tree
	for _, address := range addresses {
		link := New(address, logging.Discard())
		HandleDecoded(link, KindPlan, func(from string, body greeting) {
			if body.Text == "hello" {
				got <- heard{at: address, from: from}
			}
		})
		tree := NewTree(link, Topology{Others: func() []string { return without(addresses, address) }}, newCrossing(link))
		run(t, link)
		go func() { _ = tree.Run(t.Context()) }()
		trees = append(trees, tree)
	}
	reached := map[string]bool{}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		trees[0].Tell(KindPlan, greeting{Text: "hello"})
		for len(got) > 0 {
			one := <-got
			reached[one.at] = true
			assert.Equal(t, one.from, addresses[0])
		}
		if len(reached) == len(addresses)-1 {
			return poll.Success()
		}
		return poll.Continue("%d daemons heard it", len(reached))
	})
}
