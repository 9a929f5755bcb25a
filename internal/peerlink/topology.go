package peerlink

import (
	"maps"
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Topology is what a daemon knows of where the others are.
type Topology struct {
	// Others returns the addresses of the other daemons.
	Others func() []string
	// Region returns the region of the daemon at an address, this one's too; empty is not known.
	// Nil takes all for one region's.
	Region func(address string) identity.Region
	// Zone returns the zone of a daemon in the same way; nil takes all for one zone's.
	Zone func(address string) identity.Zone
	// Capacity returns the room of the daemon at an address relative to others', above zero.
	// Nil takes all for equal.
	Capacity func(address string) float64
}

// Near returns the others that a daemon need cross no border to reach, those of no known region
// among them.
func (t *Topology) Near(self string) []string {
	own := t.RegionOf(self)
	if own == "" {
		return t.Others()
	}
	var near []string
	for _, address := range t.Others() {
		if region := t.RegionOf(address); region == own || region == "" {
			near = append(near, address)
		}
	}
	return near
}

// Far returns the daemons of each other region.
func (t *Topology) Far(self string) map[identity.Region][]string {
	own := t.RegionOf(self)
	if own == "" {
		return nil
	}
	far := map[identity.Region][]string{}
	for _, address := range t.Others() {
		if region := t.RegionOf(address); region != own && region != "" {
			far[region] = append(far[region], address)
		}
	}
	return far
}

// RegionOf is the region of the daemon at an address; empty where it is not known.
func (t *Topology) RegionOf(address string) identity.Region {
	if t.Region == nil {
		return ""
	}
	return t.Region(address)
}

// ZoneOf is the zone of the daemon at an address; empty where it is not known.
func (t *Topology) ZoneOf(address string) identity.Zone {
	if t.Zone == nil {
		return ""
	}
	return t.Zone(address)
}

// CapacityOf is the room of the daemon at an address relative to others', above zero.
func (t *Topology) CapacityOf(address string) float64 {
	if t.Capacity == nil {
		return 1
	}
	return t.Capacity(address)
}

// Rank orders daemons for a key, those with room mostly first. All who know the same daemons
// agree on it.
func (t *Topology) Rank(key uint64, addresses []string) []string {
	return rendezvous.WeightedTop(key, addresses, t.CapacityOf, len(addresses))
}

// sortedRegions are the keys of Far's result in order.
func sortedRegions(far map[identity.Region][]string) []identity.Region {
	return slices.Sorted(maps.Keys(far))
}
