// Package buffers accounts for the memory that a daemon buffers on behalf of its peers: incoming
// bodies, responses waiting to be read, and connections. It enforces bounds on them and decides
// which exchanges to terminate if they are exceeded. It performs no I/O and reads no clock;
// callers pass the current time.
//
// A slow client or backend makes the daemon buffer the data in transit. Without a bound, a few
// hundred of them exhaust the machine's memory, and all other requests are lost with the process.
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
	// minStall is how long a peer must have been stalled to be evicted. A healthy link recovers from a
	// packet loss within it.
	minStall = 2 * time.Second
	// minHealthyRate is the transfer rate in bytes per second from which a peer is never evicted: a
	// tenth of the slowest usual mobile link.
	minHealthyRate = 16 << 10
	// smallExchangeBytes is the most that an exchange may hold to use all of a bound. Larger ones
	// together get largeExchangeShare of it. Without this, large exchanges that have only just become
	// slow would crowd out all small requests.
	smallExchangeBytes = 64 << 10
	largeExchangeShare = 0.75
	// stallNotifyAfter is how long a peer must have been stalled before OnStall is called, so that
	// other peers are read ahead of it.
	stallNotifyAfter = 250 * time.Millisecond
	// maxExpiredStall is how long a slow peer may be stalled after its deadline before it is evicted.
	maxExpiredStall = 5 * time.Second
)

// Limits bound the buffered bytes. Zero is no bound.
type Limits struct {
	// Total applies to all exchanges and connections together, PerTenant to those of one tenant, and
	// PerExchange to each one.
	Total, PerTenant, PerExchange int64
}

// Scope identifies the bound that was reached.
type Scope string

// The scopes.
const (
	ScopeTotal    Scope = "daemon"
	ScopeTenant   Scope = "tenant"
	ScopeExchange Scope = "exchange"
	// ScopeExpired is used for an exchange past its deadline whose peer is stalled. No bound was
	// reached, but nobody waits for the exchange any more.
	ScopeExpired Scope = "expired"
)

// FullError reports that a bound was reached and that no exchange could be evicted to make space.
type FullError struct {
	Scope Scope
	// Held and Limit are in bytes.
	Held, Limit int64
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d bytes are held, of %d for a %s", e.Held, e.Limit, e.Scope)
}

// Eviction describes an exchange that was terminated to free memory or because its deadline has
// passed.
type Eviction struct {
	Scope  Scope
	Tenant identity.TenantName
	// Held is the number of bytes that were buffered for it. Waited is how long its peer had been
	// stalled, and Moved how many bytes the peer transferred in that time.
	Held, Moved int64
	Waited      time.Duration
}

// Usage summarizes what is buffered.
type Usage struct {
	// Held is in bytes, and Limit is the bound on it.
	Held, Limit int64
	// Exchanges is the number of open exchanges, and Waiting the number of those whose peer the daemon
	// is waiting for.
	Exchanges, Waiting int
	// Tenants lists the usage of each tenant, the largest first.
	Tenants []TenantUsage
}

// TenantUsage is the number of bytes buffered for one tenant.
type TenantUsage struct {
	Tenant identity.TenantName
	Held   int64
}

// Tracker accounts for the buffered bytes. It is safe for concurrent use.
type Tracker struct {
	limits Limits
	// onEvict is called, without the mutex, for each evicted exchange.
	onEvict func(Eviction)

	mutex    sync.Mutex
	held     int64
	byTenant map[identity.TenantName]int64
	open     map[*Exchange]bool
}

// NewTracker returns an empty tracker. onEvict is called for each evicted exchange unless it is
// nil. It must not block.
func NewTracker(limits Limits, onEvict func(Eviction)) *Tracker {
	if onEvict == nil {
		onEvict = func(Eviction) {}
	}
	return &Tracker{limits: limits, onEvict: onEvict, byTenant: map[identity.TenantName]int64{}, open: map[*Exchange]bool{}}
}

