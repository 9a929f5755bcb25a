// Package buffers accounts for the memory that a daemon holds for others: bodies on their way in, answers that wait
// to be read, and connections. It bounds them together, and decides whom to end where they are too much. It does no I/O
// and reads no clock; each call carries the time.
//
// A caller that reads slowly, or a back end that does, makes the daemon hold what it has for it. Without a bound a few
// hundred of them take all of a machine's memory, and all others are lost with the process.
package buffers

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

const (
	// leastStall is how long a peer must have kept the daemon waiting to be ended for room. A loss on a sound link
	// is made up for within it.
	leastStall = 2 * time.Second
	// healthyRate is how many bytes a second a peer moves that is never ended for room: a tenth of the slowest usual
	// mobile link.
	healthyRate = 16 << 10
	// smallBytes is the most that an exchange may hold to use all of a bound. Larger ones together get largeShare of it:
	// those that have only begun to be slow would otherwise crowd out all small requests.
	smallBytes = 64 << 10
	largeShare = 0.75
	// stallNotice is how long a peer must have kept the daemon waiting for others to be read ahead of it.
	stallNotice = 250 * time.Millisecond
	// expiredStall is how long a slow peer must have kept the daemon waiting to be ended once its time is over.
	expiredStall = 5 * time.Second
)

// Limits bound what is held, in bytes. Zero is no bound.
type Limits struct {
	// Total is of all exchanges and connections together, PerTenant of those of one tenant, and PerExchange of one.
	Total, PerTenant, PerExchange int64
}

// Scope says which bound was reached.
type Scope string

// The scopes.
const (
	ScopeTotal    Scope = "daemon"
	ScopeTenant   Scope = "tenant"
	ScopeExchange Scope = "exchange"
	// ScopeExpired is of an exchange whose time is over and whose peer takes nothing: there is no bound, but nobody
	// waits for it either.
	ScopeExpired Scope = "expired"
)

// FullError says that no more may be held, and that nobody could be ended for it.
type FullError struct {
	Scope Scope
	// Held and Limit are in bytes.
	Held, Limit int64
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d bytes are held, of %d for a %s", e.Held, e.Limit, e.Scope)
}

// Ended says that an exchange was ended: to make room, or since its time is over.
type Ended struct {
	Scope  Scope
	Tenant identity.TenantName
	// Held is what was held for it, in bytes; Waited is for how long its peer had kept the daemon waiting, and Moved how
	// many bytes the peer had taken or given meanwhile.
	Held, Moved int64
	Waited      time.Duration
}

// Usage sums up what is held.
type Usage struct {
	// Held is in bytes, and Limit the bound on it.
	Held, Limit int64
	// Exchanges are all that are open, and Waiting those whose peers keep the daemon waiting.
	Exchanges, Waiting int
	// Tenants is what is held for each tenant, the most first.
	Tenants []TenantUsage
}

// TenantUsage is what is held for one tenant, in bytes.
type TenantUsage struct {
	Tenant identity.TenantName
	Held   int64
}

// Ledger accounts for what is held. It is safe for use by several goroutines.
type Ledger struct {
	limits Limits
	// ended is told, without the mutex, of each exchange that was ended to make room.
	ended func(Ended)

	mutex    sync.Mutex
	held     int64
	byTenant map[identity.TenantName]int64
	open     map[*Exchange]bool
}

// NewLedger makes an empty ledger. Ended is told of each exchange that is ended to make room; nil is not. It must not
// block.
func NewLedger(limits Limits, ended func(Ended)) *Ledger {
	if ended == nil {
		ended = func(Ended) {}
	}
	return &Ledger{limits: limits, ended: ended, byTenant: map[identity.TenantName]int64{}, open: map[*Exchange]bool{}}
}

