package peerlink_test

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
	"github.com/lotusward/lotusward/internal/presence"
)

// wayBetweenRegions is how long a datagram takes over a border.
const wayBetweenRegions = 20 * time.Millisecond

// regions are daemons of several regions on one network. The region of a daemon is what its
// address begins with.
type regions struct {
	network      *peerlinktest.Network
	addresses    []string
	nodes        map[string]*peerlinktest.Node
	trees        map[string]*peerlink.Tree
	broadcasters map[string]*peerlink.Broadcaster

	mutex sync.Mutex
	// heard is how often a daemon heard a text, and crossings how many datagrams of a kind were
	// sent over a border.
	heard     map[string]map[string]int
	crossings map[peerlink.Kind]int
	// roots are the daemons that got datagrams over a border.
	roots map[string]int
}

func regionOf(address string) identity.Region {
	name, _, _ := strings.Cut(address, "-")
	return identity.Region(name)
}

// large tells whether a daemon's machine has nine times the room of the others'.
func large(address string) bool {
	return strings.HasSuffix(address, "-0") || strings.HasSuffix(address, "-1")
}

// newRegions makes daemons, some for each region, that run until the test ends.
func newRegions(t *testing.T, seed uint64, counts ...int) *regions {
	t.Helper()
	made := &regions{
		network: peerlinktest.NewNetwork(seed), nodes: map[string]*peerlinktest.Node{},
		trees: map[string]*peerlink.Tree{}, broadcasters: map[string]*peerlink.Broadcaster{},
	}
	made.forget()
	for region, count := range counts {
		for index := range count {
			made.addresses = append(made.addresses, fmt.Sprintf("r%d-%d", region, index))
		}
	}
	made.network.SetWay(func(from, to string) time.Duration {
		if regionOf(from) != regionOf(to) {
			return wayBetweenRegions
		}
		return peerlinktest.Delay
	})
	made.network.Observe(made.observe)
	for _, address := range made.addresses {
		made.add(t, address)
	}
	return made
}

func (r *regions) add(t *testing.T, address string) {
	node := r.network.Add(address)
	list := presence.New()
	node.Observe(func(from string) { list.Heard(from, clock.Now()) })
	topology := peerlink.Topology{
		Others: func() []string {
			var others []string
			for _, other := range r.addresses {
				if other != address {
					others = append(others, other)
				}
			}
			return others
		},
		Region: regionOf,
		Capacity: func(address string) float64 {
			if large(address) {
				return 9
			}
			return 1
		},
	}
	peerlink.HandleDecoded(node, peerlink.KindPlan, func(from string, text string) { r.note(address, from+" "+text) })
	crossing := peerlink.NewCrossing(node, topology, presence.NewUnresponsive(list))
	tree, broadcaster := peerlink.NewTree(node, topology, crossing), peerlink.NewBroadcaster(node, topology, crossing)
	r.nodes[address], r.trees[address], r.broadcasters[address] = node, tree, broadcaster
	go func() { _ = tree.Run(t.Context()) }()
	go func() { _ = broadcaster.Run(t.Context()) }()
}

func (r *regions) observe(from, to string, datagram []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if regionOf(from) == regionOf(to) {
		return
	}
	kind := peerlink.KindOf(datagram)
	r.crossings[kind]++
	if kind == peerlink.KindPlan {
		r.roots[to]++
	}
}

func (r *regions) note(address, text string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.heard[address] == nil {
		r.heard[address] = map[string]int{}
	}
	r.heard[address][text]++
}

// forget drops what was counted.
func (r *regions) forget() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.heard, r.crossings, r.roots = map[string]map[string]int{}, map[peerlink.Kind]int{}, map[string]int{}
}

// crossed returns how many datagrams of each kind were sent over a border, and which daemons got
// what was told.
func (r *regions) crossed() (map[peerlink.Kind]int, map[string]int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.crossings), maps.Clone(r.roots)
}

// count is how often a daemon heard a text of another one.
func (r *regions) count(address, from, text string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.heard[address][from+" "+text]
}

// bubble runs a test in the time of a bubble.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

// TestDatagramCrossesEachBorderOnce has each daemon hear what one tells, once, as from it; over
// each border goes one datagram, and one that says that it came.
func TestDatagramCrossesEachBorderOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		world := newRegions(t, 1, 25, 3, 40)
		tell := map[string]func(string){
			"tree":      func(text string) { world.trees["r0-3"].Tell(peerlink.KindPlan, text) },
			"broadcast": func(text string) { world.broadcasters["r0-3"].Tell(peerlink.KindPlan, text) },
		}
		for name, say := range tell {
			world.forget()
			say(name)
			time.Sleep(time.Second)
			for _, address := range world.addresses {
				if address != "r0-3" {
					assert.Equal(t, world.count(address, "r0-3", name), 1, "%s at %s", name, address)
				}
			}
			crossings, _ := world.crossed()
			assert.DeepEqual(t, crossings, map[peerlink.Kind]int{peerlink.KindPlan: 2, peerlink.KindTaken: 2})
		}
	})
}

