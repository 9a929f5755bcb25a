package streamorigin

import (
	"github.com/lotusward/lotusward/internal/core/identity"
)

// Doubt is why it is not known which version began a stream.
type Doubt string

// Doubts.
const (
	// DoubtSeveral is that several versions may have begun the stream, and no daemon in reach remembers which one did.
	DoubtSeveral Doubt = "several_versions"
	// DoubtUnverified is that other versions may have been listed of which this daemon has not heard: the store does not answer, and
	// too few other daemons do.
	DoubtUnverified Doubt = "versions_unverified"
	// DoubtIncomplete is that no daemon in reach knows all versions that were listed lately.
	DoubtIncomplete Doubt = "earlier_versions_unknown"
	// DoubtAlone is that the daemon has just started without a record, and no other one answers.
	DoubtAlone Doubt = "no_daemon_answers"
	// DoubtUnlisted is that no version is listed.
	DoubtUnlisted Doubt = "no_version_listed"
	// DoubtRestarted is that the back end which began the stream has restarted since as another version.
	DoubtRestarted Doubt = "restarted"
	// DoubtUnconfirmed is that it can't be found out whether that back end had restarted before, and the service has several versions.
	DoubtUnconfirmed Doubt = "unconfirmed_incarnation"
)

// evidence is what is known of the versions of a service that were listed within the last Retention.
type evidence struct {
	// several is set if there was more than one.
	several bool
	// complete is set if all of them are known, but for those of which the daemon has not heard.
	complete bool
	// current is set if it has heard of all.
	current bool
	// single is set if there was one, only. It is still listed if listed is set.
	single, listed bool
	only           identity.SoftwareVersion
}

// with returns what is known from e and from another daemon's evidence.
func (e evidence) with(other evidence) evidence {
	differ := e.single && other.single && e.only != other.only
	joined := evidence{
		several: e.several || other.several || differ, complete: e.complete || other.complete,
		current: (e.complete && e.current) || (other.complete && other.current),
		single:  e.single || other.single, listed: e.listed || other.listed, only: e.only,
	}
	if !e.single {
		joined.only = other.only
	}
	return joined
}

// evidence returns what this daemon knows of a service. The caller holds the mutex.
func (r *Registry) evidence(service identity.ServiceName) evidence {
	now := r.options.Now()
	found := evidence{several: r.listed.Several(now, service), complete: r.complete(now), current: !r.contact.missed(now)}
	found.only, found.listed, found.single = r.listed.Only(now, service)
	return found
}

// found returns the only version that may have begun a stream, or the doubt if there is none or several.
func (e evidence) found() Found {
	switch {
	case e.several:
		return Found{Doubt: DoubtSeveral}
	case !e.complete:
		return Found{Doubt: DoubtIncomplete}
	case !e.current:
		return Found{Doubt: DoubtUnverified}
	case !e.single, !e.listed:
		return Found{Doubt: DoubtUnlisted}
	}
	return Found{Known: true, Version: e.only}
}

// evidence returns what another daemon has told. One that is out of contact tells that it is not complete.
func (m *evidenceMessage) evidence() evidence {
	return evidence{several: m.Several, complete: m.Complete, current: m.Complete, single: m.Single, listed: m.Listed, only: identity.SoftwareVersion(m.Only)}
}
