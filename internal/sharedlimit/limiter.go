// Package sharedlimit enforces limits that hold for all daemons together: those of tenants and those announced by
// back ends. Each owner of a limit has a home daemon, chosen by rendezvous hashing, which alone grants parts of
// its limit. A daemon asks the home, with one datagram in each direction, before it admits a request. While the
// home does not respond, the next daemon in rank grants. A daemon that reaches neither grants from its own equal
// share of the limit.
//
// Rights to a part of a bound that one replica holds at a time and others ask for are the idea of the bounded
// counter (Balegas, "Bounded Counters: maintaining numeric invariants with high availability").
package sharedlimit

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quota"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/presence"
)

const (
	// grantorsPerOwner is how many daemons are asked before a daemon uses its own share: the home and its
	// substitute.
	grantorsPerOwner = 2
	// retryInterval is how often a question is sent again. Datagrams are occasionally lost, and each daemon that
	// mistakes a lost answer for a failed home makes home and substitute grant concurrently. An answer takes two
	// milliseconds between zones.
	retryInterval = 12 * time.Millisecond
	// retryFactor and answerFactor, multiplied by the mean response time of a region, are lower bounds for the
	// retry interval and the answer timeout, since regions are tens of milliseconds apart.
	retryFactor  = 1.5
	answerFactor = 3
	// answerTimeout is how long to wait for an answer. A daemon under a CPU quota may be stopped for a tenth of a
	// second; asking the next one costs less than waiting for that.
	answerTimeout = 60 * time.Millisecond
	// abandonedTTL is how long a late answer to an abandoned question is still recognized.
	abandonedTTL = 15 * time.Second
	// sweepInterval is how often expired state is removed.
	sweepInterval = 5 * time.Second
)

// Options configures a Limiter.
type Options struct {
	Link peerlink.Carrier
	// Topology describes the other daemons, and Count returns the number of daemons that may exist.
	Topology peerlink.Topology
	Count    func() int
	// Presence records which daemons were heard recently.
	Presence *presence.List
	// Margin is the amount, in tokens, by which an owner may exceed its limit.
	Margin float64
	// BackendHomes returns the daemons that grant for a back end, the home first. If nil, all daemons are ranked.
	BackendHomes func(id identity.BackendID) []string
	// BackendLimit returns the newer of the requested limit of a back end and the one known to this daemon, or
	// false if the back end no longer has a limit. If nil, the requested limit is used.
	BackendLimit func(id identity.BackendID, asked quota.Limit) (quota.Limit, bool)
	// Now returns the time that applies to grants; nil means clock.Now.
	Now func() time.Time
	Log logrus.FieldLogger
}

// Limiter grants parts of limits and requests them from other daemons. It is safe for concurrent use.
type Limiter struct {
	options   Options
	self      string
	questions *peerlink.Questions[quota.Decision]
	silence   *presence.Unresponsive
	// roundTrips measures how long answers take, by region.
	roundTrips peerlink.RoundTrips

	mutex sync.Mutex
	// grants holds the buckets of owners that this daemon grants for, and localShares those of its own equal
	// shares.
	grants      *quota.Limiter
	localShares *quota.Limiter
	// seenRegions are the regions from which a daemon was ever heard, startedAt is when this daemon started, and
	// partitionedAt is when a daemon of a region last reported that it hears none of this region.
	seenRegions   map[identity.Region]bool
	startedAt     time.Time
	partitionedAt map[identity.Region]time.Time
	// abandoned holds questions whose wait has ended, with the time of that: what is granted to them is returned.
	// Answers to any other question that nothing waits for are duplicates.
	abandoned map[uint64]time.Time
}

// New creates a Limiter and registers its message handlers.
func New(options Options) *Limiter {
	if options.Now == nil {
		options.Now = clock.Now
	}
	now := options.Now()
	made := &Limiter{
		options: options, self: options.Link.Address(),
		questions: peerlink.NewQuestions[quota.Decision](), silence: presence.NewUnresponsive(options.Presence),
		// Daemons that found this one unresponsive ask another one for that long.
		grants: quota.NewLimiter(now.Add(presence.UnresponsiveTime), options.Margin), localShares: quota.NewLimiter(now, 0),
		abandoned: map[uint64]time.Time{}, partitionedAt: map[identity.Region]time.Time{}, seenRegions: map[identity.Region]bool{}, startedAt: now,
	}
	peerlink.HandleDecoded(options.Link, peerlink.KindLimitAsk, made.receiveQuestion)
	peerlink.HandleDecoded(options.Link, peerlink.KindLimitAnswer, made.receiveAnswer)
	peerlink.HandleDecoded(options.Link, peerlink.KindLimitReturn, made.receiveReturn)
	return made
}

