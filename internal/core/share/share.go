// Package share divides each tenant's limits among the daemons without a central
// counter. Every daemon owns an equal part of every limit. One half of its part
// it always keeps; the other half it may lend, for a short lease, to a daemon
// with more demand. What is lent is not used by the lender until the lease has
// surely ended, so the shares in use never add up to more than the limit,
// whatever messages are lost, late or repeated and whoever restarts.
//
// It assumes that all daemons go by the same list of members, as the accepted
// configuration gives it, and that clocks run at the same rate within LeaseMargin
// over a LeaseDuration. Clocks need not agree.
package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// Times of leases.
const (
	// LeaseDuration is how long a borrower may use what it was lent.
	LeaseDuration = 2 * time.Second
	// LeaseMargin is how much longer the lender leaves it alone: the borrower's
	// shares change only with a tick, and clocks differ a little.
	LeaseMargin = 200 * time.Millisecond
	// TickInterval is the longest time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// demandWindow is the time over which demand is measured.
	demandWindow = 500 * time.Millisecond
	// idleAfter is when a tenant without requests is forgotten.
	idleAfter = 10 * time.Second
	// asksPerTick is how many daemons are asked for a tenant in one tick.
	asksPerTick = 2
	// headroom is the demand that is provided for, as a multiple of the measured.
	headroom = 1.2
)

// Sharer holds one daemon's shares. It is not safe for concurrent use.
type Sharer struct {
	self      identity.DaemonID
	startedAt time.Time
	members   []identity.DaemonID
	limits    map[identity.TenantName]scheduler.TenantLimit
	order     []identity.TenantName
	accounts  map[identity.TenantName]*account
	asks      uint64
	changed   bool
	// grants are for the next tick.
	grants []Outgoing
}

// account is what is kept of a tenant with recent requests, or lent or borrowed.
type account struct {
	demand     Amount
	tokens     float64
	measuredAt time.Time
	seenAt     time.Time
	lent       []lease
	borrowed   []lease
	asked      map[uint64]time.Time
	nextMember int
	usable     Amount
}

// lease is an amount that is lent or borrowed until a time of our own clock.
type lease struct {
	amount Amount
	until  time.Time
}

// New makes a sharer. A daemon that has restarted may have lent parts that it
// has forgotten, so that it uses and lends only what it never lends until every
// lease of its earlier life has ended.
func New(self identity.DaemonID, now time.Time) *Sharer {
	return &Sharer{
		self:      self,
		startedAt: now,
		// Numbers of an earlier life must not come again: its late grants would count.
		asks:     uint64(now.UnixNano()),
		limits:   make(map[identity.TenantName]scheduler.TenantLimit),
		accounts: make(map[identity.TenantName]*account),
	}
}

// SetMembers replaces the list of daemons that own a part of the limits.
func (s *Sharer) SetMembers(members []identity.DaemonID) {
	s.members = slices.Clone(members)
	slices.Sort(s.members)
	s.changed = true
}

// SetLimits replaces the tenants' limits, which hold over all daemons together.
func (s *Sharer) SetLimits(limits []scheduler.TenantLimit) {
	clear(s.limits)
	s.order = s.order[:0]
	for _, limit := range limits {
		s.limits[limit.Tenant] = limit
		s.order = append(s.order, limit.Tenant)
	}
	for tenant := range s.accounts {
		if _, known := s.limits[tenant]; !known {
			delete(s.accounts, tenant)
		}
	}
	s.changed = true
}

// Observe takes a request of a tenant, whether it was admitted or not, with its
// tokens and how many of the tenant's requests are here together with it.
func (s *Sharer) Observe(now time.Time, tenant identity.TenantName, tokens, concurrent int) {
	if !limited(s.limits[tenant]) {
		return
	}
	used := s.account(tenant, now)
	used.seenAt = now
	used.tokens += float64(tokens)
	used.demand.Concurrent = max(used.demand.Concurrent, concurrent)
}

func limited(limit scheduler.TenantLimit) bool {
	return limit.TokensPerSecond > 0 || limit.ConcurrentRequests > 0
}

func (s *Sharer) account(tenant identity.TenantName, now time.Time) *account {
	used := s.accounts[tenant]
	if used == nil {
		used = &account{measuredAt: now, seenAt: now, asked: make(map[uint64]time.Time)}
		s.accounts[tenant] = used
	}
	return used
}

// part is what this daemon owns of a tenant's limits: the half that it always
// keeps, and the half that it may lend.
func (s *Sharer) part(tenant identity.TenantName) (kept, lendable Amount) {
	position, member := slices.BinarySearch(s.members, s.self)
	if !member {
		return Amount{}, Amount{}
	}
	count := len(s.members)
	limit := s.limits[tenant]
	tokens := limit.TokensPerSecond / float64(count)
	// What cannot be divided goes to other members for each tenant.
	shift := int(rendezvous.Key(string(tenant)) % uint64(count))
	whole := limit.ConcurrentRequests / count
	if (position+shift)%count < limit.ConcurrentRequests%count {
		whole++
	}
	kept = Amount{TokensPerSecond: tokens / 2, Concurrent: whole / 2}
	lendable = Amount{TokensPerSecond: tokens / 2, Concurrent: whole - kept.Concurrent}
	return kept, lendable
}

// quarantined tells whether leases of an earlier life may be in use.
func (s *Sharer) quarantined(now time.Time) bool {
	return now.Before(s.startedAt.Add(LeaseDuration + LeaseMargin))
}

// unlent is what is left of the half that may be lent.
func (s *Sharer) unlent(now time.Time, tenant identity.TenantName) Amount {
	if s.quarantined(now) {
		return Amount{}
	}
	_, lendable := s.part(tenant)
	if used := s.accounts[tenant]; used != nil {
		lendable = lendable.minus(total(used.lent, now))
	}
	return lendable
}

// Usable is what this daemon may use of a tenant's limits now.
func (s *Sharer) Usable(now time.Time, tenant identity.TenantName) Amount {
	kept, _ := s.part(tenant)
	usable := kept.plus(s.unlent(now, tenant))
	if used := s.accounts[tenant]; used != nil {
		usable = usable.plus(total(used.borrowed, now))
	}
	return usable
}

func total(leases []lease, now time.Time) Amount {
	var sum Amount
	for _, held := range leases {
		if now.Before(held.until) {
			sum = sum.plus(held.amount)
		}
	}
	return sum
}

func dropEnded(leases []lease, now time.Time) []lease {
	return slices.DeleteFunc(leases, func(held lease) bool { return !now.Before(held.until) })
}

// sortedAccounts lists the tenants with accounts in a fixed order.
func (s *Sharer) sortedAccounts() []identity.TenantName {
	tenants := make([]identity.TenantName, 0, len(s.accounts))
	for tenant := range s.accounts {
		tenants = append(tenants, tenant)
	}
	slices.SortFunc(tenants, cmp.Compare[identity.TenantName])
	return tenants
}
