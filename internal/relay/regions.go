package relay

import (
	"context"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/regionchoice"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/roomshare"
)

// Rooms provides the free capacity of other regions.
type Rooms interface {
	// Rooms returns the capacity of a service in each reachable other region. It may query other
	// daemons.
	Rooms(ctx context.Context, service identity.ServiceName) []roomshare.CapacityReport
}

// tryRegions reserves a slot at a backend in the region with the lowest cost. If that can only be
// the daemon's own region, other regions are considered only after it has no free slot.
func (r *run) tryRegions(ctx context.Context, query backendpool.Query) *backendpool.Ticket {
	regions := r.regions(query)
	if len(regions) == 0 { // an ejected backend is better than none
		return r.tryBackends(ctx, query)
	}
	limited := query.Limits != (backendpool.Limits{})
	triedOwn := limited && regionchoice.LocalIsCheapest(regions)
	if triedOwn {
		if ticket := r.tryBackends(ctx, r.inRegion(query, r.relay.options.Pool.Region())); ticket != nil {
			return ticket
		}
	}
	ordered := regionchoice.Order(r.withRemoteRooms(ctx, query, regions), limited)
	if !slices.ContainsFunc(ordered, func(region regionchoice.Region) bool { return region.Local }) {
		return r.tryRemoteRegions(ctx, query, ordered)
	}
	return r.tryInOrder(ctx, query, ordered, triedOwn)
}

// tryInOrder reserves a slot in the first of the given regions that has one. The own region is
// among them; triedOwn is set if it has just been tried without success. If no region has a slot,
// the own region's shortage is the one reported.
func (r *run) tryInOrder(ctx context.Context, query backendpool.Query, ordered []regionchoice.Region, triedOwn bool) *backendpool.Ticket {
	shortage := r.shortage
	for _, region := range ordered {
		if (triedOwn && region.Local) || !r.relay.takeRegionCredit(query, region) {
			continue
		}
		if ticket := r.tryBackends(ctx, r.inRegion(query, region.Region)); ticket != nil {
			return ticket
		}
		if region.Local {
			shortage = r.shortage
		}
	}
	r.shortage = shortage
	return nil
}

// tryRemoteRegions reserves a slot in another region for a request that has no eligible backend in
// the own region. Regions with reported capacity of which this daemon's share is not used up come
// first. The others are tried afterwards: their reports may be outdated, and there is nothing to
// wait for in the own region.
func (r *run) tryRemoteRegions(ctx context.Context, query backendpool.Query, regions []regionchoice.Region) *backendpool.Ticket {
	var overShare []regionchoice.Region
	var shortage backendpool.Shortage
	try := func(region regionchoice.Region) *backendpool.Ticket {
		ticket := r.tryBackends(ctx, r.inRegion(query, region.Region))
		if ticket == nil {
			shortage = shortage.Add(r.shortage)
		}
		return ticket
	}
	for _, region := range regions {
		if !r.relay.takeRegionCredit(query, region) {
			overShare = append(overShare, region)
			continue
		}
		if ticket := try(region); ticket != nil {
			return ticket
		}
	}
	for _, region := range overShare {
		if ticket := try(region); ticket != nil {
			return ticket
		}
	}
	r.shortage = shortage
	return nil
}

// tryOtherRegions reserves a slot in another region for a request that the own region can't serve
// in time.
func (r *run) tryOtherRegions(ctx context.Context, limits backendpool.Limits) *backendpool.Ticket {
	if !r.relay.options.Pool.HasSeveralRegions() || !r.ensureChoice() {
		return nil
	}
	query := r.relay.query(r.admitted, r.excluded)
	query.Limits = limits
	r.restrictQuery(&query)
	for _, region := range regionchoice.Order(r.withRemoteRooms(ctx, query, r.regions(query)), true) {
		if region.Local || !r.relay.takeRegionCredit(query, region) {
			continue
		}
		if ticket := r.tryBackends(ctx, r.inRegion(query, region.Region)); ticket != nil {
			return ticket
		}
	}
	return nil
}

