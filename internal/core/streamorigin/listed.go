package streamorigin

import (
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Listed tracks which software versions of each service were listed within the last Retention. It is not safe for concurrent
// use.
type Listed struct {
	// byKey finds listed back ends by the hashes of their IDs.
	byKey    map[uint64]backendpool.Backend
	backends map[identity.BackendID]listing
	versions map[identity.ServiceName]map[identity.SoftwareVersion]*listedVersion
}

// listing is the service and version of a listed back end.
type listing struct {
	service identity.ServiceName
	version identity.SoftwareVersion
}

// listedVersion counts the listed back ends of a version. goneAt is when the last one was removed.
type listedVersion struct {
	backends int
	goneAt   time.Time
}

// expired reports whether the version was not listed within the last Retention.
func (v *listedVersion) expired(now time.Time) bool {
	return v.backends == 0 && now.Sub(v.goneAt) > Retention
}

// NewListed returns a Listed without back ends.
func NewListed() *Listed {
	return &Listed{
		byKey:    map[uint64]backendpool.Backend{},
		backends: map[identity.BackendID]listing{}, versions: map[identity.ServiceName]map[identity.SoftwareVersion]*listedVersion{},
	}
}

// Update applies a change of the list of back ends. It returns the services that have several versions since then.
func (l *Listed) Update(now time.Time, changed []backendpool.Backend, gone []identity.BackendID) []identity.ServiceName {
	var became []identity.ServiceName
	for _, backend := range changed {
		several := l.Several(now, backend.Service)
		l.add(now, backend.ID, listing{service: backend.Service, version: backend.Software})
		l.byKey[rendezvous.Key(string(backend.ID))] = backend
		if !several && l.Several(now, backend.Service) {
			became = append(became, backend.Service)
		}
	}
	for _, id := range gone {
		l.remove(now, id)
	}
	return became
}

// Certainty is how sure it is that the back end that began a stream was of the recorded version.
type Certainty int

// Certainties.
const (
	// CertaintyUnknown means that it may have restarted before, unseen.
	CertaintyUnknown Certainty = iota
	// CertaintyRestarted means that it is another incarnation or version by now, and may have been before.
	CertaintyRestarted
	// CertaintyListed means that the incarnation is still listed and can be asked.
	CertaintyListed
	// CertaintySure means that it was of that version.
	CertaintySure
)

// Certainty returns how sure it is that a stream began at the version of its origin, and the back end to ask if it is listed. It goes
// by the origin and the present list alone: a daemon that started a moment ago has seen no restart.
func (l *Listed) Certainty(origin Origin) (Certainty, backendpool.Backend) {
	if origin.Confirmed() {
		return CertaintySure, backendpool.Backend{}
	}
	listed, found := l.byKey[origin.Backend]
	switch {
	case !found:
		return CertaintyUnknown, backendpool.Backend{}
	case listed.Software != origin.Version:
		return CertaintyRestarted, backendpool.Backend{}
	}
	return CertaintyListed, listed
}

// add lists a back end under its ID.
func (l *Listed) add(now time.Time, id identity.BackendID, added listing) {
	if l.backends[id] == added {
		return
	}
	l.remove(now, id)
	l.backends[id] = added
	if l.versions[added.service] == nil {
		l.versions[added.service] = map[identity.SoftwareVersion]*listedVersion{}
	}
	found := l.versions[added.service][added.version]
	if found == nil {
		found = &listedVersion{}
		l.versions[added.service][added.version] = found
	}
	found.backends++
}

func (l *Listed) remove(now time.Time, id identity.BackendID) {
	was, found := l.backends[id]
	if !found {
		return
	}
	delete(l.backends, id)
	delete(l.byKey, rendezvous.Key(string(id)))
	version := l.versions[was.service][was.version]
	version.backends--
	version.goneAt = now
}

// Adopt adds versions that were listed before this daemon knew the list. Those that are not listed count as removed now if they are
// new here, or if this daemon has missed changes of the list: they may have been listed again. It returns the services that have several
// versions since then.
func (l *Listed) Adopt(now time.Time, earlier map[identity.ServiceName][]identity.SoftwareVersion, missed bool) []identity.ServiceName {
	var became []identity.ServiceName
	for service, versions := range earlier {
		several := l.Several(now, service)
		for _, version := range versions {
			l.adopt(now, service, version, missed)
		}
		if !several && l.Several(now, service) {
			became = append(became, service)
		}
	}
	return became
}

func (l *Listed) adopt(now time.Time, service identity.ServiceName, version identity.SoftwareVersion, missed bool) {
	if l.versions[service] == nil {
		l.versions[service] = map[identity.SoftwareVersion]*listedVersion{}
	}
	found := l.versions[service][version]
	switch {
	case found == nil:
		l.versions[service][version] = &listedVersion{goneAt: now}
	case found.backends == 0 && (missed || found.expired(now)):
		found.goneAt = now
	}
}

// Recent returns the versions of each service that were listed within the last Retention, in the order of their names.
func (l *Listed) Recent(now time.Time) map[identity.ServiceName][]identity.SoftwareVersion {
	recent := map[identity.ServiceName][]identity.SoftwareVersion{}
	for service, versions := range l.versions {
		for name, version := range versions {
			if !version.expired(now) {
				recent[service] = append(recent[service], name)
			}
		}
		slices.Sort(recent[service])
	}
	return recent
}

// Only returns the single version of a service that was listed within the last Retention, and whether it still is. It returns
// false if there was none or several.
func (l *Listed) Only(now time.Time, service identity.ServiceName) (version identity.SoftwareVersion, listed, found bool) {
	if l.Several(now, service) {
		return "", false, false
	}
	for name, only := range l.versions[service] {
		return name, only.backends > 0, !only.expired(now)
	}
	return "", false, false
}

// Several reports whether more than one version of a service was listed within the last Retention.
func (l *Listed) Several(now time.Time, service identity.ServiceName) bool {
	versions := l.versions[service]
	if len(versions) < 2 {
		return false
	}
	for name, version := range versions {
		if version.expired(now) {
			delete(versions, name)
		}
	}
	return len(versions) > 1
}
