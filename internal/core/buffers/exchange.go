package buffers

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Exchange is a request with its response, or a connection. Methods of a nil Exchange do nothing.
type Exchange struct {
	tracker *Tracker
	// abort terminates the exchange.
	abort func()
	// progress tracks the peer's transfer rate. It has its own mutex, acquired after the tracker's,
	// because every chunk of a response updates it.
	progress progress

	// The fields below are protected by the tracker's mutex.
	tenant identity.TenantName
	held   int64
	closed bool
	// evicted is set once the tracker has evicted the exchange.
	evicted bool
}

// SetTenant sets the tenant to which the exchange belongs.
func (e *Exchange) SetTenant(tenant identity.TenantName) {
	if e == nil {
		return
	}
	e.tracker.mutex.Lock()
	defer e.tracker.mutex.Unlock()
	if e.closed || e.tenant == tenant {
		return
	}
	e.tracker.add(e.tenant, -e.held)
	e.tenant = tenant
	e.tracker.add(tenant, e.held)
}

// Reserve accounts for more buffered bytes. If that exceeds a bound, the slowest exchanges are
// evicted. If that doesn't free enough, it fails with a *FullError and reserves nothing.
func (e *Exchange) Reserve(now time.Time, bytes int64) error {
	if e == nil {
		return nil
	}
	victims, err := e.reserve(now, bytes)
	e.tracker.abort(victims)
	return err
}

func (e *Exchange) reserve(now time.Time, bytes int64) ([]victim, error) {
	tracker := e.tracker
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if e.closed {
		return nil, &FullError{Scope: ScopeExchange, Held: e.held}
	}
	if limit := tracker.limits.PerExchange; limit > 0 && e.held+bytes > limit {
		return nil, &FullError{Scope: ScopeExchange, Held: e.held, Limit: limit}
	}
	var victims []victim
	if limit := e.usableLimit(tracker.limits.PerTenant, bytes); limit > 0 && e.tenant != "" {
		held := func() int64 { return tracker.byTenant[e.tenant] }
		victims = tracker.evictSlowest(now, ScopeTenant, limit-bytes, held, func(other *Exchange) bool { return other != e && other.tenant == e.tenant })
		if held()+bytes > limit {
			return victims, &FullError{Scope: ScopeTenant, Held: held(), Limit: limit}
		}
	}
	if limit := e.usableLimit(tracker.limits.Total, bytes); limit > 0 {
		held := func() int64 { return tracker.held }
		victims = append(victims, tracker.evictSlowest(now, ScopeTotal, limit-bytes, held, func(other *Exchange) bool { return other != e })...)
		if held()+bytes > limit {
			return victims, &FullError{Scope: ScopeTotal, Held: held(), Limit: limit}
		}
	}
	e.held += bytes
	tracker.held += bytes
	tracker.add(e.tenant, bytes)
	return victims, nil
}

// usableLimit returns how much of a bound the exchange may use to hold the additional bytes.
func (e *Exchange) usableLimit(limit, bytes int64) int64 {
	if e.held+bytes <= smallExchangeBytes {
		return limit
	}
	return int64(largeExchangeShare * float64(limit))
}

// Release accounts for bytes that are no longer buffered.
func (e *Exchange) Release(bytes int64) {
	if e == nil {
		return
	}
	e.tracker.mutex.Lock()
	defer e.tracker.mutex.Unlock()
	if e.closed {
		return
	}
	bytes = min(bytes, e.held)
	e.held -= bytes
	e.tracker.held -= bytes
	e.tracker.add(e.tenant, -bytes)
}

// StartWaiting records that the daemon now waits for the peer to receive or send bytes.
func (e *Exchange) StartWaiting(now time.Time) {
	if e == nil {
		return
	}
	e.progress.mutex.Lock()
	defer e.progress.mutex.Unlock()
	if e.progress.waitingSince.IsZero() {
		e.progress.waitingSince, e.progress.moved = now, 0
	}
}

// RecordProgress records that the peer has received or sent some bytes.
func (e *Exchange) RecordProgress(bytes int64) {
	if e == nil {
		return
	}
	e.progress.mutex.Lock()
	defer e.progress.mutex.Unlock()
	e.progress.moved += bytes
}

// StopWaiting records that the peer has received or sent everything available.
func (e *Exchange) StopWaiting() {
	if e == nil {
		return
	}
	e.progress.mutex.Lock()
	defer e.progress.mutex.Unlock()
	e.progress.waitingSince, e.progress.stallReported = time.Time{}, false
}

// SetDeadline sets the time after which nobody waits for the exchange any more.
func (e *Exchange) SetDeadline(deadline time.Time) {
	if e == nil {
		return
	}
	e.progress.mutex.Lock()
	defer e.progress.mutex.Unlock()
	e.progress.deadline = deadline
}

// OnStall sets a callback that is called once per wait in which the peer is stalled for longer
// than stallNotifyAfter. It must not block.
func (e *Exchange) OnStall(report func()) {
	if e == nil {
		return
	}
	e.progress.mutex.Lock()
	defer e.progress.mutex.Unlock()
	e.progress.onStall = report
}

// Evicted reports whether the exchange was evicted to free memory or because its deadline has
// passed.
func (e *Exchange) Evicted() bool {
	if e == nil {
		return false
	}
	e.tracker.mutex.Lock()
	defer e.tracker.mutex.Unlock()
	return e.evicted
}

// Close ends the accounting and releases all bytes of the exchange.
func (e *Exchange) Close() {
	if e == nil {
		return
	}
	e.tracker.mutex.Lock()
	defer e.tracker.mutex.Unlock()
	e.tracker.close(e)
}
