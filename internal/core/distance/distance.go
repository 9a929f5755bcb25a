// Package distance says how far apart zones are: in the same zone, in the same region, or in
// different regions. It is pure.
package distance

import (
	"maps"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Distance is how far apart two places are. Nearer ones compare as less.
type Distance int

// The distances.
const (
	// SameZone is tenths of a millisecond, one way.
	SameZone Distance = iota
	// SameRegion is some milliseconds.
	SameRegion
	// OtherRegion is tens of milliseconds.
	OtherRegion
)

// String names the distance for logs and metrics.
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

// Map knows the regions of zones. The zero value takes all zones for one region's.
type Map struct {
	regions map[identity.Zone]identity.Region
}

// NewMap makes a Map of the regions of zones.
func NewMap(regions map[identity.Zone]identity.Region) Map { return Map{regions: maps.Clone(regions)} }

// Region is a zone's region; empty where it is not known.
func (m Map) Region(zone identity.Zone) identity.Region { return m.regions[zone] }

// Between is the distance of two zones. A zone of no known region counts as of the same
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

// HasSeveralRegions tells whether there is more than one region. Zones without a region make none.
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