// Run removes expired state until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	pause.Every(ctx, sweepInterval, func(time.Time) { l.sweep(l.options.Now()) })
	return nil
}

func (l *Limiter) sweep(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	maps.DeleteFunc(l.abandoned, func(_ uint64, at time.Time) bool { return now.Sub(at) > abandonedTTL })
}

// abandon records that a question is no longer waited for.
func (l *Limiter) abandon(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.abandoned[number] = l.options.Now()
}

// Grant is the decision on a request for a part of a limit.
type Grant struct {
	quota.Decision
	// Grantor is the address of the daemon that decided.
	Grantor string
	// LocalShare is set if neither the home nor its substitute responded, so that this daemon decided by its own
	// share of the limit.
	LocalShare bool
	// Limit is the limit as known to the requesting daemon, and Cost the requested amount.
	Limit  quota.Limit
	Cost   float64
	number uint64
}

// Take requests a cost from an owner's limit. It waits for other daemons for up to twice answerTimeout, or twice
// maxAnswerTimeout if they are in other regions.
func (l *Limiter) Take(ctx context.Context, owner quota.Owner, limit quota.Limit, cost float64) Grant {
	request := quota.Request{Key: quota.RequestKey{From: l.self}, Owner: owner, Limit: limit, Cost: cost}
	ranking := l.ranking(owner)
	for _, address := range ranking[:min(len(ranking), grantorsPerOwner)] {
		// Each daemon gets its own number, so that a late answer is not attributed to the next one.
		request.Key.Number = l.questions.Next()
		if address == l.self {
			decision := l.decide(request, ranking[0])
			l.skipLocalAccrual(owner)
			return Grant{Decision: decision, Grantor: address, Limit: limit, Cost: cost, number: request.Key.Number}
		}
		if l.silence.Contains(address, l.options.Now()) {
			continue
		}
		if decision, answered := l.ask(ctx, address, request); answered {
			return Grant{Decision: decision, Grantor: address, Limit: limit, Cost: cost, number: request.Key.Number}
		}
	}
	request.Key.Number = l.questions.Next()
	return Grant{Decision: l.takeLocalShare(request), Grantor: l.self, LocalShare: true, Limit: limit, Cost: cost, number: request.Key.Number}
}

// Return gives back a grant whose request did not run.
func (l *Limiter) Return(grant Grant) {
	if !grant.Granted {
		return
	}
	key := quota.RequestKey{From: l.self, Number: grant.number}
	if grant.Grantor != l.self {
		peerlink.Tell(l.options.Link, grant.Grantor, peerlink.KindLimitReturn, &returnMessage{Number: grant.number})
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if grant.LocalShare {
		l.localShares.Refund(key)
		return
	}
	l.grants.Refund(key)
}

// Uses returns the usage of the owners that this daemon grants for.
func (l *Limiter) Uses() []quota.Usage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.grants.Usages(l.options.Now())
}

// ranking returns the daemons that may grant for an owner, the home first.
func (l *Limiter) ranking(owner quota.Owner) []string {
	if id, isBackend := owner.Backend(); isBackend && l.options.BackendHomes != nil {
		return l.options.BackendHomes(id)
	}
	others := l.options.Topology.Others()
	daemons := make([]string, 0, len(others)+1)
	daemons = append(append(daemons, others...), l.self)
	return rendezvous.WeightedTop(rendezvous.Key(string(owner)), daemons, l.options.Topology.CapacityOf, grantorsPerOwner)
}

