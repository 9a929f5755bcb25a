// Package sharedlimit keeps limits that hold for all daemons together: those of tenants, and those that back ends name.
// Each owner of a limit has a home among the daemons, by rendezvous hashing, which alone grants parts
// of its limit; a daemon asks it, by one datagram there and back, before it lets a request
// in. While the home doesn't answer, the next daemon in rank grants; a daemon that reaches
// neither has its equal part of the limit. Rights to a part of a bound that are held by one
// replica at a time, and asked for by the others, are the idea of the bounded counter
// (Balegas, "Bounded Counters: maintaining numeric invariants with high availability").
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
	// grantors is how many daemons are asked for an owner before a daemon takes its own
	// part: the home, and the one that grants in its place.
	grantors = 2
	// repeatInterval is how often a question is sent again: a datagram is lost now and then,
	// and with each daemon that takes a lost answer for a silent home two would grant at
	// once. An answer takes two milliseconds between zones.
	repeatInterval = 12 * time.Millisecond
	// repeatFactor and answerFactor times the mean time of a region's answers are the least for
	// the two below: regions are tens of milliseconds apart.
	repeatFactor = 1.5
	answerFactor = 3
	// answerTimeout is how long an answer is waited for. A daemon whose processor is a
	// quota may stand still for a tenth of a second; asking the next one costs less.
	answerTimeout = 60 * time.Millisecond
	// abandonedTime is how long a late answer is reckoned with.
	abandonedTime = 15 * time.Second
	// sweepInterval is how often what is no longer needed is forgotten.
	sweepInterval = 5 * time.Second
)

// Options are what a Limiter works with.
type Options struct {
	Link peerlink.Carrier
	// Topology is where the other daemons are, and Count how many daemons there may be.
	Topology peerlink.Topology
	Count    func() int
	// Presence tells how many daemons were heard lately.
	Presence *presence.List
	// Margin is what an owner may exceed its limit by, in tokens.
	Margin float64
	// BackendHomes returns the daemons that grant for a back end, the home first; nil ranks all daemons.
	BackendHomes func(id identity.BackendID) []string
	// BackendLimit returns the newest of a back end's limit that was asked for and what this daemon knows; false where
	// the back end has none any more. Nil knows nothing.
	BackendLimit func(id identity.BackendID, asked quota.Limit) (quota.Limit, bool)
	// Now is the time by which grants are judged; nil means clock.Now.
	Now func() time.Time
	Log logrus.FieldLogger
}

// Limiter grants parts of limits, and asks for them. It is safe for use by several
// goroutines.
type Limiter struct {
	options   Options
	self      string
	questions *peerlink.Questions[quota.Decision]
	silence   *presence.Silence
	// roundTrips are observed by the questions.
	roundTrips peerlink.RoundTrips

	mutex sync.Mutex
	// ledger has the buckets that this daemon grants from, and parts the buckets of its own
	// equal parts.
	ledger *quota.Ledger
	parts  *quota.Ledger
	// heard are the regions of which a daemon was ever heard, startedAt is when this daemon
	// began, and apart is when a daemon of a region last asked that hears none of this one's region.
	heard     map[identity.Region]bool
	startedAt time.Time
	apart     map[identity.Region]time.Time
	// abandoned are questions that are no longer waited for, with when that ended: what is
	// granted to them is given back. An answer to any other is a repeated one.
	abandoned map[uint64]time.Time
}

// New makes a Limiter, which other daemons can ask at once.
func New(options Options) *Limiter {
	if options.Now == nil {
		options.Now = clock.Now
	}
	now := options.Now()
	made := &Limiter{
		options: options, self: options.Link.Address(),
		questions: peerlink.NewQuestions[quota.Decision](), silence: presence.NewSilence(options.Presence),
		// Those that found this daemon silent ask another one for so long.
		ledger: quota.NewLedger(now.Add(presence.SilentTime), options.Margin), parts: quota.NewLedger(now, 0),
		abandoned: map[uint64]time.Time{}, apart: map[identity.Region]time.Time{}, heard: map[identity.Region]bool{}, startedAt: now,
	}
	peerlink.HandleDecoded(options.Link, peerlink.KindLimitAsk, made.hearQuestion)
	peerlink.HandleDecoded(options.Link, peerlink.KindLimitAnswer, made.hearAnswer)
	peerlink.HandleDecoded(options.Link, peerlink.KindLimitReturn, made.hearReturn)
	return made
}

// Run forgets what is no longer needed until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	pause.Every(ctx, sweepInterval, func(time.Time) { l.sweep(l.options.Now()) })
	return nil
}

func (l *Limiter) sweep(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	maps.DeleteFunc(l.abandoned, func(_ uint64, at time.Time) bool { return now.Sub(at) > abandonedTime })
}

// abandon notes that a question is no longer waited for.
func (l *Limiter) abandon(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.abandoned[number] = l.options.Now()
}

// Grant is what a request was granted of a limit, or not.
type Grant struct {
	quota.Decision
	// Grantor is the address of the daemon that decided.
	Grantor string
	// LocalShare is set where neither the home nor the daemon in its place answered, so that this
	// daemon decided by its own part of the limit.
	LocalShare bool
	// Limit is the limit as the asking daemon knows it, and Cost what was asked for.
	Limit  quota.Limit
	Cost   float64
	number uint64
}

