// Package regionchoice decides to which region a request goes: it compares what reading and
// waiting cost in each, and what the way costs. It is pure.
package regionchoice

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// Costs. The unit is the time that a back end takes to read one token of a prompt, 25 us.
const (
	// wayCost is the cost of the way to another region and back, with the question what is under
	// way there: 80 ms.
	wayCost = 3200
	// readAgainFactor is the cost of reading a token that another region holds: it takes time
	// from a token that no region holds.
	readAgainFactor = 2
)

// Region is what is known of a region.
type Region struct {
	backendpool.Room
	// Local is set for the daemon's own region.
	Local bool
	// Known is set where the region's room is known.
	Known bool
	// ReportedAt is when the room was told, and Outside how many daemons are outside the region.
	ReportedAt  time.Time
	DaemonsOutside int
	// UncachedTokens is how many of the request's shared tokens no back end there holds.
	UncachedTokens int
	// Free is how many more requests of this size there is room for.
	Free float64
}

// least is what a request costs in the region at least: if nothing is under way there.
func (r Region) least() float64 {
	cost := readAgainFactor * float64(r.UncachedTokens)
	if !r.Local {
		cost += wayCost
	}
	return cost
}

// cost is what a request costs in the region: the least, and the mean of what is under way at a
// back end.
func (r Region) cost() float64 {
	if r.Backends == 0 {
		return r.least()
	}
	return r.least() + (r.Reading+backendpool.RequestCost*r.InFlight)/r.Backends
}

// LocalIsCheapest tells whether no other region can cost less than the own one, however little is
// under way there.
func LocalIsCheapest(regions []Region) bool {
	at := slices.IndexFunc(regions, func(region Region) bool { return region.Local })
	return at >= 0 && !slices.ContainsFunc(regions, func(other Region) bool { return other.least() < regions[at].cost() })
}

// Order returns the regions to which a request may go, the best first. Another region is among
// them only if it is known to have room; where there is no own one, all are. An own one without
// room for a request that no limits hold back is the last.
func Order(regions []Region, limited bool) []Region {
	hasOwn := slices.ContainsFunc(regions, func(region Region) bool { return region.Local })
	var found []Region
	for _, region := range regions {
		if region.Local || !hasOwn || (region.Known && region.Free > 0) {
			found = append(found, region)
		}
	}
	slices.SortStableFunc(found, func(left, right Region) int {
		if !limited && left.isFull() != right.isFull() {
			return boolCompare(left.isFull(), right.isFull())
		}
		return cmp.Or(cmp.Compare(left.cost(), right.cost()), cmp.Compare(right.Free, left.Free), cmp.Compare(left.Region, right.Region))
	})
	return found
}

// isFull tells whether the region is known to have no room.
func (r Region) isFull() bool { return r.Known && r.Free == 0 }

// boolCompare puts false first.
func boolCompare(left, right bool) int {
	switch {
	case left == right:
		return 0
	case right:
		return -1
	default:
		return 1
	}
}
