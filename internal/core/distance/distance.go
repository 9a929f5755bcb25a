// Package distance classifies the network distance between zones: the same zone, the same region,
// or different regions. It performs no I/O.
package distance

import (
	"maps"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Distance is the network distance between two zones. Nearer distances compare as less.
type Distance int

// The distances, with their usual one-way latency.
const (
	// SameZone is tenths of a millisecond.
	SameZone Distance = iota
	// SameRegion is a few milliseconds.
	SameRegion
	// OtherRegion is tens of milliseconds.
	OtherRegion
)

// String returns the distance's name for logs and metrics.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "zone"
	case SameRegion:
		return "region"
	default:
		return "other_region"
	}
}

// Map maps zones to regions. The zero value places all zones in one region.
type Map struct {
	regions map[identity.Zone]identity.Region
}

// NewMap returns a Map of zones to regions.
func NewMap(regions map[identity.Zone]identity.Region) Map { return Map{regions: maps.Clone(regions)} }

// Region returns a zone's region, or empty if unknown.
func (m Map) Region(zone identity.Zone) identity.Region { return m.regions[zone] }

// Between returns the distance between two zones. A zone of unknown region counts as in the same
// region as any other.
func (m Map) Between(left, right identity.Zone) Distance {
	leftRegion, rightRegion := m.regions[left], m.regions[right]
	switch {
	case left == right:
		return SameZone
	case leftRegion == rightRegion, leftRegion == "", rightRegion == "":
		return SameRegion
	default:
		return OtherRegion
	}
}

// HasSeveralRegions reports whether there is more than one region. Zones without a region don't
// count.
func (m Map) HasSeveralRegions() bool {
	var first identity.Region
	for _, region := range m.regions {
		switch {
		case region == "":
		case first == "":
			first = region
		case region != first:
			return true
		}
	}
	return false
}
