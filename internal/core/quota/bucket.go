// Package quota enforces the rate limits of tenants and backends: a token bucket for each owner of
// a limit, and a Limiter with the buckets that one daemon keeps on behalf of all. It performs no
// I/O and reads no clock; callers pass the current time.
package quota

import "time"

// Limit is a rate limit. Its unit is that of the costs: prompt and response tokens, or requests.
type Limit struct {
	// Version is that of the configuration that declares the limit; a newer one replaces it.
	Version uint64
	// RatePerSecond is the sustained rate, and Burst what may be used at once on top of it.
	RatePerSecond, Burst float64
}

// Split returns one of count equal parts of a limit.
func (l Limit) Split(count int) Limit {
	l.RatePerSecond /= float64(max(count, 1))
	l.Burst /= float64(max(count, 1))
	return l
}

// Decision is the response to a request for part of a limit.
type Decision struct {
	Granted bool
	// Wait is the time until the request would be granted, if it was not.
	Wait time.Duration
}

// Bounds of the wait that a rejected request is told.
const (
	// minWait is about the round-trip time to the client. A shorter wait would have no effect.
	minWait = 20 * time.Millisecond
	// maxWait is bounded because the limit may change in the meantime.
	maxWait = 10 * time.Second
)

// Bucket is a token bucket. A request larger than the bucket is granted once the bucket is full,
// and overdraws it. Create it with NewBucket.
type Bucket struct {
	limit    Limit
	margin   float64
	level    float64
	filledAt time.Time
	// reserved is the cost of rejected requests whose announced wait has not passed yet. Later
	// requests are told to return after them: if all returned as soon as there is capacity for one,
	// most would be rejected again.
	reserved float64
}

// NewBucket returns a bucket with an initial level. Its capacity is the limit's burst plus a
// margin.
func NewBucket(now time.Time, limit Limit, margin, level float64) *Bucket {
	made := &Bucket{limit: limit, margin: margin, filledAt: now}
	made.level = min(level, made.capacity())
	return made
}

func (b *Bucket) capacity() float64 { return b.limit.Burst + b.margin }

// Apply replaces the limit by that of a newer configuration.
func (b *Bucket) Apply(now time.Time, limit Limit, share float64) {
	if limit.Version <= b.limit.Version {
		return
	}
	b.fill(now, share)
	b.limit = limit
	b.level = min(b.level, b.capacity())
}

// fill adds what has accrued since the last fill at a share of the rate.
func (b *Bucket) fill(now time.Time, share float64) {
	accrued := b.accrued(now, share)
	if accrued <= 0 {
		return
	}
	b.filledAt = now
	b.level = min(b.level+accrued, b.capacity())
	b.reserved = max(b.reserved-accrued, 0)
}

// accrued returns what has accrued since the last fill at a share of the rate.
func (b *Bucket) accrued(now time.Time, share float64) float64 {
	return now.Sub(b.filledAt).Seconds() * b.limit.RatePerSecond * share
}

// Take consumes a cost if the bucket has capacity, filling it at a share of the rate. A rejected
// caller is assumed to return after the announced wait.
func (b *Bucket) Take(now time.Time, cost, share float64) Decision {
	decision := b.TryTake(now, cost, share)
	if !decision.Granted {
		b.reserved += cost
	}
	return decision
}

// TryTake is like Take for a caller that need not return: nothing is reserved for it.
func (b *Bucket) TryTake(now time.Time, cost, share float64) Decision {
	b.fill(now, share)
	needed := min(cost, b.capacity())
	if b.level >= needed {
		b.level -= cost
		return Decision{Granted: true}
	}
	return Decision{Wait: b.accrualTime(needed-b.level+b.reserved, share)}
}

// accrualTime is how long an amount takes to accrue.
func (b *Bucket) accrualTime(amount, share float64) time.Duration {
	rate := b.limit.RatePerSecond * share
	if amount >= rate*maxWait.Seconds() {
		return maxWait
	}
	return max(time.Duration(amount/rate*float64(time.Second)), minWait)
}

// Refund returns cost that was consumed but not used.
func (b *Bucket) Refund(cost float64) { b.level = min(b.level+cost, b.capacity()) }

// Cap lowers the bucket's level to at most the given one.
func (b *Bucket) Cap(now time.Time, share, level float64) {
	b.fill(now, share)
	b.level = min(b.level, level)
}

// SkipAccrual discards what accrued since the last fill, at a share of the rate.
func (b *Bucket) SkipAccrual(now time.Time, share float64) {
	level := b.level
	b.fill(now, share)
	b.level = level
}

// Level returns what the bucket would hold at a time, filled at a share of the rate. It doesn't fill the bucket.
func (b *Bucket) Level(now time.Time, share float64) float64 {
	return min(b.level+max(b.accrued(now, share), 0), b.capacity())
}
