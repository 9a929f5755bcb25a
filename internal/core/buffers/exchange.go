package buffers

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Exchange is one request with its answer, or one connection. A nil Exchange accounts for nothing.
type Exchange struct {
	ledger *Tracker
	// end breaks it off.
	end func()
	// progress is how the peer goes on. It has a mutex of its own, taken after the ledger's: each piece of an answer
	// notes it.
	progress progress

	// What follows is under the ledger's mutex.
	tenant identity.TenantName
	held   int64
	closed bool
	// evicted is set once it was ended here.
	evicted bool
}

// SetTenant tells whose exchange it is.
func (e *Exchange) SetTenant(tenant identity.TenantName) {
	if e == nil {
		return
	}
	e.ledger.mutex.Lock()
	defer e.ledger.mutex.Unlock()
	if e.closed || e.tenant == tenant {
		return
	}
	e.ledger.add(e.tenant, -e.held)
	e.tenant = tenant
	e.ledger.add(tenant, e.held)
}

// Reserve accounts for more bytes. Where that is beyond a bound, others are ended that have kept the daemon waiting for
// longest. It fails with *FullError where that isn't enough; nothing more is accounted for then.
func (e *Exchange) Reserve(now time.Time, bytes int64) error {
	if e == nil {
		return nil
	}
	ended, err := e.hold(now, bytes)
	e.ledger.breakOff(ended)
	return err
}

func (e *Exchange) hold(now time.Time, bytes int64) ([]victim, error) {
	ledger := e.ledger
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if e.closed {
		return nil, &FullError{Scope: ScopeExchange, Held: e.held}
	}
	if limit := ledger.limits.PerExchange; limit > 0 && e.held+bytes > limit {
		return nil, &FullError{Scope: ScopeExchange, Held: e.held, Limit: limit}
	}
	var ended []victim
	if limit := e.part(ledger.limits.PerTenant, bytes); limit > 0 && e.tenant != "" {
		held := func() int64 { return ledger.byTenant[e.tenant] }
		ended = ledger.makeRoom(now, ScopeTenant, limit-bytes, held, func(other *Exchange) bool { return other != e && other.tenant == e.tenant })
		if held()+bytes > limit {
			return ended, &FullError{Scope: ScopeTenant, Held: held(), Limit: limit}
		}
	}
	if limit := e.part(ledger.limits.Total, bytes); limit > 0 {
		held := func() int64 { return ledger.held }
		ended = append(ended, ledger.makeRoom(now, ScopeTotal, limit-bytes, held, func(other *Exchange) bool { return other != e })...)
		if held()+bytes > limit {
			return ended, &FullError{Scope: ScopeTotal, Held: held(), Limit: limit}
		}
	}
	e.held += bytes
	ledger.held += bytes
	ledger.add(e.tenant, bytes)
	return ended, nil
}

// part is how much of a bound the exchange may use to hold more bytes.
func (e *Exchange) part(limit, bytes int64) int64 {
	if e.held+bytes <= smallBytes {
		return limit
	}
	return int64(largeShare * float64(limit))
}

// Release accounts for bytes that are no longer held.
func (e *Exchange) Release(bytes int64) {
	if e == nil {
		return
	}
	e.ledger.mutex.Lock()
	defer e.ledger.mutex.Unlock()
	if e.closed {
		return
	}
	bytes = min(bytes, e.held)
	e.held -= bytes
	e.ledger.held -= bytes
	e.ledger.add(e.tenant, -bytes)
}

// StartWaiting notes that the peer keeps the daemon waiting from now on, to take bytes or to give some.
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

// RecordProgress notes that the peer has taken or given some bytes.
func (e *Exchange) RecordProgress(bytes int64) {
	if e == nil {
		return
	}
	e.progress.mutex.Lock()
	defer e.progress.mutex.Unlock()
	e.progress.moved += bytes
}

// StopWaiting notes that the peer has taken or given all there is.
func (e *Exchange) StopWaiting() {
	if e == nil {
		return
	}
	e.progress.mutex.Lock()
	defer e.progress.mutex.Unlock()
	e.progress.waitingSince, e.progress.told = time.Time{}, false
}

// SetDeadline tells when nobody waits for the exchange any more.
func (e *Exchange) SetDeadline(deadline time.Time) {
	if e == nil {
		return
	}
	e.progress.mutex.Lock()
	defer e.progress.mutex.Unlock()
	e.progress.deadline = deadline
}

// OnStall sets what is told, once for each time, that the peer keeps the daemon waiting for long. It must not block.
func (e *Exchange) OnStall(tell func()) {
	if e == nil {
		return
	}
	e.progress.mutex.Lock()
	defer e.progress.mutex.Unlock()
	e.progress.onStall = tell
}

// Evicted tells whether the exchange was ended to make room, or since its time is over.
func (e *Exchange) Evicted() bool {
	if e == nil {
		return false
	}
	e.ledger.mutex.Lock()
	defer e.ledger.mutex.Unlock()
	return e.evicted
}

// Close ends the account; nothing is held for the exchange any more.
func (e *Exchange) Close() {
	if e == nil {
		return
	}
	e.ledger.mutex.Lock()
	defer e.ledger.mutex.Unlock()
	e.ledger.close(e)
}
