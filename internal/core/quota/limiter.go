package quota

import (
	"maps"
	"time"
)

const (
	// answerRetention is how long a decision is stored, for refunds and for requests that are repeated
	// because the response was lost. Requests are dispatched to a backend sooner than that.
	answerRetention = 15 * time.Second
	// pruneInterval is the minimum time between two removals of expired state.
	pruneInterval = time.Second
	// idleRetention is how long an unused bucket is kept. A bucket whose burst is less than a minute
	// of its rate is full again by then.
	idleRetention = time.Minute
	// resumePause is the minimum time without requests after which a daemon that grants on behalf of
	// the home counts as having resumed, if it heard from the home in the meantime.
	resumePause = 250 * time.Millisecond
)

// RequestKey identifies a request for part of a limit.
type RequestKey struct {
	// From is the address of the requesting daemon, and Number is assigned by that daemon.
	From   string
	Number uint64
}

// Request asks for part of a limit.
type Request struct {
	Key   RequestKey
	Owner Owner
	Limit Limit
	Cost  float64
}

// answer is a stored decision.
type answer struct {
	at       time.Time
	owner    Owner
	cost     float64
	decision Decision
}

// ownedBucket is an owner's bucket with the time of its last request.
type ownedBucket struct {
	*Bucket
	lastRequestAt time.Time
}

// Limiter holds the buckets of the owners for which one daemon grants. It is not safe for
// concurrent use.
type Limiter struct {
	// margin is the capacity of each bucket on top of the limit's burst.
	margin float64
	// soleGranterSince is the time since which no other daemon grants for owners whose home is this
	// daemon.
	soleGranterSince time.Time
	buckets          map[Owner]*ownedBucket
	answers          map[RequestKey]answer
	prunedAt         time.Time
}

// NewLimiter returns an empty limiter. Other daemons may have granted on behalf of this one until
// soleGranterSince. The margin is the amount by which an owner may exceed its limit, in the unit
// of the costs.
func NewLimiter(soleGranterSince time.Time, margin float64) *Limiter {
	return &Limiter{
		margin: margin, soleGranterSince: soleGranterSince, prunedAt: soleGranterSince,
		buckets: map[Owner]*ownedBucket{}, answers: map[RequestKey]answer{},
	}
}

// Role describes the capacity in which a daemon grants.
type Role struct {
	// Home is set if this daemon is responsible for the owner. Another daemon substitutes for the home
	// while it doesn't respond.
	Home bool
	// Share is the fraction of the rate that may be granted, in (0, 1].
	Share float64
	// HomeLastSeenAt is when a substitute last heard from the home; zero is not recently.
	HomeLastSeenAt time.Time
}

// Take decides a request. A repeated request gets the same decision as before.
func (l *Limiter) Take(now time.Time, request Request, role Role) Decision {
	l.prune(now)
	if known, found := l.answers[request.Key]; found {
		return known.decision
	}
	bucket := l.bucket(now, request, role)
	bucket.lastRequestAt = now
	bucket.Apply(now, request.Limit, role.Share)
	decision := bucket.decide(now, request, role.Share)
	l.answers[request.Key] = answer{at: now, owner: request.Owner, cost: request.Cost, decision: decision}
	return decision
}

// decide decides a request. Nothing is reserved for a rejected request for a backend's limit,
// since the daemon then sends its request to another backend.
func (b *ownedBucket) decide(now time.Time, request Request, share float64) Decision {
	if _, isBackend := request.Owner.Backend(); isBackend {
		return b.TryTake(now, request.Cost, share)
	}
	return b.Take(now, request.Cost, share)
}

// bucket returns the bucket of a request's owner, creating it if necessary. What this daemon
// granted before a restart, or another one granted on its behalf, is unknown, so a new bucket
// holds no more than the margin and what has accrued since. What the home granted while a
// substitute was paused is unknown too; without the cap, each switch between the two would allow
// another burst.
func (l *Limiter) bucket(now time.Time, request Request, role Role) *ownedBucket {
	found := l.buckets[request.Owner]
	if found != nil {
		if role.resumes(now, found.lastRequestAt) {
			found.Cap(now, role.Share, l.margin)
		}
		return found
	}
	level := 0.0                            // granting a margin at every restart would add up
	_, isBackend := request.Owner.Backend() // backends get requests before they declare a limit
	if alone := now.Sub(l.soleGranterSince); alone > 0 && !isBackend {
		level = l.margin
		if role.Home {
			level += alone.Seconds() * request.Limit.RatePerSecond * role.Share
		}
	}
	made := &ownedBucket{Bucket: NewBucket(now, request.Limit, l.margin, level)}
	l.buckets[request.Owner] = made
	return made
}

// resumes reports whether a substitute grants again after a pause in which the home may have
// granted.
func (r Role) resumes(now, lastRequestAt time.Time) bool {
	return !r.Home && now.Sub(lastRequestAt) > resumePause && r.HomeLastSeenAt.After(lastRequestAt)
}

// SkipAccrual discards what an owner's bucket accrued since its last use: another daemon granted
// from the owner's limit until now.
func (l *Limiter) SkipAccrual(now time.Time, owner Owner) {
	if found := l.buckets[owner]; found != nil {
		found.Bucket.SkipAccrual(now, 1)
	}
}

// Refund returns the cost of a granted request that was not used. It returns false if the request
// is unknown or was refunded before.
func (l *Limiter) Refund(key RequestKey) bool {
	known, found := l.answers[key]
	bucket := l.buckets[known.owner]
	if !found || !known.decision.Granted || bucket == nil {
		return false
	}
	delete(l.answers, key)
	bucket.Refund(known.cost)
	return true
}

// prune removes expired state.
func (l *Limiter) prune(now time.Time) {
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	maps.DeleteFunc(l.answers, func(_ RequestKey, known answer) bool { return now.Sub(known.at) > answerRetention })
	maps.DeleteFunc(l.buckets, func(_ Owner, bucket *ownedBucket) bool {
		return now.Sub(bucket.lastRequestAt) > idleRetention
	})
}

// Usage is the state of one owner's bucket, as shown to operators.
type Usage struct {
	Owner Owner
	Limit Limit
	// Level is what may be used at once now.
	Level float64
}

// Usages returns the state of all buckets.
func (l *Limiter) Usages(now time.Time) []Usage {
	uses := make([]Usage, 0, len(l.buckets))
	for owner, bucket := range l.buckets {
		uses = append(uses, Usage{Owner: owner, Limit: bucket.limit, Level: bucket.Level(now, 1)})
	}
	return uses
}
