package loadhome

import (
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// regions are the daemons by their regions.
type regions struct {
	// others are the daemons that these were made of.
	others    []string
	all       []string
	byRegion  map[identity.Region][]string
	distances distance.Map
}

// regionsOf sorts the other daemons and this one by their regions.
func (h *Homes) regionsOf(others []string) regions {
	made := regions{
		others: others, all: append(slices.Clone(others), h.self), distances: h.options.Distances,
		byRegion: map[identity.Region][]string{},
	}
	if !made.distances.HasSeveralRegions() {
		return made
	}
	for _, address := range made.all {
		region := made.distances.Region(h.zone(address))
		made.byRegion[region] = append(made.byRegion[region], address)
	}
	return made
}

// zone is a daemon's zone; empty is unknown.
func (h *Homes) zone(address string) identity.Zone {
	switch {
	case address == h.self:
		return h.options.Own
	case h.options.Zone == nil:
		return ""
	default:
		return h.options.Zone(address)
	}
}

// near are the daemons among which a back end of a zone has its homes: those of its region, or
// all where there are none. It returns false where that may change with the list of back ends.
func (r *regions) near(zone identity.Zone, listed bool) ([]string, bool) {
	if !r.distances.HasSeveralRegions() {
		return r.all, true
	}
	if found := r.byRegion[r.distances.Region(zone)]; listed && len(found) > 0 {
		return found, true
	}
	return r.all, listed
}

// isFar tells whether a daemon is in another region.
func (h *Homes) isFar(address string) bool {
	return h.options.Distances.Between(h.options.Own, h.zone(address)) == distance.OtherRegion
}

// timeout is how long the answers of homes are waited for.
func (h *Homes) timeout(byHome map[string][]uint64) time.Duration {
	for home := range byHome {
		if h.isFar(home) {
			return h.farTimeout.timeout()
		}
	}
	return answerTimeout
}

// answered notes how long a home took to answer.
func (h *Homes) answered(home string, took time.Duration) {
	if h.isFar(home) {
		h.farTimeout.note(took)
	}
}
