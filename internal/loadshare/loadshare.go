// Package loadshare lets daemons tell each other what they have under way at each
// back end, where they sent the shared parts of prompts and which back ends they could
// not reach, several times a second, in single datagrams that may be lost. A daemon that isn't heard of for a moment
// counts as having nothing under way.
package loadshare

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// Times and sizes.
const (
	sendInterval = 100 * time.Millisecond
	// idleInterval is how often a load that doesn't change is told.
	idleInterval = 400 * time.Millisecond
	// forgetAfter is how long what a daemon told counts.
	forgetAfter = time.Second
	// MaxLoadPeers is how many other daemons there may be for all to tell all of loads.
	// Among more, where large parts of prompts are is still told to all, since it is told
	// once.
	MaxLoadPeers = 12
	// MaxPartPeers is how many other daemons there may be for all to tell all where large parts of prompts are. Among more,
	// the facts of a few requests a second fill the bound on bytes; homes of the parts are told then.
	MaxPartPeers = 128
	// aliveTargets is how many of many daemons hear in each turn that this one is there.
	aliveTargets = 4
	// bytesPerSecond bounds what is sent. Where it isn't enough for all targets of a
	// turn, some are left out. Where there are many daemons, factShare of it is for what
	// is told to all.
	bytesPerSecond = 36 << 10
	burstBytes     = 48 << 10
	factShare      = 0.7
	// MaxLoads bounds the back ends of which loads are told at a time.
	MaxLoads = 256
	// gatherTime is for how long large parts are gathered where there are many daemons: a
	// datagram's frame and name are as long as some facts.
	gatherTime = 300 * time.Millisecond
)

// message is one datagram's body.
type message struct {
	Loads  []CompactLoad
	Facts  []fact
	Doubts []backendpool.FailureReport
}

// CompactLoad is a load in whole numbers, which are shorter.
type CompactLoad struct {
	Key      uint64
	InFlight uint32
	Reading  uint32
	Tokens   uint32
}

// Compact rounds a load to whole numbers.
func Compact(load backendpool.Load) CompactLoad {
	return CompactLoad{Key: load.Key, InFlight: uint32(load.InFlight), Reading: uint32(load.Reading), Tokens: uint32(load.Tokens)}
}

// Load is the load that was made compact.
func (c CompactLoad) Load() backendpool.Load {
	return backendpool.Load{Key: c.Key, InFlight: float64(c.InFlight), Reading: float64(c.Reading), Tokens: float64(c.Tokens)}
}

type fact struct {
	Part    promptcache.Key
	Backend uint64
	Read    bool
	Dropped bool
}

func newMessage(loads []backendpool.Load, facts []promptcache.Fact, doubts []backendpool.FailureReport) *message {
	told := &message{Doubts: doubts}
	for _, each := range loads {
		told.Loads = append(told.Loads, Compact(each))
	}
	for _, each := range facts {
		told.Facts = append(told.Facts, fact{Part: each.Part, Backend: each.Backend, Read: each.Read, Dropped: each.Dropped})
	}
	return told
}

func (m *message) loads() []backendpool.Load {
	loads := make([]backendpool.Load, len(m.Loads))
	for index, each := range m.Loads {
		loads[index] = each.Load()
	}
	return loads
}

func (m *message) facts() []promptcache.Fact {
	facts := make([]promptcache.Fact, len(m.Facts))
	for index, each := range m.Facts {
		facts[index] = promptcache.Fact{Part: each.Part, Backend: each.Backend, Read: each.Read, Dropped: each.Dropped}
	}
	return facts
}

// Options are what a Sharer works with.
type Options struct {
	Link *peerlink.Link
	// Others returns the addresses of the other daemons.
	Others func() []string
	Pool   *backendpool.Pool
	Memory *promptcache.Memory
	// PublishParts tells homes of parts of prompts where these are, among more than MaxPartPeers others; nil tells all.
	PublishParts func(facts []promptcache.Fact)
}

// Sharer tells and hears loads.
type Sharer struct {
	options Options
	// limiter bounds all bytes where there are few daemons, and those of loads alone where
	// there are many; factLimiter then bounds the others.
	limiter, factLimiter *rate.Limiter
	mutex                sync.Mutex
	heard                map[string]heardLoads
	// told are the loads that were told last, at toldAt; next counts the daemons told;
	// gathered wait to be told to all, which was last done at toldAllAt. They belong to the
	// goroutine of Run.
	told      []backendpool.Load
	toldAt    time.Time
	next      int
	gathered  []promptcache.Fact
	toldAllAt time.Time
}

// heardLoads is what one daemon told last.
type heardLoads struct {
	at    time.Time
	loads []backendpool.Load
}

