// Package regionchoice chooses the region that serves a request by comparing the cost of prompt
// processing, queueing and the round trip to another region. It performs no I/O and reads no clock.
package regionchoice

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// Costs, in units of the time a back end takes to process one prompt token, 25 us.
const (
	// crossRegionCost is the cost of a round trip to another region, including the request for the
	// current load of back ends there: 80 ms.
	crossRegionCost = 3200
	// recomputeFactor is the cost of processing one uncached prompt token in a region. It is 2 rather
	// than 1 because processing a token that another region has cached uses capacity that is needed
	// for tokens that no region has cached. Tokens that no region has cached cost the same everywhere,
	// so they don't affect the choice.
	recomputeFactor = 2
)

// Region is the known state of a region.
type Region struct {
	backendpool.RegionCapacity
	// Local is set for the daemon's own region.
	Local bool
	// Known is set if the region's capacity is known, from its report or from this daemon's own view.
	Known bool
	// ReportedAt is when the region reported its capacity. It is the time of the call if the capacity
	// was computed from this daemon's own view, and unset for the local region.
	ReportedAt time.Time
	// DaemonsOutside is the number of daemons outside this region, which share its free capacity (type
	// Credit); the number of all daemons if the region didn't report its capacity. It is unset for the
	// local region.
	DaemonsOutside int
	// UncachedTokens is the number of the request's prompt tokens shared with other requests that no
	// back end in the region has cached or is about to compute.
	UncachedTokens int
	// Free is the number of further requests of the request's size that the region can accept.
	Free float64
}

// minimumCost is the cost of a request in the region if nothing else is in flight there.
func (r Region) minimumCost() float64 {
	cost := recomputeFactor * float64(r.UncachedTokens)
	if !r.Local {
		cost += crossRegionCost
	}
	return cost
}

// cost is the cost of a request in the region: the minimum plus the mean load in flight per back
// end. A region without usable back ends, or whose load is unknown, counts as having no load.
func (r Region) cost() float64 {
	if r.Backends == 0 {
		return r.minimumCost()
	}
	return r.minimumCost() + (r.Reading+backendpool.RequestCost*r.InFlight)/r.Backends
}

// LocalIsCheapest reports whether no region could be cheaper without load than the local one is with
// its current load. The local region itself is among those compared, so the result is true only if
// it has no load, or no usable back ends. It is false if there is no local region.
func LocalIsCheapest(regions []Region) bool {
	at := slices.IndexFunc(regions, func(region Region) bool { return region.Local })
	return at >= 0 && !slices.ContainsFunc(regions, func(other Region) bool { return other.minimumCost() < regions[at].cost() })
}

// Order returns the regions that may serve a request, by ascending cost, then descending free
// capacity, then name. Remote regions are included only if they are known to have free capacity, or
// if there is no local region. limited is set if the request has load limits (backendpool.Limits).
// If it isn't set, full regions come last.
func Order(regions []Region, limited bool) []Region {
	hasLocal := slices.ContainsFunc(regions, func(region Region) bool { return region.Local })
	var found []Region
	for _, region := range regions {
		if region.Local || !hasLocal || (region.Known && region.Free > 0) {
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

// isFull reports whether the region is known to have no free capacity.
func (r Region) isFull() bool { return r.Known && r.Free == 0 }

// boolCompare orders false before true.
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
