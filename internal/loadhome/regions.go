package loadhome

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// zone returns the zone of a daemon, or an empty string if unknown.
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

// region returns the region of a daemon, or an empty string if unknown.
func (h *Homes) region(address string) identity.Region {
	return h.options.Distances.Region(h.zone(address))
}

// candidateDaemons returns the daemons eligible as homes of a back end, given the hash of its ID: those in its
// region, or all if there are none. The result is false if it may change with the list of back ends, so that it
// must not be cached.
func (h *Homes) candidateDaemons(grouped *peerlink.Grouping, key uint64) ([]string, bool) {
	if !h.options.Distances.HasSeveralRegions() {
		return grouped.All, true
	}
	zone, listed := h.options.Pool.Zone(key)
	if found := grouped.ByRegion[h.options.Distances.Region(zone)]; listed && len(found) > 0 {
		return found, true
	}
	return grouped.All, listed
}

// isOwnZone reports whether a daemon is known to be in this daemon's zone. Its answers say nothing about the
// latency between zones.
func (h *Homes) isOwnZone(address string) bool {
	return h.options.OwnZone != "" && h.zone(address) == h.options.OwnZone
}

// isOtherRegion reports whether a daemon is in another region.
func (h *Homes) isOtherRegion(address string) bool {
	return h.options.Distances.Between(h.options.OwnZone, h.zone(address)) == distance.OtherRegion
}

// timeout returns how long to wait for the answers of the given homes.
func (h *Homes) timeout(byHome map[string][]uint64) time.Duration {
	for home := range byHome {
		if h.isOtherRegion(home) {
			return h.otherRegionRTT.timeout()
		}
	}
	return h.sameRegionRTT.timeout()
}

// recordRoundTrip records how long a home took to answer.
func (h *Homes) recordRoundTrip(home string, took time.Duration) {
	switch {
	case h.isOtherRegion(home):
		h.otherRegionRTT.record(took)
	case !h.isOwnZone(home):
		h.sameRegionRTT.record(took)
	}
}