// TestGoneDaemonDoesntCutItsRegion reaches all daemons that are left, once, within the time of two
// answers, whoever is gone of each region's large machines, and repeats go other ways.
func TestGoneDaemonDoesntCutItsRegion(t *testing.T) {
	bubble(t, func(t *testing.T) {
		world := newRegions(t, 2, 6, 12)
		gone := map[string]bool{"r1-0": true, "r1-1": true}
		for address := range gone {
			world.nodes[address].SetDown(true)
		}
		for round := range 10 {
			world.forget()
			text := fmt.Sprint("round ", round)
			world.broadcasters["r0-0"].Tell(peerlink.KindPlan, text)
			time.Sleep(2*150*time.Millisecond + 2*wayBetweenRegions)
			for _, address := range world.addresses {
				if address != "r0-0" && !gone[address] {
					assert.Equal(t, world.count(address, "r0-0", text), 1, "%s at %s", text, address)
				}
			}
			time.Sleep(time.Second)
		}
	})
}

// TestLostDatagramsCrossAgain loses a fifth of all datagrams: each region still gets nearly all
// that is told.
func TestLostDatagramsCrossAgain(t *testing.T) {
	bubble(t, func(t *testing.T) {
		world := newRegions(t, 3, 2, 2)
		world.network.Lose(0.2)
		const told = 2000
		reached := 0
		for round := range told {
			text := fmt.Sprint("round ", round)
			world.trees["r0-0"].Tell(peerlink.KindPlan, text)
			time.Sleep(time.Second)
			if world.count("r1-0", "r0-0", text)+world.count("r1-1", "r0-0", text) > 0 {
				reached++
			}
		}
		assert.Assert(t, reached >= told*98/100, "%d of %d", reached, told)
	})
}

// TestCrossingsSpreadOverRoom gives the spreading in a region to one daemon after the other, and
// mostly to those with room.
func TestCrossingsSpreadOverRoom(t *testing.T) {
	bubble(t, func(t *testing.T) {
		world := newRegions(t, 4, 1, 12)
		const told = 200
		for range told {
			world.trees["r0-0"].Tell(peerlink.KindPlan, "again")
			time.Sleep(100 * time.Millisecond)
		}
		_, roots := world.crossed()
		atLarge := roots["r1-0"] + roots["r1-1"]
		assert.Assert(t, len(roots) >= 8, "%v", roots)
		// Two of nine times the room among ten others have 18 of 28 parts.
		assert.Assert(t, atLarge > told*18/28*8/10 && atLarge < told*18/28*12/10, "%v", roots)
	})
}

// TestCutRegionCostsLittle sends a region that can't be reached a few datagrams for each that is
// told, and tells it again as soon as the cut has healed.
func TestCutRegionCostsLittle(t *testing.T) {
	bubble(t, func(t *testing.T) {
		world := newRegions(t, 5, 3, 3)
		world.network.Block(func(from, to string) bool { return regionOf(from) != regionOf(to) })
		const told = 20
		for range told {
			world.broadcasters["r0-0"].Tell(peerlink.KindPlan, "cut")
			time.Sleep(time.Second)
		}
		crossings, _ := world.crossed()
		assert.Assert(t, crossings[peerlink.KindPlan] <= 3*told)
		assert.Equal(t, world.count("r0-1", "r0-0", "cut"), told)
		world.network.Block(nil)
		world.broadcasters["r0-0"].Tell(peerlink.KindPlan, "healed")
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, world.count("r1-1", "r0-0", "healed"), 1)
	})
}

// TestOneWayCutStillTells tells a region whose answers are lost.
func TestOneWayCutStillTells(t *testing.T) {
	bubble(t, func(t *testing.T) {
		world := newRegions(t, 6, 3, 3)
		world.network.Block(func(from, to string) bool { return regionOf(from) == "r1" && regionOf(to) == "r0" })
		world.broadcasters["r0-0"].Tell(peerlink.KindPlan, "one way")
		time.Sleep(time.Second)
		for _, address := range []string{"r1-0", "r1-1", "r1-2"} {
			assert.Assert(t, world.count(address, "r0-0", "one way") >= 1, address)
		}
	})
}

// TestRegionsOfAnySizeAreReached tells by a tree among regions of any sizes.
func TestRegionsOfAnySizeAreReached(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		counts := rapid.SliceOfN(rapid.IntRange(1, 45), 1, 4).Draw(rapidT, "sizes")
		seed := rapid.Uint64().Draw(rapidT, "seed")
		bubble(t, func(t *testing.T) {
			world := newRegions(t, seed, counts...)
			origin := world.addresses[seed%uint64(len(world.addresses))]
			world.trees[origin].Tell(peerlink.KindPlan, "all")
			time.Sleep(time.Second)
			for _, address := range world.addresses {
				if address != origin {
					assert.Equal(t, world.count(address, origin, "all"), 1, address)
				}
			}
		})
	})
}
