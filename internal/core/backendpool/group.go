package backendpool

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

const (
	// ringProbes is how many places of a ring a prompt looks at for its home, the nearest back end of which is it. With
	// 21 no back end is home of more than 1.05 times the mean share, with one place each ("Multi-probe consistent
	// hashing", Appleton and O'Reilly, 2015).
	ringProbes = 21
	// ringWalk bounds how many back ends that will not do are passed over at each place.
	ringWalk = 64
	// ringSeed places back ends on rings.
	ringSeed = 0x6c6f747573
	// singleInsertions is up to how many back ends are put in one by one; more are sorted in.
	singleInsertions = 32
)

// probeNames are hashed with a prompt for its places.
var probeNames = func() (names [ringProbes]string) {
	for index := range names {
		names[index] = strconv.Itoa(index)
	}
	return names
}()

// group is the back ends of a service, or those of one region. What it is asked for takes the same however many they
// are, but for a factor that grows as their logarithm; one that comes or goes moves the pointers behind it.
type group struct {
	// entries are ordered by ID.
	entries []*entry
	// ring are the same by their places on it, for homes of prompts.
	ring []ringPlace
}

// ringPlace is a back end at its place on a ring. The place stands beside it, since looking for one compares many.
type ringPlace struct {
	place uint64
	entry *entry
}

func placeOf(each *entry) ringPlace { return ringPlace{each.place, each} }

func byID(left, right *entry) int { return cmp.Compare(left.backend.ID, right.backend.ID) }

func byPlace(left, right ringPlace) int {
	if left.place != right.place {
		return cmp.Compare(left.place, right.place)
	}
	return byID(left.entry, right.entry)
}

// add puts back ends in that are not there.
func (g *group) add(added []*entry) {
	if len(added) > singleInsertions {
		g.entries = append(g.entries, added...)
		for _, each := range added {
			g.ring = append(g.ring, placeOf(each))
		}
		slices.SortFunc(g.entries, byID)
		slices.SortFunc(g.ring, byPlace)
		return
	}
	for _, each := range added {
		g.entries = insert(g.entries, each, byID)
		g.ring = insert(g.ring, placeOf(each), byPlace)
	}
}

func insert[Element any](list []Element, added Element, order func(left, right Element) int) []Element {
	at, _ := slices.BinarySearchFunc(list, added, order)
	return slices.Insert(list, at, added)
}

// remove takes back ends out.
func (g *group) remove(gone map[*entry]bool) {
	if len(gone) > singleInsertions {
		g.entries = slices.DeleteFunc(g.entries, func(each *entry) bool { return gone[each] })
		g.ring = slices.DeleteFunc(g.ring, func(each ringPlace) bool { return gone[each.entry] })
		return
	}
	for each := range gone {
		g.entries, g.ring = without(g.entries, each, byID), without(g.ring, placeOf(each), byPlace)
	}
}

func without[Element any](list []Element, gone Element, order func(left, right Element) int) []Element {
	at, found := slices.BinarySearchFunc(list, gone, order)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}

// home is the back end that is home of a prompt among those that will do; nil where none does. All who list the same
// back ends find the same one, and one that comes or goes changes the homes of its own prompts alone.
func (g *group) home(key uint64, willDo func(*entry) bool) *entry {
	var best *entry
	least := uint64(math.MaxUint64)
	for _, name := range probeNames {
		place := rendezvous.Score(key, name)
		if found := g.next(place, willDo); found != nil && found.place-place <= least {
			best, least = found, found.place-place // on from the end of the ring is its begin: differences wrap as well
		}
	}
	return best
}

// next is the first back end from a place on that will do; nil where none does within ringWalk.
func (g *group) next(place uint64, willDo func(*entry) bool) *entry {
	at, _ := slices.BinarySearchFunc(g.ring, place, func(each ringPlace, place uint64) int { return cmp.Compare(each.place, place) })
	for step := range min(ringWalk, len(g.ring)) {
		if found := g.ring[(at+step)%len(g.ring)].entry; willDo(found) {
			return found
		}
	}
	return nil
}