// Open starts accounting for an exchange. abort terminates the exchange; it is called at most once
// and must not block.
func (t *Tracker) Open(abort func()) *Exchange {
	made := &Exchange{tracker: t, abort: abort}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.open[made] = true
	return made
}

// add changes the usage of a tenant. The caller must hold the mutex.
func (t *Tracker) add(tenant identity.TenantName, bytes int64) {
	t.byTenant[tenant] += bytes
	if t.byTenant[tenant] == 0 {
		delete(t.byTenant, tenant)
	}
}

// victim is an evicted exchange that is still to be aborted.
type victim struct {
	Eviction
	exchange *Exchange
}

// evictSlowest evicts slow exchanges, the slowest first, until at most the given number of bytes
// is held. The caller must hold the mutex.
func (t *Tracker) evictSlowest(now time.Time, scope Scope, most int64, held func() int64, among func(*Exchange) bool) []victim {
	if held() <= most {
		return nil
	}
	var slow []slowExchange
	for other := range t.open {
		pace := other.progress.pace(now)
		if among(other) && other.held > 0 && pace.slow() {
			slow = append(slow, slowExchange{other, pace})
		}
	}
	slices.SortFunc(slow, func(left, right slowExchange) int {
		return cmp.Or(cmp.Compare(left.rate(), right.rate()), cmp.Compare(right.waited, left.waited))
	})
	var victims []victim
	for _, other := range slow {
		if held() <= most {
			break
		}
		victims = append(victims, t.evict(other.Exchange, scope, other.pace))
	}
	return victims
}

// evict stops accounting for an exchange. The caller must hold the mutex, and abort the exchange
// after releasing it.
func (t *Tracker) evict(exchange *Exchange, scope Scope, pace pace) victim {
	evicted := victim{exchange: exchange, Eviction: Eviction{
		Scope: scope, Tenant: exchange.tenant, Held: exchange.held, Moved: pace.moved, Waited: pace.waited,
	}}
	exchange.evicted = true
	t.close(exchange)
	return evicted
}

// slowExchange is a candidate for eviction.
type slowExchange struct {
	*Exchange
	pace
}

// Check reports stalled exchanges through their OnStall callbacks, and evicts stalled ones past
// their deadline. It should be called several times a second.
func (t *Tracker) Check(now time.Time) {
	victims, stalls := t.check(now)
	t.abort(victims)
	for _, report := range stalls {
		report()
	}
}

func (t *Tracker) check(now time.Time) (victims []victim, stalls []func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for exchange := range t.open {
		pace := exchange.progress.pace(now)
		switch {
		case pace.waited == 0:
		case pace.expired && pace.waited >= maxExpiredStall && pace.slow():
			victims = append(victims, t.evict(exchange, ScopeExpired, pace))
		default:
			if report := exchange.progress.stall(now); report != nil {
				stalls = append(stalls, report)
			}
		}
	}
	return victims, stalls
}

// abort terminates evicted exchanges and reports them. The caller must not hold the mutex.
func (t *Tracker) abort(victims []victim) {
	for _, each := range victims {
		each.exchange.abort()
		t.onEvict(each.Eviction)
	}
}

// close stops accounting for an exchange. The caller must hold the mutex.
func (t *Tracker) close(exchange *Exchange) {
	if exchange.closed {
		return
	}
	exchange.closed = true
	t.held -= exchange.held
	t.add(exchange.tenant, -exchange.held)
	delete(t.open, exchange)
}

// Usage returns the current usage.
func (t *Tracker) Usage() Usage {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	usage := Usage{Held: t.held, Limit: t.limits.Total, Exchanges: len(t.open)}
	for exchange := range t.open {
		if exchange.progress.isWaiting() {
			usage.Waiting++
		}
	}
	for tenant, held := range t.byTenant {
		if tenant != "" {
			usage.Tenants = append(usage.Tenants, TenantUsage{Tenant: tenant, Held: held})
		}
	}
	slices.SortFunc(usage.Tenants, func(left, right TenantUsage) int {
		return cmp.Or(cmp.Compare(right.Held, left.Held), cmp.Compare(left.Tenant, right.Tenant))
	})
	return usage
}
