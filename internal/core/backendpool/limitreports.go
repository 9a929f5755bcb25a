package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// A request limit applies to all daemons together. A daemon that sees a back end state, change or end its limit
// informs the others, so that they ask for a share before they send their first request there.

const (
	// limitShareInterval is how often a limit that responses still state is sent again, because the daemons
	// informed before may be gone.
	limitShareInterval = time.Second
	// endedLimitRetention is how long the end of a limit is reported.
	endedLimitRetention = 10 * time.Second
)

// BackendLimit is a back end's limit as daemons exchange it.
type BackendLimit struct {
	// Key is the hash of the back end's ID.
	Key   uint64
	Limit RequestLimit
}

// queueLimit queues a limit to be sent to other daemons if it has changed or wasn't sent recently. The caller holds
// the mutex.
func (p *Pool) queueLimit(now time.Time, id identity.BackendID, changed bool) {
	found := p.byID[id]
	if found == nil || found.notices == nil {
		return
	}
	limit := &found.notices.limit
	if limit.Version == 0 || (!changed && now.Sub(limit.sharedAt) < limitShareInterval) {
		return
	}
	limit.sharedAt = now
	p.pendingLimits[found.key] = true
	p.signalChange()
}

// TakeChangedLimits returns the limits queued for other daemons and clears the queue.
func (p *Pool) TakeChangedLimits() []BackendLimit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var limits []BackendLimit
	for key := range p.pendingLimits {
		if found := p.byKey[key]; found != nil {
			limits = append(limits, BackendLimit{Key: key, Limit: found.requestLimit()})
		}
	}
	clear(p.pendingLimits)
	return limits
}

// ReceiveLimits merges limits that another daemon knows. It returns the back ends whose limits changed.
func (p *Pool) ReceiveLimits(now time.Time, limits []BackendLimit) []identity.BackendID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var changed []identity.BackendID
	for _, each := range limits {
		found := p.byKey[each.Key]
		if found == nil || !each.Limit.supersedes(found.requestLimit()) {
			continue
		}
		if p.noticesOf(found.backend.ID, now).limit.replace(now, each.Limit) {
			changed = append(changed, found.backend.ID)
		}
	}
	return changed
}

// KnownLimits returns the limits of some back ends, by the hashes of their IDs, that are in force or have recently
// ended.
func (p *Pool) KnownLimits(now time.Time, keys []uint64) []BackendLimit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var known []BackendLimit
	for _, key := range keys {
		if found := p.byKey[key]; found != nil && found.sharesLimit(now) {
			known = append(known, BackendLimit{Key: key, Limit: found.requestLimit()})
		}
	}
	return known
}

// LimitsInForce returns all limits that are in force or have recently ended.
func (p *Pool) LimitsInForce(now time.Time) []BackendLimit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var known []BackendLimit
	for id, notices := range p.notices {
		if found := p.byID[id]; notices.limit.Version > 0 && found != nil && found.sharesLimit(now) {
			known = append(known, BackendLimit{Key: found.key, Limit: notices.limit.RequestLimit})
		}
	}
	return known
}

// sharesLimit reports whether the back end's limit is included in responses to other daemons.
func (e *entry) sharesLimit(now time.Time) bool {
	return e.notices != nil && e.notices.limit.Version > 0 && (e.notices.limit.InForce || now.Sub(e.notices.limit.changedAt) < endedLimitRetention)
}
