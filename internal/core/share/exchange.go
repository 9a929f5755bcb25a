package share

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// noneAllowed is the concurrency of a daemon that has no part of a limit; zero
// would mean no limit.
const noneAllowed = -1

// Tick measures demand and asks for what is missing. It returns the shares of all
// tenants when one of them has changed, and the messages to send. The shares must
// be in force before the messages are sent, since a grant in them is no longer
// ours. Tick has to be called at least every TickInterval.
func (s *Sharer) Tick(now time.Time) ([]scheduler.TenantLimit, []Outgoing) {
	outgoing := s.grants
	s.grants = nil
	for _, tenant := range s.sortedAccounts() {
		used := s.accounts[tenant]
		used.measure(now)
		used.lent = dropEnded(used.lent, now)
		used.borrowed = dropEnded(used.borrowed, now)
		used.forgetAsks(now)
		if now.After(used.seenAt.Add(idleAfter)) && len(used.lent)+len(used.borrowed) == 0 {
			delete(s.accounts, tenant)
			s.changed = true
			continue
		}
		outgoing = append(outgoing, s.askFor(now, tenant, used)...)
		s.noteUsable(now, tenant, used)
	}
	return s.takeLimits(now), outgoing
}

// measure turns the tokens seen since the last measurement into demand.
func (a *account) measure(now time.Time) {
	elapsed := now.Sub(a.measuredAt)
	if elapsed < demandWindow {
		return
	}
	rate := a.tokens / elapsed.Seconds()
	a.demand.TokensPerSecond = (a.demand.TokensPerSecond + rate) / 2
	if a.tokens == 0 {
		a.demand.Concurrent /= 2
	}
	a.tokens = 0
	a.measuredAt = now
}

// forgetAsks drops asks whose grants would have ended on arrival.
func (a *account) forgetAsks(now time.Time) {
	for number, sentAt := range a.asked {
		if !now.Before(sentAt.Add(LeaseDuration)) {
			delete(a.asked, number)
		}
	}
}

// askFor asks some members for what a tenant's demand is short of. Leases that
// are about to end do not count, so that they are replaced in time.
func (s *Sharer) askFor(now time.Time, tenant identity.TenantName, used *account) []Outgoing {
	wanted := Amount{
		TokensPerSecond: used.demand.TokensPerSecond * headroom,
		Concurrent:      used.demand.Concurrent,
	}
	soon := now.Add(LeaseDuration / 4)
	kept, _ := s.part(tenant)
	sure := kept.plus(s.unlent(now, tenant)).plus(total(used.borrowed, soon))
	missing := wanted.minus(sure)
	if missing.isNothing() || len(s.members) < 2 {
		return nil
	}
	var outgoing []Outgoing
	for range min(asksPerTick, len(s.members)-1) {
		asked := s.nextMember(used)
		s.asks++
		used.asked[s.asks] = now
		ask := Ask{Tenant: tenant, Number: s.asks, Wanted: missing}
		outgoing = append(outgoing, Outgoing{To: asked, Message: Message{Asks: []Ask{ask}}})
	}
	return outgoing
}

// nextMember returns the other members in turn.
func (s *Sharer) nextMember(used *account) identity.DaemonID {
	for {
		used.nextMember = (used.nextMember + 1) % len(s.members)
		if asked := s.members[used.nextMember]; asked != s.self {
			return asked
		}
	}
}

// Handle takes a message of another daemon. The answer comes with the next Tick.
func (s *Sharer) Handle(now time.Time, from identity.DaemonID, message Message) {
	for _, grant := range message.Grants {
		s.takeGrant(now, grant)
	}
	var grants []Grant
	for _, ask := range message.Asks {
		if grant, given := s.lend(now, ask); given {
			grants = append(grants, grant)
		}
	}
	if len(grants) > 0 {
		s.grants = append(s.grants, Outgoing{To: from, Message: Message{Grants: grants}})
	}
}

// lend gives what this daemon does not need itself. It counts as lent from now
// on, whether or not the grant arrives.
func (s *Sharer) lend(now time.Time, ask Ask) (Grant, bool) {
	if !limited(s.limits[ask.Tenant]) {
		return Grant{}, false
	}
	own := Amount{}
	if used := s.accounts[ask.Tenant]; used != nil {
		own = used.demand
	}
	kept, _ := s.part(ask.Tenant)
	unlent := s.unlent(now, ask.Tenant)
	spare := kept.plus(unlent).minus(own)
	lent := spare.least(unlent).least(ask.Wanted)
	if lent.isNothing() {
		return Grant{}, false
	}
	used := s.account(ask.Tenant, now)
	used.lent = append(used.lent, lease{amount: lent, until: now.Add(LeaseDuration + LeaseMargin)})
	s.noteUsable(now, ask.Tenant, used)
	return Grant{Tenant: ask.Tenant, Number: ask.Number, Lent: lent}, true
}

// takeGrant counts a grant once. Its lease runs from our ask, which was before
// the lender's.
func (s *Sharer) takeGrant(now time.Time, grant Grant) {
	used := s.accounts[grant.Tenant]
	if used == nil {
		return
	}
	askedAt, open := used.asked[grant.Number]
	if !open {
		return
	}
	delete(used.asked, grant.Number)
	used.borrowed = append(used.borrowed, lease{amount: grant.Lent, until: askedAt.Add(LeaseDuration)})
	s.noteUsable(now, grant.Tenant, used)
}

func (s *Sharer) noteUsable(now time.Time, tenant identity.TenantName, used *account) {
	usable := s.Usable(now, tenant)
	if usable != used.usable {
		used.usable = usable
		s.changed = true
	}
}

// takeLimits returns the shares of all tenants when one has changed.
func (s *Sharer) takeLimits(now time.Time) []scheduler.TenantLimit {
	if !s.changed {
		return nil
	}
	s.changed = s.quarantined(now)
	limits := make([]scheduler.TenantLimit, 0, len(s.order))
	for _, tenant := range s.order {
		limits = append(limits, s.shareOf(now, tenant))
	}
	return limits
}

func (s *Sharer) shareOf(now time.Time, tenant identity.TenantName) scheduler.TenantLimit {
	share := s.limits[tenant]
	usable := s.Usable(now, tenant)
	if share.TokensPerSecond > 0 {
		share.TokensPerSecond = usable.TokensPerSecond
	}
	if share.ConcurrentRequests > 0 {
		share.ConcurrentRequests = usable.Concurrent
		if usable.Concurrent == 0 {
			share.ConcurrentRequests = noneAllowed
		}
	}
	return share
}
