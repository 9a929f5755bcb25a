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

// Rooms knows what room other regions have.
type Rooms interface {
	// Rooms returns the rooms that a service has in other regions, of those within reach. It
	// may ask other daemons.
	Rooms(ctx context.Context, service identity.ServiceName) []roomshare.CapacityReport
}

// tryRegions takes a place at a back end of the region where it costs least. Where that can
// only be the own one, others are looked at once it has no place.
func (r *run) tryRegions(ctx context.Context, query backendpool.Query) *backendpool.Ticket {
	regions := r.regions(query)
	if len(regions) == 0 { // a doubted back end is better than none
		return r.tryNear(ctx, query)
	}
	limited := query.Limits != (backendpool.Limits{})
	triedOwn := limited && regionchoice.OwnIsLeast(regions)
	if triedOwn {
		if ticket := r.tryNear(ctx, r.within(query, r.relay.options.Pool.Region())); ticket != nil {
			return ticket
		}
	}
	ordered := regionchoice.Order(r.withRooms(ctx, query, regions), limited)
	if !slices.ContainsFunc(ordered, func(region regionchoice.Region) bool { return region.Own }) {
		return r.tryAway(ctx, query, ordered)
	}
	return r.tryInOrder(ctx, query, ordered, triedOwn)
}

// tryInOrder takes a place in the first of some regions that has one; the own region is among them,
// and triedOwn is set where it had none just now. Where none has, the own region's shortage stays.
func (r *run) tryInOrder(ctx context.Context, query backendpool.Query, ordered []regionchoice.Region, triedOwn bool) *backendpool.Ticket {
	shortage := r.shortage
	for _, region := range ordered {
		if (triedOwn && region.Own) || !r.relay.maySend(query, region) {
			continue
		}
		if ticket := r.tryNear(ctx, r.within(query, region.Region)); ticket != nil {
			return ticket
		}
		if region.Own {
			shortage = r.shortage
		}
	}
	r.shortage = shortage
	return nil
}

// tryAway takes a place in another region for a request for which the own one has no back end.
// Regions of whose told room this daemon has a part left come first. Then the others are tried all
// the same: what they told may be old, and there is nothing at home to wait for.
func (r *run) tryAway(ctx context.Context, query backendpool.Query, regions []regionchoice.Region) *backendpool.Ticket {
	var withoutPart []regionchoice.Region
	var shortage backendpool.Shortage
	try := func(region regionchoice.Region) *backendpool.Ticket {
		ticket := r.tryNear(ctx, r.within(query, region.Region))
		if ticket == nil {
			shortage = shortage.Add(r.shortage)
		}
		return ticket
	}
	for _, region := range regions {
		if !r.relay.maySend(query, region) {
			withoutPart = append(withoutPart, region)
			continue
		}
		if ticket := try(region); ticket != nil {
			return ticket
		}
	}
	for _, region := range withoutPart {
		if ticket := try(region); ticket != nil {
			return ticket
		}
	}
	r.shortage = shortage
	return nil
}

// tryOtherRegions takes a place in another region for a request that its own can't serve in
// time.
func (r *run) tryOtherRegions(ctx context.Context, limits backendpool.Limits) *backendpool.Ticket {
	if !r.relay.options.Pool.HasSeveralRegions() || !r.chooseVersion() {
		return nil
	}
	query := r.relay.query(r.admitted, r.excluded)
	query.Limits = limits
	r.limitQuery(&query)
	for _, region := range regionchoice.Order(r.withRooms(ctx, query, r.regions(query)), true) {
		if region.Own || !r.relay.maySend(query, region) {
			continue
		}
		if ticket := r.tryNear(ctx, r.within(query, region.Region)); ticket != nil {
			return ticket
		}
	}
	return nil
}

// maySend takes this daemon's part of another region's room.
func (r *Relay) maySend(query backendpool.Query, region regionchoice.Region) bool {
	return region.Own || !region.Known || r.credit.Take(query.Service, region.Region, region.ToldAt, region.Free, region.Outside)
}

// regions are the regions whose back ends may get a query's request, without the rooms of
// others.
func (r *run) regions(query backendpool.Query) []regionchoice.Region {
	pool := r.relay.options.Pool
	var found []regionchoice.Region
	rooms := pool.RegionCapacities(r.now(), query.Service)
	for _, lacking := range pool.UncachedByRegion(r.now(), query) {
		region := regionchoice.Region{RegionCapacity: backendpool.RegionCapacity{Region: lacking.Region}, Own: lacking.Region == pool.Region(), Lacking: lacking.Tokens}
		for _, room := range rooms {
			if room.Region == region.Region && region.Own {
				region.RegionCapacity, region.Known = room, true
				region.Free = room.Free(query.Limits, query.SharedTokens+query.OwnTokens)
			}
		}
		found = append(found, region)
	}
	return found
}

// withRooms adds the rooms of other regions.
func (r *run) withRooms(ctx context.Context, query backendpool.Query, regions []regionchoice.Region) []regionchoice.Region {
	if len(regions) < 2 {
		return regions
	}
	told := r.toldRooms(ctx, query)
	for index := range regions {
		region := &regions[index]
		for _, room := range told {
			if room.Region == region.Region && !region.Own {
				region.RegionCapacity, region.Known, region.ToldAt, region.Outside = room.RegionCapacity, true, room.At, room.DaemonsOutside
				region.Free = room.Free(query.Limits, query.SharedTokens+query.OwnTokens)
			}
		}
	}
	return regions
}

// toldRooms are the rooms of other regions: as those told them or, where each daemon knows all
// loads, as this one sums them up.
func (r *run) toldRooms(ctx context.Context, query backendpool.Query) []roomshare.CapacityReport {
	options := r.relay.options
	if options.Rooms != nil && options.Loads != nil && options.Loads.Needed() {
		return options.Rooms.Rooms(ctx, query.Service)
	}
	var told []roomshare.CapacityReport
	for _, room := range options.Pool.RegionCapacities(r.now(), query.Service) {
		told = append(told, roomshare.CapacityReport{RegionCapacity: room, At: r.now(), DaemonsOutside: options.Daemons()})
	}
	return told
}

// within returns a query for the back ends of a region.
func (r *run) within(query backendpool.Query, region identity.Region) backendpool.Query {
	query.Region = region
	query.FastCrossRegionMoves = r.relay.farMoves(r.admitted)
	if query.Cached != nil {
		query.Cached = func(version uint64) backendpool.Cached { return r.relay.cached(r.admitted, version, region) }
	}
	return query
}

// storeNear is the store in which a part belongs; nil where there is none, or where moving the part
// from there to the region takes longer than reading it.
func (r *Relay) storeNear(admitted *admission, shared level, region identity.Region) *routing.PromptStore {
	store := admitted.state.Table.PromptStore(uint64(shared.key))
	if store == nil || region == "" || !r.options.Pool.HasSeveralRegions() || r.options.Pool.RegionOf(store.Zone) == region {
		return store
	}
	if !r.farMoves(admitted) {
		return nil
	}
	return store
}

// farMoves tells whether the cache of a token takes less time from another region than reading
// it, by the link of a store: those of back ends are not told.
func (r *Relay) farMoves(admitted *admission) bool {
	for _, store := range admitted.state.Table.PromptStores() {
		took := moveTime(admitted, store)
		return took > 0 && crossRegionFactor*took < usualTokenTime
	}
	return false
}

// moveTime is how long the cache of a token takes on a store's link; zero is unknown.
func moveTime(admitted *admission, store *routing.PromptStore) time.Duration {
	rate := linkRate(admitted, store)
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}
