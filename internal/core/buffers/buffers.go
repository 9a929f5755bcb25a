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

// Eviction says that an exchange was ended: to make room, or since its time is over.
type Eviction struct {
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

// Tracker accounts for what is held. It is safe for use by several goroutines.
type Tracker struct {
	limits Limits
	// ended is told, without the mutex, of each exchange that was ended to make room.
	ended func(Eviction)

	mutex    sync.Mutex
	held     int64
	byTenant map[identity.TenantName]int64
	open     map[*Exchange]bool
}

// NewTracker makes an empty ledger. Ended is told of each exchange that is ended to make room; nil is not. It must not
// block.
func NewTracker(limits Limits, ended func(Eviction)) *Tracker {
	if ended == nil {
		ended = func(Eviction) {}
	}
	return &Tracker{limits: limits, ended: ended, byTenant: map[identity.TenantName]int64{}, open: map[*Exchange]bool{}}
}

// Open begins to account for an exchange. End breaks it off; it is called at most once and must not block.
func (l *Tracker) Open(end func()) *Exchange {
	made := &Exchange{ledger: l, end: end}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[made] = true
	return made
}

// add changes what is held for a tenant. The caller holds the mutex.
func (l *Tracker) add(tenant identity.TenantName, bytes int64) {
	l.byTenant[tenant] += bytes
	if l.byTenant[tenant] == 0 {
		delete(l.byTenant, tenant)
	}
}

// victim is an exchange that is ended to make room.
type victim struct {
	Eviction
	exchange *Exchange
}

// makeRoom ends exchanges until no more than a number of bytes is held, the slowest first. The caller holds the mutex.
func (l *Tracker) makeRoom(now time.Time, scope Scope, most int64, held func() int64, among func(*Exchange) bool) []victim {
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
func (l *Tracker) evict(exchange *Exchange, scope Scope, pace pace) victim {
	evicted := victim{exchange: exchange, Eviction: Eviction{
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

// Check tells of exchanges whose peers keep the daemon waiting, and ends those whose time is over. It is to be called a
// few times a second.
func (l *Tracker) Check(now time.Time) {
	ended, stalls := l.check(now)
	l.breakOff(ended)
	for _, tell := range stalls {
		tell()
	}
}

func (l *Tracker) check(now time.Time) (ended []victim, stalls []func()) {
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

// breakOff breaks off what was ended, and tells of it. It is for callers without the mutex.
func (l *Tracker) breakOff(ended []victim) {
	for _, each := range ended {
		each.exchange.end()
		l.ended(each.Eviction)
	}
}

// close is for callers that hold the mutex.
func (l *Tracker) close(exchange *Exchange) {
	if exchange.closed {
		return
	}
	exchange.closed = true
	l.held -= exchange.held
	l.add(exchange.tenant, -exchange.held)
	delete(l.open, exchange)
}

// Usage returns what is held now.
func (l *Tracker) Usage() Usage {
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
