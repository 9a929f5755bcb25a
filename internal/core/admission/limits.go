package admission

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Limits of the tenants' token buckets and refusals.
const (
	// burst is how long a tenant's unused token rate is kept for later.
	burst = 2 * time.Second
	// minRetryAfter is the least time that a refusal asks a caller to wait.
	minRetryAfter = 50 * time.Millisecond
	// typicalDuration is taken for a request's duration until some have ended.
	typicalDuration = time.Second
	// durationSmoothing is the weight of the newest duration in the mean.
	durationSmoothing = 0.1
)

// TenantShare is this daemon's share of a tenant's limits.
type TenantShare struct {
	Tenant             identity.TenantName
	Weight             float64
	TokensPerSecond    float64 // zero: no limit
	ConcurrentRequests int     // zero: no limit; negative: none allowed now
}

// Verdict is the outcome of an admission check.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota
	OverTokenRate
	OverConcurrency
)

// account is what one tenant uses.
type account struct {
	share    TenantShare
	known    bool
	level    float64 // tokens in the bucket; negative is debt
	filledAt time.Time
	active   int
	duration time.Duration
}

// Limits holds the tenants' use of this daemon's shares.
type Limits struct {
	accounts map[identity.TenantName]*account
}

// NewLimits makes limits that allow everything.
func NewLimits() *Limits {
	return &Limits{accounts: make(map[identity.TenantName]*account)}
}

// SetShares replaces the shares. Use so far is kept.
func (l *Limits) SetShares(now time.Time, shares []TenantShare) {
	for _, used := range l.accounts {
		used.refill(now)
		used.known = false
	}
	for _, share := range shares {
		used := l.account(share.Tenant)
		if used.filledAt.IsZero() {
			used.filledAt = now
			used.level = share.bucketSize()
		}
		used.share = share
		used.known = true
		used.level = min(used.level, share.bucketSize())
	}
	for name, used := range l.accounts {
		if used.known {
			continue
		}
		used.share = TenantShare{Tenant: name}
		if used.active == 0 {
			delete(l.accounts, name)
		}
	}
}

// Weight is the tenant's weight in fair queueing.
func (l *Limits) Weight(tenant identity.TenantName) float64 {
	if used := l.accounts[tenant]; used != nil && used.share.Weight > 0 {
		return used.share.Weight
	}
	return 1
}

// Admit charges a request to its tenant, or says what it is over and when to
// come back. Each admitted request needs one Release.
func (l *Limits) Admit(now time.Time, tenant identity.TenantName, tokens int) (Verdict, time.Duration) {
	used := l.account(tenant)
	used.refill(now)
	if limit := used.share.ConcurrentRequests; limit != 0 && used.active >= limit {
		return OverConcurrency, max(minRetryAfter, used.meanDuration()/time.Duration(max(1, limit)))
	}
	if rate := used.share.TokensPerSecond; rate > 0 {
		// A request larger than the bucket waits for a full one and leaves a debt.
		needed := min(float64(tokens), used.share.bucketSize())
		if missing := needed - used.level; missing > 0 {
			return OverTokenRate, max(minRetryAfter, seconds(missing/rate))
		}
		used.level -= float64(tokens)
	}
	used.active++
	return Admitted, 0
}

// Rejoin counts a later attempt of a request that was admitted before and has
// been released. It is never refused.
func (l *Limits) Rejoin(tenant identity.TenantName) { l.account(tenant).active++ }

// Release ends an admitted request. Tokens that it was charged and did not use
// go back into the bucket; a zero duration says that it did not run.
func (l *Limits) Release(now time.Time, tenant identity.TenantName, unusedTokens int, duration time.Duration) {
	used := l.account(tenant)
	used.active = max(0, used.active-1)
	if duration > 0 {
		used.duration = used.meanDuration() + time.Duration(durationSmoothing*float64(duration-used.meanDuration()))
	}
	used.refill(now)
	if used.share.TokensPerSecond > 0 {
		used.level = min(used.share.bucketSize(), used.level+float64(unusedTokens))
	}
	if used.active == 0 && !used.known {
		delete(l.accounts, tenant)
	}
}

// Active is how many admitted requests of a tenant have not been released.
func (l *Limits) Active(tenant identity.TenantName) int {
	if used := l.accounts[tenant]; used != nil {
		return used.active
	}
	return 0
}

func (l *Limits) account(tenant identity.TenantName) *account {
	used := l.accounts[tenant]
	if used == nil {
		used = &account{share: TenantShare{Tenant: tenant}}
		l.accounts[tenant] = used
	}
	return used
}

func (a *account) refill(now time.Time) {
	elapsed := now.Sub(a.filledAt).Seconds()
	if elapsed <= 0 || a.filledAt.IsZero() {
		return
	}
	a.filledAt = now
	a.level = min(a.share.bucketSize(), a.level+elapsed*a.share.TokensPerSecond)
}

func (a *account) meanDuration() time.Duration {
	if a.duration == 0 {
		return typicalDuration
	}
	return a.duration
}

func (s TenantShare) bucketSize() float64 { return s.TokensPerSecond * burst.Seconds() }

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
