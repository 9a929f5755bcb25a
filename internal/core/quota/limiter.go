package quota

import (
	"maps"
	"time"
)

const (
	// answerRetention is how long an answer is remembered, for a request that is repeated
	// since its answer was lost, and for what is given back. Requests wait less long before
	// they are sent to a back end.
	answerRetention = 15 * time.Second
	// pruneInterval lies between two looks for what can be forgotten.
	pruneInterval = time.Second
	// idleRetention is how long a bucket is kept that nobody asks for. Every bucket whose
	// burst is less than a minute of its rate is full by then.
	idleRetention = time.Minute
	// resumePause is how long a daemon that grants in the home's place must not have been asked to count as having
	// resumed, where it heard the home meanwhile.
	resumePause = 250 * time.Millisecond
)

// RequestKey names one request for a part of a limit.
type RequestKey struct {
	// From is the asking daemon's address, and Number the daemon's own.
	From   string
	Number uint64
}

// Request asks for a part of a limit.
type Request struct {
	Key   RequestKey
	Owner Owner
	Limit Limit
	Cost  float64
}

// answer is what a request was answered.
type answer struct {
	at       time.Time
	owner    Owner
	cost     float64
	decision Decision
}

// ownedBucket is an owner's bucket with when it was last asked for.
type ownedBucket struct {
	*Bucket
	askedAt time.Time
}

// Limiter holds the buckets of the owners that one daemon grants for. It is not safe for
// use by several goroutines at once.
type Limiter struct {
	// margin is what each bucket holds beyond the limit's burst.
	margin float64
	// aloneSince is since when no other daemon grants where this one is the home.
	aloneSince time.Time
	buckets    map[Owner]*ownedBucket
	answers    map[RequestKey]answer
	prunedAt   time.Time
}

// NewLimiter makes an empty ledger. Others may have granted in its daemon's place until aloneSince.
// The margin is what an owner may exceed its limit by, in the unit of the costs.
func NewLimiter(aloneSince time.Time, margin float64) *Limiter {
	return &Limiter{
		margin: margin, aloneSince: aloneSince, prunedAt: aloneSince,
		buckets: map[Owner]*ownedBucket{}, answers: map[RequestKey]answer{},
	}
}

// Role says in which position a daemon grants.
type Role struct {
	// Home is set if this daemon is the one that is to grant for the owner. Another one
	// grants in its place while it doesn't answer.
	Home bool
	// Share of the rate that may be granted, above 0 up to 1.
	Share float64
	// HomeLastSeenAt is when one that isn't the home last heard it; zero is not lately.
	HomeLastSeenAt time.Time
}

// Take answers a request; one that is repeated gets the answer that it got before.
func (l *Limiter) Take(now time.Time, request Request, standing Role) Decision {
	l.prune(now)
	if known, found := l.answers[request.Key]; found {
		return known.decision
	}
	bucket := l.bucket(now, request, standing)
	bucket.askedAt = now
	bucket.Apply(now, request.Limit, standing.Share)
	decision := bucket.decide(now, request, standing.Share)
	l.answers[request.Key] = answer{at: now, owner: request.Owner, cost: request.Cost, decision: decision}
	return decision
}

// decide answers a request. A daemon that is refused a part of a back end's limit sends its request elsewhere: nothing is
// promised to it.
func (b *ownedBucket) decide(now time.Time, request Request, share float64) Decision {
	if _, isBackend := request.Owner.Backend(); isBackend {
		return b.TryTake(now, request.Cost, share)
	}
	return b.Take(now, request.Cost, share)
}

// bucket finds or makes the bucket of a request's owner. What this daemon may have granted
// before it started, or another one before this one grants in its place, is not known, so
// that a new bucket holds no more than has accrued since, and the margin. Nor is known what the
// home has granted while one in its place paused: else each change between the two would bring another burst.
func (l *Limiter) bucket(now time.Time, request Request, standing Role) *ownedBucket {
	found := l.buckets[request.Owner]
	if found != nil {
		if standing.resumes(now, found.askedAt) {
			found.Cap(now, standing.Share, l.margin)
		}
		return found
	}
	level := 0.0                            // a margin at each of many starts would add up
	_, isBackend := request.Owner.Backend() // which gets requests before it names a limit
	if alone := now.Sub(l.aloneSince); alone > 0 && !isBackend {
		level = l.margin
		if standing.Home {
			level += alone.Seconds() * request.Limit.RatePerSecond * standing.Share
		}
	}
	made := &ownedBucket{Bucket: NewBucket(now, request.Limit, l.margin, level)}
	l.buckets[request.Owner] = made
	return made
}

// resumes tells whether a daemon grants in the home's place again, after the home may have granted meanwhile.
func (s Role) resumes(now, askedAt time.Time) bool {
	return !s.Home && now.Sub(askedAt) > resumePause && s.HomeLastSeenAt.After(askedAt)
}

// Refund gives back what a request was granted and did not use. It returns false if that
// is not known, or was given back before.
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

// prune forgets what is no longer needed.
func (l *Limiter) prune(now time.Time) {
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	maps.DeleteFunc(l.answers, func(_ RequestKey, known answer) bool { return now.Sub(known.at) > answerRetention })
	maps.DeleteFunc(l.buckets, func(_ Owner, bucket *ownedBucket) bool {
		return now.Sub(bucket.askedAt) > idleRetention
	})
}

// Usage is one owner's bucket as operators see it.
type Usage struct {
	Owner Owner
	Limit Limit
	// Level is what may be used at once now.
	Level float64
}

// Usages returns the buckets that this ledger holds.
func (l *Limiter) Usages(now time.Time) []Usage {
	uses := make([]Usage, 0, len(l.buckets))
	for owner, bucket := range l.buckets {
		uses = append(uses, Usage{Owner: owner, Limit: bucket.limit, Level: bucket.Level(now, 1)})
	}
	return uses
}
