package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Notice is what a back end announces about itself in a response, apart from the response itself. The zero value
// announces nothing.
type Notice struct {
	// Draining is set if it is about to shut down.
	Draining bool
	// RetryAfter is how long it asks this daemon to send no requests.
	RetryAfter time.Duration
	// Limit is the request limit that it states for all daemons together.
	Limit LimitNotice
}

// IsEmpty reports whether nothing is announced.
func (n Notice) IsEmpty() bool { return !n.Draining && n.RetryAfter == 0 && n.Limit.Kind != LimitNamed }

// maxUnlistedNotices bounds the unlisted incarnations whose notices are kept: half a megabyte at some hundred bytes
// each, and more than the number that end in three days with 1,200 replaced back ends.
const maxUnlistedNotices = 4096

// notices is what one incarnation of a back end has announced to this daemon.
//
// It is kept apart from the list and for each incarnation, since a row can be outdated: it stays unchanged while
// the store is unavailable, arrives late, and is absent for a while after a lost heartbeat.
type notices struct {
	// drainingFrom is when the incarnation first announced draining; zero if it hasn't. It is never reset: a
	// draining incarnation always ends.
	drainingFrom time.Time
	// backoff tracks the periods for which it asked for no requests.
	backoff backoff
	// limit is the request limit that it has stated.
	limit knownLimit
	// noticedAt is when the last notice arrived.
	noticedAt time.Time
}

// RecordNotice processes a back end's notice. It returns true if anything changed.
func (p *Pool) RecordNotice(now time.Time, id identity.BackendID, notice Notice) bool {
	if notice.IsEmpty() {
		return false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.takeNotice(now, id, notice, now)
}

// takeNotice processes a notice in the response to a request sent at sentAt, and queues a finding if the back end
// has started draining. The caller holds the mutex.
func (p *Pool) takeNotice(now time.Time, id identity.BackendID, notice Notice, sentAt time.Time) bool {
	notices := p.noticesOf(id, now)
	drained := notices.drains()
	changed := notices.take(now, notice)
	limitChanged := notices.limit.applyNotice(now, notice.Limit, sentAt)
	if limitChanged || notice.Limit.Kind == LimitNamed {
		p.queueLimit(now, id, limitChanged)
	}
	if found := p.byID[id]; found != nil && !drained && notices.drains() {
		p.queueFinding(Finding{Key: found.key, Draining: true})
	}
	return changed || limitChanged
}

// take returns true if the notice changed anything.
func (n *notices) take(now time.Time, notice Notice) bool {
	changed := notice.Draining && !n.drains()
	if changed {
		n.drainingFrom = now
	}
	if notice.RetryAfter > 0 {
		changed = n.backoff.extend(now, notice.RetryAfter) || changed
	}
	return changed
}

// drains reports whether the incarnation has announced draining. It returns false for nil.
func (n *notices) drains() bool { return n != nil && !n.drainingFrom.IsZero() }

// backsOff reports whether the incarnation has asked for no requests at this time. It returns false for nil.
func (n *notices) backsOff(now time.Time) bool { return n != nil && n.backoff.active(now) }

// noticesOf returns the notices of an incarnation, for modification. The caller holds the mutex.
func (p *Pool) noticesOf(id identity.BackendID, now time.Time) *notices {
	known := p.notices[id]
	if known == nil {
		known = &notices{}
		p.notices[id] = known
		if found := p.byID[id]; found != nil {
			found.notices = known
		}
	}
	known.noticedAt = now
	p.evictNotices()
	return known
}

// inheritNotices returns the notices that apply to a back end newly listed under its ID; nil if none. If its start
// time was known before and isn't now, or the other way round, it may be the same incarnation under another ID,
// because daemons of releases without incarnations send lists without start times. The notices then remain in
// effect unless the incarnation started after them. The caller holds the mutex.
func (p *Pool) inheritNotices(added *entry) *notices {
	backend := added.backend
	unknown := identity.NewBackendID(backend.ID.Name(), 0)
	before := p.byNameKey[added.nameKey] // its entry before this update, under another ID
	found := p.notices[backend.ID]
	switch {
	case before == nil, before.backend.Address != backend.Address:
		if found == nil && p.notices[unknown].mayBelongTo(backend.ID) {
			found = p.notices[unknown]
		}
	case backend.ID == unknown:
		found = before.notices
	case found != nil:
	case before.backend.ID == unknown:
		if before.notices.mayBelongTo(backend.ID) {
			found = before.notices
		}
	default:
		found = before.notices.noticesSinceStart(backend.ID)
	}
	if found == nil {
		delete(p.notices, backend.ID)
		return nil
	}
	p.notices[backend.ID] = found
	return found
}

// noticesSinceStart returns the notices that an incarnation sent before it was listed and that were attributed to
// the previous one: all that arrived once it had started; nil if none. For draining, its start is compared with the
// first such notice: an incarnation drains for seconds before it ends, so that clock differences below that don't
// exclude the next incarnation for good.
func (n *notices) noticesSinceStart(id identity.BackendID) *notices {
	if n == nil {
		return nil
	}
	startedAt := int64(id.Incarnation())
	later := &notices{noticedAt: n.noticedAt}
	if n.drains() && startedAt <= n.drainingFrom.UnixMilli() {
		later.drainingFrom = n.drainingFrom
	}
	if n.backoff.recovering && startedAt <= n.backoff.askedAt.UnixMilli() {
		later.backoff = backoff{until: n.backoff.until, askedAt: n.backoff.askedAt, recovering: true}
	}
	if startedAt <= n.limit.changedAt.UnixMilli() {
		later.limit = n.limit
	}
	if !later.drains() && !later.backoff.recovering && later.limit.Version == 0 {
		return nil
	}
	return later
}

// mayBelongTo reports whether an incarnation had started by the time of the last notice. It returns false for nil.
func (n *notices) mayBelongTo(id identity.BackendID) bool {
	return n != nil && int64(id.Incarnation()) <= n.noticedAt.UnixMilli()
}

// evictNotices drops the oldest notices of unlisted incarnations while there are too many. The caller holds the
// mutex.
func (p *Pool) evictNotices() {
	for len(p.notices) > len(p.byID)+maxUnlistedNotices {
		var oldest identity.BackendID
		for id, known := range p.notices {
			if p.byID[id] == nil && (oldest == "" || known.noticedAt.Before(p.notices[oldest].noticedAt)) {
				oldest = id
			}
		}
		delete(p.notices, oldest)
	}
}

// isDraining reports whether the back end is draining, according to its row or its own notice.
func (e *entry) isDraining() bool {
	return e.backend.Draining || e.notices.drains()
}

// described returns the back end's row, marked as draining if the back end itself has announced that.
func (e *entry) described() Backend {
	described := e.backend
	described.Draining = e.isDraining()
	return described
}

// PinDraining keeps all back ends whose rows mark them as draining in that state until their incarnations end,
// whatever their rows say later.
func (p *Pool) PinDraining(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for id, found := range p.byID {
		if found.backend.Draining {
			p.noticesOf(id, now).take(now, Notice{Draining: true})
		}
	}
}