// New makes a Sharer that hears of loads, and tells of its own once it runs.
func New(options Options) *Sharer {
	made := &Sharer{options: options, limiter: rate.NewLimiter(bytesPerSecond, burstBytes), factLimiter: rate.NewLimiter(factShare*bytesPerSecond, burstBytes), heard: map[string]heardLoads{}}
	peerlink.HandleDecoded(options.Link, peerlink.KindLoads, made.receive)
	peerlink.HandleDecoded(options.Link, peerlink.KindFacts, made.receiveFacts)
	made.next = rand.IntN(math.MaxInt32)
	return made
}

// Run shares loads until the context ends.
func (s *Sharer) Run(ctx context.Context) error {
	pause.Every(ctx, sendInterval, s.share)
	return nil
}

// share takes in what was heard, and tells what this daemon has under way if that changed.
func (s *Sharer) share(now time.Time) {
	if len(s.options.Others()) > MaxLoadPeers {
		s.shareAmongMany(now)
		return
	}
	s.options.Pool.SetOthersLoad(s.merge(now), true)
	loads := s.options.Pool.Loads(MaxLoads)
	facts, doubts := s.options.Memory.Untold(), s.options.Pool.TakeFailureReports()
	if len(facts)+len(doubts) == 0 && slices.Equal(loads, s.told) && now.Sub(s.toldAt) < idleInterval {
		return
	}
	s.told, s.toldAt = loads, now
	s.send(s.limiter, peerlink.KindLoads, newMessage(loads, facts, doubts), MaxLoadPeers)
}

// shareAmongMany tells of parts and doubts alone; package loadhome is for the loads then. A
// few other daemons hear each turn that this one is there.
func (s *Sharer) shareAmongMany(now time.Time) {
	large, few := split(s.options.Memory.Untold())
	doubts := s.options.Pool.TakeFailureReports()
	if len(s.options.Others()) > MaxPartPeers && s.options.PublishParts != nil {
		s.options.PublishParts(large)
		large, doubts = nil, nil // homes of the back ends keep what is found out of them
	}
	s.tellAll(now, large, doubts)
	s.send(s.limiter, peerlink.KindLoads, newMessage(nil, few, nil), aliveTargets)
}

// split parts facts into those of large parts, for all daemons, and those for a few.
func split(facts []promptcache.Fact) (large, few []promptcache.Fact) {
	for _, fact := range facts {
		if fact.ForAll() {
			large = append(large, fact)
		} else {
			few = append(few, fact)
		}
	}
	return large, few
}

// tellAll tells all of many daemons of doubts and of large parts, without the loads, which
// are longer and told again soon. Parts are gathered for a moment.
func (s *Sharer) tellAll(now time.Time, large []promptcache.Fact, doubts []backendpool.FailureReport) {
	s.gathered = append(s.gathered, large...)
	early := now.Sub(s.toldAllAt) < gatherTime
	if len(doubts) == 0 && (len(s.gathered) == 0 || early) {
		return
	}
	s.send(s.factLimiter, peerlink.KindFacts, newMessage(nil, s.gathered, doubts), len(s.options.Others()))
	s.gathered, s.toldAllAt = nil, now
}

// send tells the next ones of the other daemons, within the bound on bytes.
func (s *Sharer) send(limiter *rate.Limiter, kind peerlink.Kind, told *message, count int) {
	datagram, fits := s.options.Link.Encode(kind, told)
	others := s.options.Others()
	if !fits || len(others) == 0 {
		return
	}
	for range min(count, len(others)) {
		if !limiter.AllowN(clock.Now(), len(datagram)) {
			return
		}
		s.options.Link.Send(others[s.next%len(others)], datagram)
		s.next++
	}
}

// receive hears another daemon's loads, and what came with them.
func (s *Sharer) receive(from string, got message) {
	s.receiveFacts(from, got)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heard[from] = heardLoads{at: clock.Now(), loads: got.loads()}
}

// receiveFacts hears of parts and doubts alone.
func (s *Sharer) receiveFacts(from string, got message) {
	now := clock.Now()
	s.options.Memory.Heard(now, got.facts())
	s.options.Pool.ReceiveFailureReports(now, from, got.Doubts)
}

// merge adds up what was heard lately.
func (s *Sharer) merge(now time.Time) map[uint64]backendpool.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	merged := map[uint64]backendpool.Load{}
	for from, told := range s.heard {
		if now.Sub(told.at) > forgetAfter {
			delete(s.heard, from)
			continue
		}
		for _, load := range told.loads {
			merged[load.Key] = merged[load.Key].Add(load)
		}
	}
	return merged
}
