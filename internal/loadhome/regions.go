package loadhome

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// zone is a daemon's zone; empty is unknown.
func (h *Homes) zone(address string) identity.Zone {
	switch {
	case address == h.self:
		return h.options.OwnZone
	case h.options.Zone == nil:
		return ""
	default:
		return h.options.Zone(address)
	}
}

// region is a daemon's region; empty is unknown.
func (h *Homes) region(address string) identity.Region {
	return h.options.Distances.Region(h.zone(address))
}

// near are the daemons among which a back end has its homes, by the hash of its ID: those of its
// region, or all where there are none. It returns false where that may change with the list of
// back ends.
func (h *Homes) near(grouped *peerlink.Grouping, key uint64) ([]string, bool) {
	if !h.options.Distances.HasSeveralRegions() {
		return grouped.All, true
	}
	zone, listed := h.options.Pool.Zone(key)
	if found := grouped.ByRegion[h.options.Distances.Region(zone)]; listed && len(found) > 0 {
		return found, true
	}
	return grouped.All, listed
}

// isOwnZone tells whether a daemon is surely in this one's zone, so that its answers tell nothing of the way between
// zones.
func (h *Homes) isOwnZone(address string) bool {
	return h.options.OwnZone != "" && h.zone(address) == h.options.OwnZone
}

// isFar tells whether a daemon is in another region.
func (h *Homes) isFar(address string) bool {
	return h.options.Distances.Between(h.options.OwnZone, h.zone(address)) == distance.OtherRegion
}

// timeout is how long the answers of homes are waited for.
func (h *Homes) timeout(byHome map[string][]uint64) time.Duration {
	for home := range byHome {
		if h.isFar(home) {
			return h.farTimeout.timeout()
		}
	}
	return h.nearTimeout.timeout()
}

// answered notes how long a home took to answer.
func (h *Homes) answered(home string, took time.Duration) {
	switch {
	case h.isFar(home):
		h.farTimeout.note(took)
	case !h.isOwnZone(home):
		h.nearTimeout.note(took)
	}
}