// takeLocalShare decides by this daemon's equal share of the limit.
func (l *Limiter) takeLocalShare(request quota.Request) quota.Decision {
	request.Limit = request.Limit.Split(l.options.Count())
	if _, isBackend := request.Owner.Backend(); isBackend {
		request.Limit.Burst = max(request.Limit.Burst, request.Cost) // or each would exceed its share by a request
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.localShares.Take(l.options.Now(), request, quota.Role{Share: 1})
}

// skipLocalAccrual records that a grantor of an owner decided a request of this daemon. Its own share of the limit
// accrues only while no grantor responds, since they grant the whole limit.
func (l *Limiter) skipLocalAccrual(owner quota.Owner) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.localShares.SkipAccrual(l.options.Now(), owner)
}

// decide decides by this daemon's buckets, as the home of an owner or as its substitute.
func (l *Limiter) decide(request quota.Request, home string) quota.Decision {
	if id, isBackend := request.Owner.Backend(); isBackend && l.options.BackendLimit != nil {
		limit, limited := l.options.BackendLimit(id, request.Limit)
		if !limited {
			return quota.Decision{Granted: true}
		}
		request.Limit = limit
	}
	now := l.options.Now()
	standing := l.standing(now, home)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.grants.Take(now, request, standing)
}

// ask requests a grant from another daemon. It returns false if no answer arrived; the daemon is then not asked
// again for a moment.
func (l *Limiter) ask(ctx context.Context, address string, request quota.Request) (quota.Decision, bool) {
	number := request.Key.Number
	sent, asked := l.options.Now(), l.options.Topology.RegionOf(address)
	answers := l.questions.Await(number, 1)
	defer l.questions.Forget(number)
	question := &askMessage{
		Number: number, Tenant: string(request.Owner), Version: request.Limit.Version,
		RatePerSecond: request.Limit.RatePerSecond, Burst: request.Limit.Burst, Cost: request.Cost,
		Apart: l.isPartitioned(sent, asked),
	}
	peerlink.Tell(l.options.Link, address, peerlink.KindLimitAsk, question)
	retry, wait := l.timing(asked)
	retryTicker, timeout := time.NewTicker(retry), time.NewTimer(wait)
	defer retryTicker.Stop()
	defer timeout.Stop()
	for {
		select {
		case decision := <-answers:
			l.roundTrips.Note(asked, l.options.Now().Sub(sent))
			l.skipLocalAccrual(request.Owner)
			return decision, true
		case <-retryTicker.C:
			peerlink.Tell(l.options.Link, address, peerlink.KindLimitAsk, question)
		case <-timeout.C:
			l.abandon(number)
			l.recordTimeout(address, request.Owner)
			// Return the grant even if the answer can not arrive here.
			peerlink.Tell(l.options.Link, address, peerlink.KindLimitReturn, &returnMessage{Number: number})
			return quota.Decision{}, false
		case <-ctx.Done():
			l.abandon(number)
			return quota.Decision{}, true
		}
	}
}

// recordTimeout records that a daemon did not answer in time.
func (l *Limiter) recordTimeout(address string, owner quota.Owner) {
	if l.silence.Add(address, l.options.Now()) {
		l.options.Log.WithFields(logrus.Fields{"daemon": address, "owner": owner}).
			Warn("A daemon doesn't answer for a limit. The next one is asked.")
	}
}

// receiveQuestion answers a question of another daemon.
func (l *Limiter) receiveQuestion(from string, asked askMessage) {
	l.recordPartition(from, asked.Apart)
	request := asked.request(from)
	decision := l.decide(request, l.ranking(request.Owner)[0])
	peerlink.Tell(l.options.Link, from, peerlink.KindLimitAnswer, newAnswer(asked.Number, decision))
}

// receiveAnswer passes an answer to the request that waits for it. A grant to a request that no longer waits is
// returned.
func (l *Limiter) receiveAnswer(from string, got answerMessage) {
	if l.questions.Answer(got.Number, got.decision()) {
		return
	}
	l.mutex.Lock()
	_, abandoned := l.abandoned[got.Number]
	l.mutex.Unlock()
	if abandoned && got.Granted {
		peerlink.Tell(l.options.Link, from, peerlink.KindLimitReturn, &returnMessage{Number: got.Number})
	}
}

// receiveReturn takes back a grant that another daemon did not use.
func (l *Limiter) receiveReturn(from string, got returnMessage) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.grants.Refund(quota.RequestKey{From: from, Number: got.Number})
}
