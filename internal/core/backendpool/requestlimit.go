package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// LimitKind is what an answer says of how many requests its back end takes.
type LimitKind uint8

// The words.
const (
	// LimitUnspecified: the answer tells nothing of it, or nothing that can be read.
	LimitUnspecified LimitKind = iota
	// LimitNamed: the back end takes so many from all daemons together.
	LimitNamed
	// LimitNone: the back end names no limit, or no longer.
	LimitNone
)

// LimitNotice is what an answer says of how many requests its back end takes from all daemons together.
type LimitNotice struct {
	Kind LimitKind
	// PerSecond is the limit where one is named, zero or more.
	PerSecond float64
}

// RequestLimit is how many requests one life of a back end takes from all daemons together, as far as is known.
type RequestLimit struct {
	// Version rises with each change that a daemon hears from the back end. Zero: it was never heard to name a limit.
	Version uint64
	// InForce is set from an answer that names a limit until one that names none.
	InForce bool
	// PerSecond is the limit in force.
	PerSecond float64
}

// supersedes tells whether a limit replaces another one: the higher version does and, where two daemons heard a change
// at once, the lower limit.
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

// knownLimit is a limit with when this daemon learnt of it.
type knownLimit struct {
	RequestLimit
	// since is when the limit came into force here; it may have changed since then.
	since time.Time
	// changedAt is when the limit last changed here.
	changedAt time.Time
	// askAt is from when on a part of the limit is asked for again since one was refused, and roomAt when there is room for
	// one at the earliest.
	askAt, roomAt time.Time
	// toldAt is when this daemon last told others of the limit.
	toldAt time.Time
}

// replace returns true where a limit was news.
func (k *knownLimit) replace(now time.Time, limit RequestLimit) bool {
	if !limit.supersedes(k.RequestLimit) {
		return false
	}
	if limit.InForce && !k.InForce {
		k.since = now
	}
	k.RequestLimit, k.changedAt = limit, now
	k.askAt, k.roomAt = time.Time{}, time.Time{}
	return true
}

// answered takes in what the answer to a request says that was sent at a time. It returns true where that is news. An
// answer that names none ends no limit that came into force after the request was sent: it may have been under way.
func (k *knownLimit) answered(now time.Time, notice LimitNotice, sentAt time.Time) bool {
	switch {
	case notice.Kind == LimitNamed && (!k.InForce || k.PerSecond != notice.PerSecond):
		return k.replace(now, RequestLimit{Version: k.Version + 1, InForce: true, PerSecond: notice.PerSecond})
	case notice.Kind == LimitNone && k.InForce && sentAt.After(k.since):
		return k.replace(now, RequestLimit{Version: k.Version + 1})
	default:
		return false
	}
}

// RequestLimit is what is known of a back end's limit.
func (p *Pool) RequestLimit(id identity.BackendID) RequestLimit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if said := p.said[id]; said != nil {
		return said.limit.RequestLimit
	}
	return RequestLimit{}
}

// endsLimit tells whether a notice may end a limit that is in force. The caller holds the mutex.
func (p *Pool) endsLimit(id identity.BackendID, notice Notice) bool {
	said := p.said[id]
	return notice.Limit.Kind == LimitNone && said != nil && said.limit.InForce
}

// requestLimit is what is known of the back end's limit.
func (e *entry) requestLimit() RequestLimit {
	if e.said == nil {
		return RequestLimit{}
	}
	return e.said.limit.RequestLimit
}

// outOfRoom tells whether a part of the back end's limit was refused, and is not to be asked for yet.
func (e *entry) outOfRoom(now time.Time) bool {
	return e.said != nil && e.said.limit.InForce && now.Before(e.said.limit.askAt)
}

// isLimited tells whether the back end has named a limit that is in force.
func (e *entry) isLimited() bool { return e.said != nil && e.said.limit.InForce }

// backAt is when the back end takes requests again, of which it has asked for none or has no room for more; the zero time
// where it takes them now.
func (e *entry) backAt(now time.Time) time.Time {
	var at time.Time
	if e.backsOff(now) {
		at = e.said.backoff.until
	}
	if e.outOfRoom(now) && e.said.limit.roomAt.After(at) {
		at = e.said.limit.roomAt
	}
	return at
}

// RecordGrantRefused notes that a part of a ticket's back end's limit was refused. It gets no requests until a part is to be asked for
// again.
func (t *Ticket) RecordGrantRefused(askAt, roomAt time.Time) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	if said := t.entry.said; said != nil && said.limit.InForce {
		said.limit.askAt, said.limit.roomAt = askAt, roomAt
	}
}

// RecordGrant notes that the ticket has a part of its back end's limit.
func (t *Ticket) RecordGrant(now time.Time) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.grantedAt = now
}

// mostGrantAge is how long a part of a limit may be held before the request is sent: making a connection takes less. A
// daemon that was suspended meanwhile would send it into a time of which the limit is used up.
const mostGrantAge = time.Second

// holdsGrant tells whether the ticket has a part of its back end's limit, or needs none. The caller holds the mutex.
func (t *Ticket) holdsGrant(now time.Time, said *said) bool {
	if said == nil || !said.limit.InForce {
		return true
	}
	return !t.grantedAt.IsZero() && now.Sub(t.grantedAt) <= mostGrantAge
}