// Exchange is one request with its answer, or one connection. A nil Exchange accounts for nothing.
type Exchange struct {
	ledger *Ledger
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

// progress is how far a peer keeps the daemon waiting.
type progress struct {
	mutex sync.Mutex
	// waitingSince is since when it does, zero while it doesn't; moved is how many bytes it has taken or given since
	// then.
	waitingSince time.Time
	moved        int64
	// deadline is when nobody waits for the exchange any more; zero is never.
	deadline time.Time
	// onStall is told once of each long wait; told is set then.
	onStall func()
	told    bool
}

// Open begins to account for an exchange. End breaks it off; it is called at most once and must not block.
func (l *Ledger) Open(end func()) *Exchange {
	made := &Exchange{ledger: l, end: end}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[made] = true
	return made
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

// add changes what is held for a tenant. The caller holds the mutex.
func (l *Ledger) add(tenant identity.TenantName, bytes int64) {
	l.byTenant[tenant] += bytes
	if l.byTenant[tenant] == 0 {
		delete(l.byTenant, tenant)
	}
}

// Hold accounts for more bytes. Where that is beyond a bound, others are ended that have kept the daemon waiting for
// longest. It fails with *FullError where that isn't enough; nothing more is accounted for then.
func (e *Exchange) Hold(now time.Time, bytes int64) error {
	if e == nil {
		return nil
	}
	ended, err := e.hold(now, bytes)
	for _, each := range ended {
		each.exchange.end()
		e.ledger.ended(each.Ended)
	}
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

// victim is an exchange that is ended to make room.
type victim struct {
	Ended
	exchange *Exchange
}

// makeRoom ends exchanges until no more than a number of bytes is held, the slowest first. The caller holds the mutex.
func (l *Ledger) makeRoom(now time.Time, scope Scope, most int64, held func() int64, among func(*Exchange) bool) []victim {
	if held() <= most {
		return nil
	}
	var slow []slowExchange
	for other := range l.open {
		pace := other.progress.pace(now)
		if among(other) && other.held > 0 && pace.slow() {
			slow = append(slow, slowExchange{other, pace})
		}
	}
	slices.SortFunc(slow, func(left, right slowExchange) int {
		return cmp.Or(cmp.Compare(left.rate(), right.rate()), cmp.Compare(right.waited, left.waited))
	})
	var ended []victim
	for _, other := range slow {
		if held() <= most {
			break
		}
		ended = append(ended, l.evict(other.Exchange, scope, other.pace))
	}
	return ended
}

// evict ends an exchange here. The caller holds the mutex, and breaks the exchange off afterwards.
func (l *Ledger) evict(exchange *Exchange, scope Scope, pace pace) victim {
	evicted := victim{exchange: exchange, Ended: Ended{
		Scope: scope, Tenant: exchange.tenant, Held: exchange.held, Moved: pace.moved, Waited: pace.waited,
	}}
	exchange.evicted = true
	l.close(exchange)
	return evicted
}

// slowExchange is an exchange that may be ended for room.
type slowExchange struct {
	*Exchange
	pace
}

// pace is how a peer went on up to a moment. Waited is zero where it doesn't keep the daemon waiting.
type pace struct {
	waited  time.Duration
	moved   int64
	expired bool
}

func (p *progress) waits() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.waitingSince.IsZero()
}

func (p *progress) pace(now time.Time) pace {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.waitingSince.IsZero() {
		return pace{}
	}
	return pace{
		waited: now.Sub(p.waitingSince), moved: p.moved, expired: !p.deadline.IsZero() && now.After(p.deadline),
	}
}

// slow tells whether the peer may be ended for room.
func (p pace) slow() bool { return p.waited >= leastStall && p.rate() < healthyRate }

// rate is how many bytes a second the peer has moved since it keeps the daemon waiting.
func (p pace) rate() float64 {
	return float64(p.moved) / max(p.waited.Seconds(), time.Millisecond.Seconds())
}

// stall returns what is to be told of a long wait, the first time; nil otherwise.
func (p *progress) stall(now time.Time) func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.told || p.onStall == nil || p.waitingSince.IsZero() || now.Sub(p.waitingSince) < stallNotice {
		return nil
	}
	p.told = true
	return p.onStall
}

// Check tells of exchanges whose peers keep the daemon waiting, and ends those whose time is over. It is to be called a
// few times a second.
func (l *Ledger) Check(now time.Time) {
	ended, stalls := l.check(now)
	for _, each := range ended {
		each.exchange.end()
		l.ended(each.Ended)
	}
	for _, tell := range stalls {
		tell()
	}
}

func (l *Ledger) check(now time.Time) (ended []victim, stalls []func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for exchange := range l.open {
		pace := exchange.progress.pace(now)
		switch {
		case pace.waited == 0:
		case pace.expired && pace.waited >= expiredStall && pace.slow():
			ended = append(ended, l.evict(exchange, ScopeExpired, pace))
		default:
			if tell := exchange.progress.stall(now); tell != nil {
				stalls = append(stalls, tell)
			}
		}
	}
	return ended, stalls
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

// Waits notes that the peer keeps the daemon waiting from now on, to take bytes or to give some.
func (e *Exchange) Waits(now time.Time) {
	if e == nil {
		return
	}
	e.progress.mutex.Lock()
	defer e.progress.mutex.Unlock()
	if e.progress.waitingSince.IsZero() {
		e.progress.waitingSince, e.progress.moved = now, 0
	}
}

// Moved notes that the peer has taken or given some bytes.
func (e *Exchange) Moved(bytes int64) {
	if e == nil {
		return
	}
	e.progress.mutex.Lock()
	defer e.progress.mutex.Unlock()
	e.progress.moved += bytes
}

// Ready notes that the peer has taken or given all there is.
func (e *Exchange) Ready() {
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

// close is for callers that hold the mutex.
func (l *Ledger) close(exchange *Exchange) {
	if exchange.closed {
		return
	}
	exchange.closed = true
	l.held -= exchange.held
	l.add(exchange.tenant, -exchange.held)
	delete(l.open, exchange)
}

// Usage returns what is held now.
func (l *Ledger) Usage() Usage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	usage := Usage{Held: l.held, Limit: l.limits.Total, Exchanges: len(l.open)}
	for exchange := range l.open {
		if exchange.progress.waits() {
			usage.Waiting++
		}
	}
	for tenant, held := range l.byTenant {
		if tenant != "" {
			usage.Tenants = append(usage.Tenants, TenantUsage{Tenant: tenant, Held: held})
		}
	}
	slices.SortFunc(usage.Tenants, func(left, right TenantUsage) int {
		return cmp.Or(cmp.Compare(right.Held, left.Held), cmp.Compare(left.Tenant, right.Tenant))
	})
	return usage
}
