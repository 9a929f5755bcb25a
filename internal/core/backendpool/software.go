package backendpool

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// admits tells whether a back end runs the software that the query asks for, and is one of
// those that it names.
func (q *Query) admits(found *entry) bool {
	if q.Software != "" && found.backend.Software != q.Software {
		return false
	}
	return q.AllowedKeys == nil || slices.Contains(q.AllowedKeys, found.key)
}

// SoftwareVersions counts the back ends of a service by the version of its software, without
// those that are draining or whose address another one has.
func (p *Pool) SoftwareVersions(service identity.ServiceName) map[identity.SoftwareVersion]int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counts := map[identity.SoftwareVersion]int{}
	for _, found := range p.entriesOf(service) {
		if found.listed() {
			counts[found.backend.Software]++
		}
	}
	return counts
}

// KeysOf returns the hashes of the IDs of a service's back ends of a version of its software,
// ascending, without those that are draining or whose address another one has.
func (p *Pool) KeysOf(service identity.ServiceName, version identity.SoftwareVersion) []uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var keys []uint64
	for _, found := range p.entriesOf(service) {
		if found.listed() && found.backend.Software == version {
			keys = append(keys, found.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// listed tells whether the back end is there to serve new requests.
func (e *entry) listed() bool { return !e.isDraining() && !e.isOver() }

// InFlightOnOtherVersions is how many requests of this daemon are under way at back ends of a service that run
// another version of its software than the given one. Those that are no longer listed count.
func (p *Pool) InFlightOnOtherVersions(service identity.ServiceName, except identity.SoftwareVersion) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, found := range p.entriesOf(service) {
		if found.backend.Software != except {
			count += found.inFlight
		}
	}
	for found := range p.departed {
		if found.backend.Service == service && found.backend.Software != except {
			count += found.inFlight
		}
	}
	return count
}
