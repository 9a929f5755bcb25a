package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// A limit of requests is of all daemons together. A daemon that hears a back end name, change or end one tells others, so
// that they ask for a part of it before they send their first request there.

const (
	// limitTellInterval is how often a limit is told again that is still named in answers: who was told may be gone.
	limitTellInterval = time.Second
	// endedLimitTime is how long it is told that a limit has ended.
	endedLimitTime = 10 * time.Second
)

// BackendLimit is the limit of a back end as daemons tell it.
type BackendLimit struct {
	// Key is the hash of the back end's ID.
	Key   uint64
	Limit RequestLimit
}

// leaveLimitToTell has others told of a limit that was just heard of, where that is news or they were not told lately. The
// caller holds the mutex.
func (p *Pool) leaveLimitToTell(now time.Time, id identity.BackendID, news bool) {
	found := p.byID[id]
	if found == nil || found.said == nil {
		return
	}
	limit := &found.said.limit
	if limit.Version == 0 || (!news && now.Sub(limit.toldAt) < limitTellInterval) {
		return
	}
	limit.toldAt = now
	p.limitsToTell[found.key] = true
	p.signalChange()
}

// TakeChangedLimits returns the limits that other daemons are to be told of since the last call.
func (p *Pool) TakeChangedLimits() []BackendLimit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var told []BackendLimit
	for key := range p.limitsToTell {
		if found := p.byKey[key]; found != nil {
			told = append(told, BackendLimit{Key: key, Limit: found.requestLimit()})
		}
	}
	clear(p.limitsToTell)
	return told
}

// ReceiveLimits takes in what another daemon knows of limits. It returns the back ends of which that was news.
func (p *Pool) ReceiveLimits(now time.Time, told []BackendLimit) []identity.BackendID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var news []identity.BackendID
	for _, each := range told {
		found := p.byKey[each.Key]
		if found == nil || !each.Limit.supersedes(found.requestLimit()) {
			continue
		}
		if p.saidBy(found.backend.ID, now).limit.replace(now, each.Limit) {
			news = append(news, found.backend.ID)
		}
	}
	return news
}

// KnownLimits returns what this daemon knows of the limits of some back ends, by the hashes of their IDs: those that are
// in force, or have just ended.
func (p *Pool) KnownLimits(now time.Time, keys []uint64) []BackendLimit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var known []BackendLimit
	for _, key := range keys {
		if found := p.byKey[key]; found != nil && found.tellsLimit(now) {
			known = append(known, BackendLimit{Key: key, Limit: found.requestLimit()})
		}
	}
	return known
}

// LimitsInForce returns all limits that are in force, or have just ended.
func (p *Pool) LimitsInForce(now time.Time) []BackendLimit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var known []BackendLimit
	for id, said := range p.said {
		if found := p.byID[id]; said.limit.Version > 0 && found != nil && found.tellsLimit(now) {
			known = append(known, BackendLimit{Key: found.key, Limit: said.limit.RequestLimit})
		}
	}
	return known
}

// tellsLimit tells whether others that ask are to be told of the back end's limit.
func (e *entry) tellsLimit(now time.Time) bool {
	return e.said != nil && e.said.limit.Version > 0 && (e.said.limit.InForce || now.Sub(e.said.limit.changedAt) < endedLimitTime)
}
