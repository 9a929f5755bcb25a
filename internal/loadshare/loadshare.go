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

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// Times and sizes.
const (
	sendInterval = 100 * time.Millisecond
	// idleInterval is how often a load that doesn't change is told.
	idleInterval = 400 * time.Millisecond
	// forgetAfter is how long what a daemon told counts.
	forgetAfter = time.Second
	// maximumTargets bounds how many daemons are told of loads at a time. Where there
	// are more, the next ones are told in the next turn, and what is heard is scaled
	// up. Where large parts of prompts are is told to all, since it is told once.
	maximumTargets = 12
	// bytesPerSecond bounds what is sent. Where it isn't enough for all targets of a
	// turn, some are left out.
	bytesPerSecond = 36 << 10
	burstBytes     = 48 << 10
	maximumLoads   = 256
)

// message is one datagram's body.
type message struct {
	Loads  []load
	Facts  []fact
	Doubts []backendpool.Doubt
}

// load holds whole numbers, which are shorter.
type load struct {
	Key      uint64
	InFlight uint32
	Reading  uint32
	Tokens   uint32
}

type fact struct {
	Part    promptcache.Key
	Backend uint64
	Read    bool
	Dropped bool
}

func newMessage(loads []backendpool.Load, facts []promptcache.Fact, doubts []backendpool.Doubt) *message {
	told := &message{Doubts: doubts}
	for _, each := range loads {
		told.Loads = append(told.Loads, load{
			Key: each.Key, InFlight: uint32(each.InFlight), Reading: uint32(each.Reading), Tokens: uint32(each.Tokens),
		})
	}
	for _, each := range facts {
		told.Facts = append(told.Facts, fact{Part: each.Part, Backend: each.Backend, Read: each.Read, Dropped: each.Dropped})
	}
	return told
}

func (m *message) loads() []backendpool.Load {
	loads := make([]backendpool.Load, len(m.Loads))
	for index, each := range m.Loads {
		loads[index] = backendpool.Load{
			Key: each.Key, InFlight: float64(each.InFlight), Reading: float64(each.Reading), Tokens: float64(each.Tokens),
		}
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
}

// Sharer tells and hears loads.
type Sharer struct {
	options Options
	limiter *rate.Limiter
	mutex   sync.Mutex
	heard   map[string]heardLoads
	// next counts the daemons told; it belongs to the goroutine of Run.
	next int
}

// heardLoads is what one daemon told last.
type heardLoads struct {
	at    time.Time
	loads []backendpool.Load
}

// New makes a Sharer that hears of loads, and tells of its own once it runs.
func New(options Options) *Sharer {
	made := &Sharer{options: options, limiter: rate.NewLimiter(bytesPerSecond, burstBytes), heard: map[string]heardLoads{}}
	peerlink.HandleDecoded(options.Link, peerlink.KindLoads, made.receive)
	made.next = rand.IntN(math.MaxInt32)
	return made
}

// Run shares loads until the context ends.
func (s *Sharer) Run(ctx context.Context) error {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	var last []backendpool.Load
	var sentAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.options.Pool.SetOthersLoad(s.merge(now))
			loads := s.options.Pool.Loads(maximumLoads)
			facts := s.options.Memory.Untold()
			doubts := s.options.Pool.Doubts()
			if len(facts)+len(doubts) == 0 && slices.Equal(loads, last) && now.Sub(sentAt) < idleInterval {
				continue
			}
			last, sentAt = loads, now
			s.send(loads, facts, doubts)
		}
	}
}

// send tells the other daemons, within the bound on bytes: all of them of large parts and
// of doubts, and the next ones of loads and small parts alone.
func (s *Sharer) send(loads []backendpool.Load, facts []promptcache.Fact, doubts []backendpool.Doubt) {
	datagram, fits := s.options.Link.Encode(peerlink.KindLoads, newMessage(loads, facts, doubts))
	others := s.options.Others()
	if !fits || len(others) == 0 {
		return
	}
	count := len(others)
	if len(doubts) == 0 && !slices.ContainsFunc(facts, promptcache.Fact.ForAll) {
		count = min(count, maximumTargets)
	}
	for range count {
		if !s.limiter.AllowN(time.Now(), len(datagram)) {
			return
		}
		s.options.Link.Send(others[s.next%len(others)], datagram)
		s.next++
	}
}

// receive hears another daemon.
func (s *Sharer) receive(from string, got message) {
	now := time.Now()
	s.options.Memory.Heard(now, got.facts())
	s.options.Pool.HearDoubts(now, from, got.Doubts)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heard[from] = heardLoads{at: now, loads: got.loads()}
}

// merge adds up what was heard lately, scaled up to all other daemons. It returns true
// when all of them tell theirs, so that nothing had to be scaled.
func (s *Sharer) merge(now time.Time) (map[uint64]backendpool.Load, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	merged := map[uint64]backendpool.Load{}
	for from, told := range s.heard {
		if now.Sub(told.at) > forgetAfter {
			delete(s.heard, from)
			continue
		}
		for _, load := range told.loads {
			merged[load.Key] = merged[load.Key].Plus(load)
		}
	}
	others := len(s.options.Others())
	if others <= maximumTargets || len(s.heard) == 0 {
		return merged, others <= maximumTargets
	}
	scale := max(float64(others)/float64(len(s.heard)), 1)
	for key, load := range merged {
		merged[key] = load.Times(scale)
	}
	return merged, false
}
