// Package regionchoice chooses the region that serves a request by comparing the cost of prompt
// processing, queueing and cross-region transfer. It performs no I/O and reads no clock.
package regionchoice

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// Costs, in units of the time a backend takes to process one prompt token, 25 us.
const (
	// crossRegionCost is the cost of a round trip to another region, including the query for its
	// current load: 80 ms.
	crossRegionCost = 3200
	// rereadFactor is the cost of processing a token here that another region has cached, since it
	// takes capacity from tokens that no region has cached.
	rereadFactor = 2
)

// Region is the known state of a region.
type Region struct {
	backendpool.RegionCapacity
	// Local is set for the daemon's own region.
	Local bool
	// Known is set if the region has reported its capacity.
	Known bool
	// ReportedAt is when the region reported its capacity. DaemonsOutside is the number of daemons in
	// other regions.
	ReportedAt     time.Time
	DaemonsOutside int
	// UncachedTokens is the number of the request's shared prompt tokens that no backend in the region
	// has cached.
	UncachedTokens int
	// Free is the number of further requests of this size that the region can accept.
	Free float64
}

// minimumCost is the cost of a request in the region if nothing else is in flight there.
func (r Region) minimumCost() float64 {
	cost := rereadFactor * float64(r.UncachedTokens)
	if !r.Local {
		cost += crossRegionCost
	}
	return cost
}

// cost is the cost of a request in the region: the minimum plus the mean load in flight per
// backend.
func (r Region) cost() float64 {
	if r.Backends == 0 {
		return r.minimumCost()
	}
	return r.minimumCost() + (r.Reading+backendpool.RequestCost*r.InFlight)/r.Backends
}

// LocalIsCheapest reports whether no other region can be cheaper than the local one, whatever the
// load there.
func LocalIsCheapest(regions []Region) bool {
	at := slices.IndexFunc(regions, func(region Region) bool { return region.Local })
	return at >= 0 && !slices.ContainsFunc(regions, func(other Region) bool { return other.minimumCost() < regions[at].cost() })
}

// Order returns the regions that may serve a request, the best first. Remote regions are included
// only if they have reported free capacity, or if there is no local region. For a request that no
// limit holds back, a full local region comes last.
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

// isFull reports whether the region has reported that it has no free capacity.
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