// Take asks for a cost of an owner's limit. It waits for the answer of another daemon for
// two times answerTimeout at most, or mostAnswerTime where that is in another region.
func (l *Limiter) Take(ctx context.Context, owner quota.Owner, limit quota.Limit, cost float64) Grant {
	request := quota.Request{Key: quota.RequestKey{From: l.self}, Owner: owner, Limit: limit, Cost: cost}
	ranking := l.ranking(owner)
	for _, address := range ranking[:min(len(ranking), grantors)] {
		// Each daemon gets its own number: a late answer of one must not be taken for the next one's.
		request.Key.Number = l.questions.Next()
		if address == l.self {
			decision := l.decide(request, ranking[0])
			return Grant{Decision: decision, Grantor: address, Limit: limit, Cost: cost, number: request.Key.Number}
		}
		if l.silence.Is(address, l.options.Now()) {
			continue
		}
		if decision, answered := l.ask(ctx, address, request); answered {
			return Grant{Decision: decision, Grantor: address, Limit: limit, Cost: cost, number: request.Key.Number}
		}
	}
	request.Key.Number = l.questions.Next()
	return Grant{Decision: l.takePart(request), Grantor: l.self, LocalShare: true, Limit: limit, Cost: cost, number: request.Key.Number}
}

// Return gives back what was granted for a request that did not run.
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
		l.parts.Return(key)
		return
	}
	l.ledger.Return(key)
}

// Uses returns what this daemon knows of the owners that it grants for.
func (l *Limiter) Uses() []quota.Use {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ledger.Uses(l.options.Now())
}

// ranking returns the daemons that may grant for an owner, the home first.
func (l *Limiter) ranking(owner quota.Owner) []string {
	if id, isBackend := owner.Backend(); isBackend && l.options.BackendHomes != nil {
		return l.options.BackendHomes(id)
	}
	others := l.options.Topology.Others()
	daemons := make([]string, 0, len(others)+1)
	daemons = append(append(daemons, others...), l.self)
	return rendezvous.WeightedTop(rendezvous.Key(string(owner)), daemons, l.options.Topology.CapacityOf, grantors)
}

// takePart decides by this daemon's equal part of the limit.
func (l *Limiter) takePart(request quota.Request) quota.Decision {
	request.Limit = request.Limit.Part(l.options.Count())
	if _, isBackend := request.Owner.Backend(); isBackend {
		request.Limit.Burst = max(request.Limit.Burst, request.Cost) // else each daemon overdraws its part by a request
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.parts.Take(l.options.Now(), request, quota.Standing{Share: 1})
}

// decide grants from this daemon's ledger, as an owner's home or in the home's place.
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
	return l.ledger.Take(now, request, standing)
}

// ask asks another daemon. It returns false without an answer, and the daemon is not asked
// again for a moment.
func (l *Limiter) ask(ctx context.Context, address string, request quota.Request) (quota.Decision, bool) {
	number := request.Key.Number
	sent, asked := l.options.Now(), l.options.Topology.RegionOf(address)
	answered := l.questions.Await(number, 1)
	defer l.questions.Forget(number)
	question := &askMessage{
		Number: number, Tenant: string(request.Owner), Version: request.Limit.Version,
		RatePerSecond: request.Limit.RatePerSecond, Burst: request.Limit.Burst, Cost: request.Cost,
		Apart: l.isApart(sent, asked),
	}
	peerlink.Tell(l.options.Link, address, peerlink.KindLimitAsk, question)
	pause, patience := l.patience(asked)
	repeat, timeout := time.NewTicker(pause), time.NewTimer(patience)
	defer repeat.Stop()
	defer timeout.Stop()
	for {
		select {
		case decision := <-answered:
			l.roundTrips.Note(asked, l.options.Now().Sub(sent))
			return decision, true
		case <-repeat.C:
			peerlink.Tell(l.options.Link, address, peerlink.KindLimitAsk, question)
		case <-timeout.C:
			l.abandon(number)
			l.noteSilent(address, request.Owner)
			// What was granted is given back even if the answer can't come here.
			peerlink.Tell(l.options.Link, address, peerlink.KindLimitReturn, &returnMessage{Number: number})
			return quota.Decision{}, false
		case <-ctx.Done():
			l.abandon(number)
			return quota.Decision{}, true
		}
	}
}

// noteSilent notes that a daemon did not answer.
func (l *Limiter) noteSilent(address string, owner quota.Owner) {
	if l.silence.Note(address, l.options.Now()) {
		l.options.Log.WithFields(logrus.Fields{"daemon": address, "owner": owner}).
			Warn("A daemon doesn't answer for a limit. The next one is asked.")
	}
}

// hearQuestion answers another daemon's question.
func (l *Limiter) hearQuestion(from string, asked askMessage) {
	l.noteApart(from, asked.Apart)
	request := asked.request(from)
	decision := l.decide(request, l.ranking(request.Owner)[0])
	peerlink.Tell(l.options.Link, from, peerlink.KindLimitAnswer, newAnswer(asked.Number, decision))
}

// hearAnswer hands an answer to the request that waits for it. What was granted to one that
// no longer waits is given back.
func (l *Limiter) hearAnswer(from string, got answerMessage) {
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

// hearReturn takes back what another daemon did not use.
func (l *Limiter) hearReturn(from string, got returnMessage) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ledger.Return(quota.RequestKey{From: from, Number: got.Number})
}
