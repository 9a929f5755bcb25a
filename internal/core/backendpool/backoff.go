package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// backoff is of the times for which a back end has asked this daemon for no requests.
//
// A back end that refuses everything has nothing under way, and looks free: it would draw most requests, and nearly all
// of these be refused, though others are free.
type backoff struct {
	until time.Time
	// askedAt is when a time was last asked for.
	askedAt time.Time
	// recovering is set from the first of these times on, until a request is taken after it.
	recovering bool
	// trial is the request that finds out whether the back end takes requests again; nil is none.
	trial *Ticket
}

// extend takes in a time. It returns true where the back end wasn't backing off. Of several times, as those that
// requests get which were under way together, the one that ends last counts: none takes another one back.
func (b *backoff) extend(now time.Time, retryAfter time.Duration) bool {
	news := !b.active(now)
	if until := now.Add(retryAfter); until.After(b.until) {
		b.until = until
	}
	b.askedAt = now
	b.recovering = true
	return news
}

// active tells whether the back end wants no requests.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// onTrial tells whether one request is finding out whether the back end takes requests again. Others wait for it:
// sent along, all of them would be refused together if it doesn't.
func (b *backoff) onTrial(now time.Time) bool {
	return b.recovering && b.trial != nil && !b.active(now)
}

// backsOff tells whether the back end has asked for no requests now.
func (e *entry) backsOff(now time.Time) bool { return e.said.backsOff(now) }

// onTrial tells whether other requests have to wait for one that is under way there.
func (e *entry) onTrial(now time.Time) bool { return e.said != nil && e.said.backoff.onTrial(now) }

// picked notes that a request is sent to the back end. The first one after a backoff is its trial.
func (e *entry) picked(ticket *Ticket) {
	if e.said != nil && e.said.backoff.recovering && e.said.backoff.trial == nil {
		e.said.backoff.trial = ticket
	}
}

// endTrial ends the trial that the request was, if it was one. The caller holds the mutex.
func (t *Ticket) endTrial(now time.Time, took bool) {
	if t.entry.said == nil || t.entry.said.backoff.trial != t {
		return
	}
	backoff := &t.entry.said.backoff
	backoff.trial = nil
	backoff.recovering = !took || backoff.active(now)
}

// NextAvailableAt is when the first back end of a service takes requests again, where all that don't drain have asked for
// none or have no room under their limits; the zero time otherwise.
func (p *Pool) NextAvailableAt(now time.Time, service identity.ServiceName) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var first time.Time
	for _, found := range p.entriesOf(service) {
		if !found.listed() {
			continue
		}
		at := found.backAt(now)
		if at.IsZero() {
			return time.Time{}
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}
