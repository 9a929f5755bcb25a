package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// LimitKind is how a response refers to the back end's request limit.
type LimitKind uint8

const (
	// LimitUnspecified means that the response doesn't mention a limit, or not in a readable form.
	LimitUnspecified LimitKind = iota
	// LimitNamed means that the response states a limit for all daemons together.
	LimitNamed
	// LimitNone means that the back end has no limit, or no longer has one.
	LimitNone
)

// LimitNotice is what a response states about the back end's request limit for all daemons together.
type LimitNotice struct {
	Kind LimitKind
	// PerSecond is the stated limit, zero or more.
	PerSecond float64
}

// RequestLimit is the known limit on the requests that one incarnation of a back end accepts from all daemons
// together.
type RequestLimit struct {
	// Version increases with each change that a daemon sees in a response. Zero means that no limit was ever
	// stated.
	Version uint64
	// InForce is set from the response that states a limit until one that states there is none.
	InForce bool
	// PerSecond is the limit in force.
	PerSecond float64
}

// supersedes reports whether a limit replaces another one: a higher version does. If two daemons saw a change at
// the same time, the lower limit does.
func (l RequestLimit) supersedes(other RequestLimit) bool {
	switch {
	case l.Version != other.Version:
		return l.Version > other.Version
	case l.InForce != other.InForce:
		return l.InForce
	default:
		return l.PerSecond < other.PerSecond
	}
}

// knownLimit is a limit and its local timestamps.
type knownLimit struct {
	RequestLimit
	// since is when this daemon learned that a limit is in force. Its value may have changed since then.
	since time.Time
	// changedAt is when this daemon last learned of a change.
	changedAt time.Time
	// retryGrantAt is when to ask for a share of the limit again after a refusal, and capacityAt the earliest time
	// at which one may be available.
	retryGrantAt, capacityAt time.Time
	// sharedAt is when this daemon last sent the limit to others.
	sharedAt time.Time
}

// replace returns true if the limit changed.
func (k *knownLimit) replace(now time.Time, limit RequestLimit) bool {
	if !limit.supersedes(k.RequestLimit) {
		return false
	}
	if limit.InForce && !k.InForce {
		k.since = now
	}
	k.RequestLimit, k.changedAt = limit, now
	k.retryGrantAt, k.capacityAt = time.Time{}, time.Time{}
	return true
}

// applyNotice processes the limit stated in the response to a request sent at sentAt. It returns true if that
// changed the limit. A response without a limit doesn't end one that came into force after the request was sent,
// since the response may have been on its way.
func (k *knownLimit) applyNotice(now time.Time, notice LimitNotice, sentAt time.Time) bool {
	switch {
	case notice.Kind == LimitNamed && (!k.InForce || k.PerSecond != notice.PerSecond):
		return k.replace(now, RequestLimit{Version: k.Version + 1, InForce: true, PerSecond: notice.PerSecond})
	case notice.Kind == LimitNone && k.InForce && sentAt.After(k.since):
		return k.replace(now, RequestLimit{Version: k.Version + 1})
	default:
		return false
	}
}

// RequestLimit returns the known limit of a back end.
func (p *Pool) RequestLimit(id identity.BackendID) RequestLimit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if notices := p.notices[id]; notices != nil {
		return notices.limit.RequestLimit
	}
	return RequestLimit{}
}

// mayClearLimit reports whether a notice may end a limit that is in force. The caller holds the mutex.
func (p *Pool) mayClearLimit(id identity.BackendID, notice Notice) bool {
	notices := p.notices[id]
	return notice.Limit.Kind == LimitNone && notices != nil && notices.limit.InForce
}

// requestLimit returns the known limit of the back end.
func (e *entry) requestLimit() RequestLimit {
	if e.notices == nil {
		return RequestLimit{}
	}
	return e.notices.limit.RequestLimit
}

// limitExhausted reports whether a share of the back end's limit was refused and the next one isn't to be requested
// yet.
func (e *entry) limitExhausted(now time.Time) bool {
	return e.notices != nil && e.notices.limit.InForce && now.Before(e.notices.limit.retryGrantAt)
}

// isLimited reports whether the back end has stated a limit that is in force.
func (e *entry) isLimited() bool { return e.notices != nil && e.notices.limit.InForce }

// availableAt returns when the back end accepts requests again after a backoff or an exhausted limit; the zero time
// if it accepts them now.
func (e *entry) availableAt(now time.Time) time.Time {
	var at time.Time
	if e.backsOff(now) {
		at = e.notices.backoff.until
	}
	if e.limitExhausted(now) && e.notices.limit.capacityAt.After(at) {
		at = e.notices.limit.capacityAt
	}
	return at
}

// RecordGrantRefused records that a share of the back end's limit was refused. The back end gets no requests until
// a share is to be requested again.
func (t *Ticket) RecordGrantRefused(retryGrantAt, capacityAt time.Time) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	if notices := t.entry.notices; notices != nil && notices.limit.InForce {
		notices.limit.retryGrantAt, notices.limit.capacityAt = retryGrantAt, capacityAt
	}
}

// RecordGrant records that the request was granted a share of its back end's limit.
func (t *Ticket) RecordGrant(now time.Time) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.grantedAt = now
}

// maxGrantAge is how long a granted share may be held before the request is sent; making a connection takes less. A
// daemon that was suspended in between would otherwise send the request in a period whose limit is used up.
const maxGrantAge = time.Second

// holdsGrant reports whether the request has a share of its back end's limit, or needs none. The caller holds the
// mutex.
func (t *Ticket) holdsGrant(now time.Time, notices *notices) bool {
	if notices == nil || !notices.limit.InForce {
		return true
	}
	return !t.grantedAt.IsZero() && now.Sub(t.grantedAt) <= maxGrantAge
}
