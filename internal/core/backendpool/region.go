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

// RegionCapacity sums up what is under way at the back ends of a service in one region that would get
// requests now, as far as this daemon knows.
type RegionCapacity struct {
	Region identity.Region
	// Backends is how many there are, and Slots how many requests they take together.
	Backends, Slots float64
	// InFlight, Reading and Tokens are as in Load.
	InFlight, Reading, Tokens float64
}

// unboundedSlots stands for the places of a back end that tells no number of them.
const unboundedSlots = 1 << 16

// Free is about how many more requests with a number of tokens the back ends take within
// limits.
func (r RegionCapacity) Free(limits Limits, tokens int) float64 {
	free, size := r.Slots-r.InFlight, float64(max(tokens, 1))
	if limits.Tokens > 0 {
		free = min(free, (r.Backends*limits.Tokens-r.Tokens)/size)
	}
	if limits.Reading > 0 && r.Backends > 0 { // a back end takes them until it has reached the limit
		free = min(free, r.Backends*math.Ceil((limits.Reading-r.Reading/r.Backends)/size))
	}
	return max(free, 0)
}

// SetDistances tells the regions of zones. It must be called before the pool is used.
func (p *Pool) SetDistances(distances distance.Map) {
	p.distances = distances
	p.region = distances.Region(p.zone)
	clear(p.byRegion)
	clear(p.services)
	p.group(slices.Collect(maps.Values(p.byID)))
}

// Distances tells how far apart zones are.
func (p *Pool) Distances() distance.Map { return p.distances }

// HasSeveralRegions tells whether there is more than one region.
func (p *Pool) HasSeveralRegions() bool { return p.distances.HasSeveralRegions() }

// Region is the daemon's own region; empty where it is not known.
func (p *Pool) Region() identity.Region { return p.region }

// RegionOf is the region of a zone; the daemon's own where it is not known, as distances take it.
func (p *Pool) RegionOf(zone identity.Zone) identity.Region {
	return cmp.Or(p.distances.Region(zone), p.region)
}

// Zone is the zone of a back end, by the hash of its ID; false where it is not listed.
func (p *Pool) Zone(key uint64) (identity.Zone, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byKey[key]
	if found == nil {
		return "", false
	}
	return found.backend.Zone, true
}

// RegionCapacities sums up the regions of a service's back ends, ordered by name.
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

// listed are the back ends of a query's service, in its region where it names one. The caller
// holds the mutex.
func (p *Pool) listed(query Query) *group {
	if query.Region == "" {
		return p.services[query.Service]
	}
	return p.byRegion[regional{query.Service, query.Region}]
}

// entriesOf are the back ends of a service, ordered by ID. The caller holds the mutex.
func (p *Pool) entriesOf(service identity.ServiceName) []*entry {
	if of := p.services[service]; of != nil {
		return of.entries
	}
	return nil
}

// regional names the back ends of a service in a region.
type regional struct {
	service identity.ServiceName
	region  identity.Region
}

// near returns a query that takes shared parts for held only where they are in its region, if
// it names one and moves between regions take longer than reading.
func (p *Pool) near(query Query) Query {
	ask := query.Cached
	if ask == nil || query.Region == "" || query.FastCrossRegionMoves {
		return query
	}
	query.farCached = ask
	query.Cached = func(version uint64) Cached { return p.nearOnly(ask(version), query.Region) }
	return query
}

// nearOnly leaves out the holders in other regions. The caller holds the mutex.
func (p *Pool) nearOnly(cached Cached, region identity.Region) Cached {
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

// RegionUncached is how many of a query's shared tokens no back end of a region holds or is about to.
type RegionUncached struct {
	Region identity.Region
	Tokens int
}

// UncachedByRegion returns what the regions lack whose back ends may get a query's request, in no order.
func (p *Pool) UncachedByRegion(now time.Time, query Query) []RegionUncached {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	query = query.remembered()
	var found []RegionUncached
	for place, of := range p.byRegion {
		if place.service != query.Service {
			continue
		}
		if lacking, some := p.lacking(now, query, of.entries); some {
			found = append(found, RegionUncached{Region: place.region, Tokens: lacking})
		}
	}
	return found
}

// lacking is how many of a query's shared tokens none of some back ends of one region holds;
// false where none of them may get the request. The caller holds the mutex.
func (p *Pool) lacking(now time.Time, query Query, list []*entry) (int, bool) {
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

// SampleRegion returns the hashes of the IDs of some back ends of a region, at random.
func (p *Pool) SampleRegion(region identity.Region, count int) []uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var all []*entry
	for place, of := range p.byRegion {
		if place.region == region {
			all = append(all, of.entries...)
		}
	}
	sampled := sampleOf(all, count)
	keys := make([]uint64, len(sampled))
	for index, found := range sampled {
		keys[index] = found.key
	}
	return keys
}

// Services are the services that have back ends, by name.
func (p *Pool) Services() []identity.ServiceName {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Sorted(maps.Keys(p.services))
}
