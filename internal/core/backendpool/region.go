package backendpool

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// RegionCapacity sums the capacity and load of a service's available back ends in one region, as far as this daemon
// knows.
type RegionCapacity struct {
	Region identity.Region
	// Backends is the number of back ends, and Slots the total number of requests that they accept.
	Backends, Slots float64
	// InFlight, Reading and Tokens are as in Load.
	InFlight, Reading, Tokens float64
}

// unboundedSlots is the assumed number of slots of a back end that reports none.
const unboundedSlots = 1 << 16

// Free estimates how many more requests with a number of tokens the back ends accept within limits.
func (r RegionCapacity) Free(limits Limits, tokens int) float64 {
	free, size := r.Slots-r.InFlight, float64(max(tokens, 1))
	if limits.Tokens > 0 {
		free = min(free, (r.Backends*limits.Tokens-r.Tokens)/size)
	}
	if limits.Reading > 0 && r.Backends > 0 { // a back end accepts requests until it reaches the limit
		free = min(free, r.Backends*math.Ceil((limits.Reading-r.Reading/r.Backends)/size))
	}
	return max(free, 0)
}

// SetDistances sets the map of zones to regions. It must be called before the pool is used.
func (p *Pool) SetDistances(distances distance.Map) {
	p.distances = distances
	p.region = distances.Region(p.zone)
	clear(p.byRegion)
	clear(p.services)
	p.group(slices.Collect(maps.Values(p.byID)))
}

// Distances returns the map of zones to regions.
func (p *Pool) Distances() distance.Map { return p.distances }

// HasSeveralRegions reports whether there is more than one region.
func (p *Pool) HasSeveralRegions() bool { return p.distances.HasSeveralRegions() }

// Region returns the daemon's own region; empty if unknown.
func (p *Pool) Region() identity.Region { return p.region }

// RegionOf returns the region of a zone. An unknown zone counts as in the daemon's own region, as it does in
// distances.
func (p *Pool) RegionOf(zone identity.Zone) identity.Region {
	return cmp.Or(p.distances.Region(zone), p.region)
}

// Zone returns the zone of a back end, by the hash of its ID; false if it is not listed.
func (p *Pool) Zone(key uint64) (identity.Zone, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byKey[key]
	if found == nil {
		return "", false
	}
	return found.backend.Zone, true
}

// RegionCapacities returns the capacity of a service in each region, in no particular order.
func (p *Pool) RegionCapacities(now time.Time, service identity.ServiceName) []RegionCapacity {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var rooms []RegionCapacity
	for _, found := range p.entriesOf(service) {
		if !found.listed() || found.backsOff(now) || found.isLimited() || p.refuses(now, found, false) || found.ejected(now) || found.leaving == leavesNow {
			continue
		}
		region := p.RegionOf(found.backend.Zone)
		at := slices.IndexFunc(rooms, func(room RegionCapacity) bool { return room.Region == region })
		if at < 0 {
			at, rooms = len(rooms), append(rooms, RegionCapacity{Region: region})
		}
		rooms[at].add(found)
	}
	return rooms
}

func (r *RegionCapacity) add(found *entry) {
	r.Backends++
	if found.backend.Slots == 0 {
		r.Slots += unboundedSlots
	}
	r.Slots += float64(found.backend.Slots)
	r.InFlight += float64(found.inFlight) + found.others.InFlight
	r.Reading += found.reading + found.others.Reading
	r.Tokens += float64(found.tokens) + found.others.Tokens
}

// listed returns the back ends of a query's service, limited to the query's region if it has one. The caller holds
// the mutex.
func (p *Pool) listed(query Query) *group {
	if query.Region == "" {
		return p.services[query.Service]
	}
	return p.byRegion[regionKey{query.Service, query.Region}]
}

// entriesOf returns the back ends of a service, ordered by ID. The caller holds the mutex.
func (p *Pool) entriesOf(service identity.ServiceName) []*entry {
	if grp := p.services[service]; grp != nil {
		return grp.entries
	}
	return nil
}

// regionKey identifies the back ends of a service in a region.
type regionKey struct {
	service identity.ServiceName
	region  identity.Region
}

// withRegionalCache returns a query that counts prefixes as cached only in its own region, if it has one and
// transfers between regions take longer than prefill.
func (p *Pool) withRegionalCache(query Query) Query {
	lookup := query.Cached
	if lookup == nil || query.Region == "" || query.FastCrossRegionMoves {
		return query
	}
	query.cachedEverywhere = lookup
	query.Cached = func(version uint64) Cached { return p.inRegionOnly(lookup(version), query.Region) }
	return query
}

// inRegionOnly drops the holders in other regions. The caller holds the mutex.
func (p *Pool) inRegionOnly(cached Cached, region identity.Region) Cached {
	elsewhere := func(key uint64) bool {
		found := p.byKey[key]
		return found == nil || p.RegionOf(found.backend.Zone) != region
	}
	found := slices.Clone(cached)
	for index := range found {
		level := &found[index]
		level.Read = slices.DeleteFunc(slices.Clone(level.Read), elsewhere)
		level.Reading = slices.DeleteFunc(slices.Clone(level.Reading), elsewhere)
	}
	return found
}

// RegionUncached is the number of a query's shared tokens that no back end of a region has cached or is about to.
type RegionUncached struct {
	Region identity.Region
	Tokens int
}

// UncachedByRegion returns the uncached tokens of each region with back ends that may serve the query, in no
// particular order.
func (p *Pool) UncachedByRegion(now time.Time, query Query) []RegionUncached {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	query = query.memoized()
	var found []RegionUncached
	for key, grp := range p.byRegion {
		if key.service != query.Service {
			continue
		}
		if uncached, some := p.uncached(now, query, grp.entries); some {
			found = append(found, RegionUncached{Region: key.region, Tokens: uncached})
		}
	}
	return found
}

// uncached returns how many of a query's shared tokens none of the given back ends of one region has; false if none
// of them may serve the request. The caller holds the mutex.
func (p *Pool) uncached(now time.Time, query Query, list []*entry) (int, bool) {
	least, some := query.SharedTokens, false
	for _, candidate := range list {
		if !allowed(now, candidate, query) || candidate.ejected(now) || candidate.leaving == leavesNow {
			continue
		}
		some = true
		if query.SharedTokens > 0 {
			held := query.cached(candidate.version(query.Model)).held(candidate.key)
			least = min(least, query.SharedTokens-held)
		}
	}
	return least, some
}

// SampleRegion returns the hashes of the IDs of random back ends of a region.
func (p *Pool) SampleRegion(region identity.Region, count int) []uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var all []*entry
	for key, grp := range p.byRegion {
		if key.region == region {
			all = append(all, grp.entries...)
		}
	}
	sampled := sampleOf(all, count)
	keys := make([]uint64, len(sampled))
	for index, found := range sampled {
		keys[index] = found.key
	}
	return keys
}

// Services returns the names of the services that have back ends, in order.
func (p *Pool) Services() []identity.ServiceName {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Sorted(maps.Keys(p.services))
}
