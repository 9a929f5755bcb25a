package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// backoff tracks the periods for which a back end has asked this daemon to send no requests.
//
// A back end that refuses every request has none in flight and looks idle. Without the backoff it would attract
// most requests, and nearly all of them would be refused although other back ends have capacity.
type backoff struct {
	until time.Time
	// askedAt is when the back end last asked for a backoff.
	askedAt time.Time
	// recovering is set from the first such request until the back end accepts a request after the backoff.
	recovering bool
	// trial is the request that tests whether the back end accepts requests again; nil if none.
	trial *Ticket
}

// extend records a requested backoff. It returns true if the back end was not backing off before. Concurrent
// requests may receive different times; the latest end applies, and none shortens another.
func (b *backoff) extend(now time.Time, retryAfter time.Duration) bool {
	changed := !b.active(now)
	if until := now.Add(retryAfter); until.After(b.until) {
		b.until = until
	}
	b.askedAt = now
	b.recovering = true
	return changed
}

// active reports whether the backoff is in effect.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// onTrial reports whether a trial request is in flight after the backoff. Other requests wait for its result: sent
// at the same time, they would all be refused if the back end isn't ready.
func (b *backoff) onTrial(now time.Time) bool {
	return b.recovering && b.trial != nil && !b.active(now)
}

// backsOff reports whether the back end has asked for no requests at this time.
func (e *entry) backsOff(now time.Time) bool { return e.notices.backsOff(now) }

// onTrial reports whether other requests must wait for a trial request in flight.
func (e *entry) onTrial(now time.Time) bool {
	return e.notices != nil && e.notices.backoff.onTrial(now)
}

// picked records that the back end was picked for a request. The first one after a backoff is the trial request.
func (e *entry) picked(ticket *Ticket) {
	if e.notices != nil && e.notices.backoff.recovering && e.notices.backoff.trial == nil {
		e.notices.backoff.trial = ticket
	}
}

// endTrial ends the backoff trial if this request is it. The caller holds the mutex.
func (t *Ticket) endTrial(now time.Time, accepted bool) {
	if t.entry.notices == nil || t.entry.notices.backoff.trial != t {
		return
	}
	backoff := &t.entry.notices.backoff
	backoff.trial = nil
	backoff.recovering = !accepted || backoff.active(now)
}

// NextAvailableAt returns when the first back end of a service will accept requests again, if all that aren't
// draining have either asked for a backoff or used up their request limits. Otherwise it returns the zero time.
func (p *Pool) NextAvailableAt(now time.Time, service identity.ServiceName) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var first time.Time
	for _, found := range p.entriesOf(service) {
		if !found.listed() {
			continue
		}
		at := found.availableAt(now)
		if at.IsZero() {
			return time.Time{}
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}
