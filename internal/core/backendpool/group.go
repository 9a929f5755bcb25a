package backendpool

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

const (
	// ringProbes is the number of ring positions probed for a prompt's home, which is the back end nearest after
	// any of them. With 21 probes and one position for each back end, none is home to more than 1.05 times the mean
	// share ("Multi-probe consistent hashing", Appleton and O'Reilly, 2015).
	ringProbes = 21
	// maxRingSteps bounds how many unsuitable back ends are skipped after each position.
	maxRingSteps = 64
	// ringSeed is the hash seed of ring positions.
	ringSeed = 0x6c6f747573
	// maxSingleInsertions is the largest number of back ends that are inserted one by one; more are appended and
	// sorted.
	maxSingleInsertions = 32
)

// probeNames are hashed with a prompt's key for its ring positions.
var probeNames = func() (names [ringProbes]string) {
	for index := range names {
		names[index] = strconv.Itoa(index)
	}
	return names
}()

// group holds the back ends of a service, or those in one region. Lookups take logarithmic time; adding or removing
// a back end also moves the pointers behind it.
type group struct {
	// entries are ordered by ID.
	entries []*entry
	// ring holds the same back ends ordered by ring position, for the homes of prompts.
	ring []ringPosition
}

// ringPosition is a back end and its position on the ring. The position is stored alongside, since a search
// compares many of them.
type ringPosition struct {
	position uint64
	entry    *entry
}

func positionOf(each *entry) ringPosition { return ringPosition{each.position, each} }

func byID(left, right *entry) int { return cmp.Compare(left.backend.ID, right.backend.ID) }

func byPosition(left, right ringPosition) int {
	if left.position != right.position {
		return cmp.Compare(left.position, right.position)
	}
	return byID(left.entry, right.entry)
}

// add inserts back ends that are not in the group.
func (g *group) add(added []*entry) {
	if len(added) > maxSingleInsertions {
		g.entries = append(g.entries, added...)
		for _, each := range added {
			g.ring = append(g.ring, positionOf(each))
		}
		slices.SortFunc(g.entries, byID)
		slices.SortFunc(g.ring, byPosition)
		return
	}
	for _, each := range added {
		g.entries = insertSorted(g.entries, each, byID)
		g.ring = insertSorted(g.ring, positionOf(each), byPosition)
	}
}

func insertSorted[Element any](list []Element, added Element, order func(left, right Element) int) []Element {
	at, _ := slices.BinarySearchFunc(list, added, order)
	return slices.Insert(list, at, added)
}

// remove deletes back ends from the group.
func (g *group) remove(gone map[*entry]bool) {
	if len(gone) > maxSingleInsertions {
		g.entries = slices.DeleteFunc(g.entries, func(each *entry) bool { return gone[each] })
		g.ring = slices.DeleteFunc(g.ring, func(each ringPosition) bool { return gone[each.entry] })
		return
	}
	for each := range gone {
		g.entries, g.ring = removeSorted(g.entries, each, byID), removeSorted(g.ring, positionOf(each), byPosition)
	}
}

func removeSorted[Element any](list []Element, gone Element, order func(left, right Element) int) []Element {
	at, found := slices.BinarySearchFunc(list, gone, order)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}

// home returns the home of a prompt among the suitable back ends, or nil if none is suitable. All daemons with the
// same list find the same home, and a change of one back end moves only its own prompts.
func (g *group) home(key uint64, willDo func(*entry) bool) *entry {
	var best *entry
	least := uint64(math.MaxUint64)
	for _, name := range probeNames {
		position := rendezvous.Score(key, name)
		if found := g.next(position, willDo); found != nil && found.position-position <= least {
			best, least = found, found.position-position // positions and differences wrap around the ring
		}
	}
	return best
}

// next returns the first suitable back end at or after a position; nil if there is none within maxRingSteps.
func (g *group) next(position uint64, willDo func(*entry) bool) *entry {
	at, _ := slices.BinarySearchFunc(g.ring, position, func(each ringPosition, position uint64) int { return cmp.Compare(each.position, position) })
	for step := range min(maxRingSteps, len(g.ring)) {
		if found := g.ring[(at+step)%len(g.ring)].entry; willDo(found) {
			return found
		}
	}
	return nil
}
