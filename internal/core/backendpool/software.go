package backendpool

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// admits reports whether a back end runs the software that the query requires and is one of those it allows.
func (q *Query) admits(found *entry) bool {
	version, restricted := found.backend.Software, q.Software != "" || q.ExactSoftware
	if restricted && version != q.Software && !slices.Contains(q.OtherSoftware, version) {
		return false
	}
	return q.AllowedKeys == nil || slices.Contains(q.AllowedKeys, found.key)
}

// SoftwareVersions counts the back ends of a service by software version, excluding those that are draining or have
// ended or whose address now belongs to another one.
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

// KeysOf returns the hashes of the IDs of a service's back ends with a software version in ascending order,
// excluding those that are draining or have ended or whose address now belongs to another one.
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

// listed reports whether the back end is listed to serve new requests.
func (e *entry) listed() bool { return !e.isDraining() && !e.hasEnded() }

// InFlightOnOtherVersions returns the number of this daemon's requests in flight at back ends of a service that run
// another software version than the given one, including those no longer listed.
func (p *Pool) InFlightOnOtherVersions(service identity.ServiceName, except identity.SoftwareVersion) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, found := range p.entriesOf(service) {
		if found.backend.Software != except {
			count += found.requests()
		}
	}
	for found := range p.departed {
		if found.backend.Service == service && found.backend.Software != except {
			count += found.requests()
		}
	}
	return count
}
