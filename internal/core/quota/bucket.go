// Package quota decides whether a request is within the limit of its tenant, or of a back end: a token
// bucket for each owner of a limit, and a ledger of the buckets that one daemon keeps for all. It is
// pure: each call carries the time.
package quota

import "time"

// Limit is how much may be used. Its unit is that of the costs: tokens of prompts and
// answers, or requests.
type Limit struct {
	// Version is of the configuration that declares the limit; a newer one replaces it.
	Version uint64
	// RatePerSecond is the steady use, and Burst what may be used at once beyond it.
	RatePerSecond, Burst float64
}

// Split is one of a number of equal parts of a limit.
func (l Limit) Split(count int) Limit {
	l.RatePerSecond /= float64(max(count, 1))
	l.Burst /= float64(max(count, 1))
	return l
}

// Decision is the answer to one request for a part of a limit.
type Decision struct {
	Granted bool
	// Wait is how long it takes until there is room, where it was not granted.
	Wait time.Duration
}

// Bounds of what a refused request is told.
const (
	// minimumWait is about what the way to the caller and back takes: told less, it would come
	// back as if it had been told nothing.
	minimumWait = 20 * time.Millisecond
	// maximumWait is for limits that may change before.
	maximumWait = 10 * time.Second
)

// Bucket is a token bucket. It may be overdrawn by a request that is larger than the
// bucket, which is granted once the bucket is full. Make it with NewBucket.
type Bucket struct {
	limit    Limit
	margin   float64
	level    float64
	filledAt time.Time
	// promised is what refused requests were told that there would be room for, and is not
	// past yet. The next one is told to come after them: if all came back at the first
	// moment with room, most would be refused again.
	promised float64
}

// NewBucket makes a bucket with a level. It holds the limit's burst and a margin.
func NewBucket(now time.Time, limit Limit, margin, level float64) *Bucket {
	made := &Bucket{limit: limit, margin: margin, filledAt: now}
	made.level = min(level, made.capacity())
	return made
}

func (b *Bucket) capacity() float64 { return b.limit.Burst + b.margin }

// Apply replaces the limit by one of a newer configuration.
func (b *Bucket) Apply(now time.Time, limit Limit, share float64) {
	if limit.Version <= b.limit.Version {
		return
	}
	b.fill(now, share)
	b.limit = limit
	b.level = min(b.level, b.capacity())
}

// fill adds what has accrued of a share of the rate.
func (b *Bucket) fill(now time.Time, share float64) {
	accrued := now.Sub(b.filledAt).Seconds() * b.limit.RatePerSecond * share
	if accrued <= 0 {
		return
	}
	b.filledAt = now
	b.level = min(b.level+accrued, b.capacity())
	b.promised = max(b.promised-accrued, 0)
}

// Take takes a cost from the bucket if it has room, while it fills at a share of the rate. One who is refused is taken to
// come back at the time that is told.
func (b *Bucket) Take(now time.Time, cost, share float64) Decision {
	decision := b.TryTake(now, cost, share)
	if !decision.Granted {
		b.promised += cost
	}
	return decision
}

// TryTake does as Take for one who need not come back.
func (b *Bucket) TryTake(now time.Time, cost, share float64) Decision {
	b.fill(now, share)
	needed := min(cost, b.capacity())
	if b.level >= needed {
		b.level -= cost
		return Decision{Granted: true}
	}
	return Decision{Wait: b.timeFor(needed-b.level+b.promised, share)}
}

// timeFor is how long an amount takes to accrue.
func (b *Bucket) timeFor(amount, share float64) time.Duration {
	rate := b.limit.RatePerSecond * share
	if amount >= rate*maximumWait.Seconds() {
		return maximumWait
	}
	return max(time.Duration(amount/rate*float64(time.Second)), minimumWait)
}

// Refund gives back what was taken and not used.
func (b *Bucket) Refund(cost float64) { b.level = min(b.level+cost, b.capacity()) }

// Cap lowers what the bucket holds to a level, if it holds more.
func (b *Bucket) Cap(now time.Time, share, level float64) {
	b.fill(now, share)
	b.level = min(b.level, level)
}

// Level is what the bucket holds at a time, if it fills at a share of the rate.
func (b *Bucket) Level(now time.Time, share float64) float64 {
	b.fill(now, share)
	return b.level
}