// takeRegionCredit takes one request from this daemon's share of another region's capacity. It
// returns true for the own region and for regions whose capacity is unknown.
func (r *Relay) takeRegionCredit(query backendpool.Query, region regionchoice.Region) bool {
	return region.Local || !region.Known || r.credit.Take(query.Service, region.Region, region.ReportedAt, region.Free, region.DaemonsOutside)
}

// regions returns the regions with backends that match the query. Only the own region's capacity
// is filled in.
func (r *run) regions(query backendpool.Query) []regionchoice.Region {
	pool := r.relay.options.Pool
	var found []regionchoice.Region
	rooms := pool.RegionCapacities(r.now(), query.Service)
	for _, lacking := range pool.UncachedByRegion(r.now(), query) {
		region := regionchoice.Region{RegionCapacity: backendpool.RegionCapacity{Region: lacking.Region}, Local: lacking.Region == pool.Region(), UncachedTokens: lacking.Tokens}
		for _, room := range rooms {
			if room.Region == region.Region && region.Local {
				region.RegionCapacity, region.Known = room, true
				region.Free = room.Free(query.Limits, query.SharedTokens+query.OwnTokens)
			}
		}
		found = append(found, region)
	}
	return found
}

// withRemoteRooms fills in the capacity of other regions.
func (r *run) withRemoteRooms(ctx context.Context, query backendpool.Query, regions []regionchoice.Region) []regionchoice.Region {
	if len(regions) < 2 {
		return regions
	}
	reports := r.remoteRooms(ctx, query)
	for index := range regions {
		region := &regions[index]
		for _, room := range reports {
			if room.Region == region.Region && !region.Local {
				region.RegionCapacity, region.Known, region.ReportedAt, region.DaemonsOutside = room.RegionCapacity, true, room.At, room.DaemonsOutside
				region.Free = room.Free(query.Limits, query.SharedTokens+query.OwnTokens)
			}
		}
	}
	return regions
}

// remoteRooms returns the capacity of other regions: as reported by them or, if each daemon knows
// all loads, as computed from this daemon's own view.
func (r *run) remoteRooms(ctx context.Context, query backendpool.Query) []roomshare.CapacityReport {
	options := r.relay.options
	if options.Rooms != nil && options.Loads != nil && options.Loads.Needed() {
		return options.Rooms.Rooms(ctx, query.Service)
	}
	var reports []roomshare.CapacityReport
	for _, room := range options.Pool.RegionCapacities(r.now(), query.Service) {
		reports = append(reports, roomshare.CapacityReport{RegionCapacity: room, At: r.now(), DaemonsOutside: options.Daemons()})
	}
	return reports
}

// inRegion returns the query restricted to the backends of a region.
func (r *run) inRegion(query backendpool.Query, region identity.Region) backendpool.Query {
	query.Region = region
	query.FastCrossRegionMoves = r.relay.crossRegionTransfersPay(r.admitted)
	if query.Cached != nil {
		query.Cached = func(version uint64) backendpool.Cached { return r.relay.cached(r.admitted, version, region) }
	}
	return query
}

// reachableStore returns the store that a prefix is assigned to. It returns nil if there is none,
// or if a transfer from there to the region takes longer than recomputing the prefix.
func (r *Relay) reachableStore(admitted *admission, shared promptPrefix, region identity.Region) *routing.PromptStore {
	store := admitted.state.Table.PromptStore(uint64(shared.key))
	if store == nil || region == "" || !r.options.Pool.HasSeveralRegions() || r.options.Pool.RegionOf(store.Zone) == region {
		return store
	}
	if !r.crossRegionTransfersPay(admitted) {
		return nil
	}
	return store
}

// crossRegionTransfersPay reports whether transferring a token's cache from another region is
// faster than recomputing it. It goes by the link of a store, because the link rates of backends
// are unknown.
func (r *Relay) crossRegionTransfersPay(admitted *admission) bool {
	for _, store := range admitted.state.Table.PromptStores() {
		took := transferTimePerToken(admitted, store)
		return took > 0 && crossRegionFactor*took < prefillTokenTime
	}
	return false
}

// transferTimePerToken returns how long the cache of one token occupies a store's link, or zero if
// unknown.
func transferTimePerToken(admitted *admission, store *routing.PromptStore) time.Duration {
	rate := linkRate(admitted, store)
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}
