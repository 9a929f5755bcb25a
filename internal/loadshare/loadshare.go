// Package loadshare exchanges, between daemons, their loads at each back end, the locations of shared prompt parts
// and reports of back ends that could not be reached. They are sent several times a second in single datagrams,
// which may be lost. A daemon that was not heard from for a moment counts as having no load.
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

const (
	sendInterval = 100 * time.Millisecond
	// unchangedInterval is how often unchanged loads are sent.
	unchangedInterval = 400 * time.Millisecond
	// reportTTL is how long the loads reported by a daemon are valid.
	reportTTL = time.Second
	// MaxLoadPeers is the maximum number of other daemons for which loads are broadcast. In larger fleets the
	// locations of large prompt parts are still broadcast, since each is sent only once.
	MaxLoadPeers = 12
	// MaxPartPeers is the maximum number of other daemons for which the locations of large prompt parts are
	// broadcast. In larger fleets the facts of a few requests per second would use up the bandwidth limit, so they
	// are sent to the homes of the parts.
	MaxPartPeers = 128
	// heartbeatTargets is how many other daemons of a large fleet receive a message in each round, as a sign that
	// this daemon is alive.
	heartbeatTargets = 4
	// bytesPerSecond limits the bandwidth. If it does not suffice for all targets of a round, some are skipped. In
	// a large fleet broadcasts are limited to factBandwidthShare of it.
	bytesPerSecond     = 36 << 10
	burstBytes         = 48 << 10
	factBandwidthShare = 0.7
	// MaxLoads limits the number of back ends whose loads are sent at a time.
	MaxLoads = 256
	// batchTime is how long facts about large parts are collected into one datagram in a large fleet: the frame
	// and name of a datagram are as long as some facts.
	batchTime = 300 * time.Millisecond
)

// message is the body of a datagram.
type message struct {
	Loads  []CompactLoad
	Facts  []fact
	Doubts []backendpool.FailureReport
}

// CompactLoad is the wire form of a load, in integers, which are shorter.
type CompactLoad struct {
	Key      uint64
	InFlight uint32
	Reading  uint32
	Tokens   uint32
}

// Compact returns the wire form of a load, truncated to integers.
func Compact(load backendpool.Load) CompactLoad {
	return CompactLoad{Key: load.Key, InFlight: uint32(load.InFlight), Reading: uint32(load.Reading), Tokens: uint32(load.Tokens)}
}

// Load returns the load that c encodes.
func (c CompactLoad) Load() backendpool.Load {
	return backendpool.Load{Key: c.Key, InFlight: float64(c.InFlight), Reading: float64(c.Reading), Tokens: float64(c.Tokens)}
}

type fact struct {
	Part    promptcache.Key
	Backend uint64
	Read    bool
	Dropped bool
}

func newMessage(loads []backendpool.Load, facts []promptcache.Fact, failures []backendpool.FailureReport) *message {
	created := &message{Doubts: failures}
	for _, each := range loads {
		created.Loads = append(created.Loads, Compact(each))
	}
	for _, each := range facts {
		created.Facts = append(created.Facts, fact{Part: each.Part, Backend: each.Backend, Read: each.Read, Dropped: each.Dropped})
	}
	return created
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

// Options configures a Sharer.
type Options struct {
	Link *peerlink.Link
	// Others returns the addresses of the other daemons.
	Others func() []string
	Pool   *backendpool.Pool
	Memory *promptcache.Index
	// PublishParts sends the locations of prompt parts to the homes of the parts. It is called instead of
	// broadcasting them if there are more than MaxPartPeers other daemons. If nil, they are always broadcast.
	PublishParts func(facts []promptcache.Fact)
}

// Sharer sends and receives loads, facts and failure reports.
type Sharer struct {
	options Options
	// limiter limits all traffic in a small fleet. In a large fleet it limits the messages to single daemons, and
	// factLimiter the broadcasts.
	limiter, factLimiter *rate.Limiter
	mutex                sync.Mutex
	reports              map[string]loadReport
	// The fields below are used only by the goroutine of Run. lastLoads are the loads sent last, at lastLoadsAt.
	// nextTarget counts the messages sent, to rotate through the daemons. batchedFacts wait for the next
	// broadcast; the last one was at lastBroadcastAt.
	lastLoads       []backendpool.Load
	lastLoadsAt     time.Time
	nextTarget      int
	batchedFacts    []promptcache.Fact
	lastBroadcastAt time.Time
}

// loadReport is the last report of one daemon.
type loadReport struct {
	at    time.Time
	loads []backendpool.Load
}

// New creates a Sharer and registers its message handlers. Own loads are sent while Run is active.
func New(options Options) *Sharer {
	made := &Sharer{options: options, limiter: rate.NewLimiter(bytesPerSecond, burstBytes), factLimiter: rate.NewLimiter(factBandwidthShare*bytesPerSecond, burstBytes), reports: map[string]loadReport{}}
	peerlink.HandleDecoded(options.Link, peerlink.KindLoads, made.receive)
	peerlink.HandleDecoded(options.Link, peerlink.KindFacts, made.receiveFacts)
	made.nextTarget = rand.IntN(math.MaxInt32)
	return made
}

// Run shares loads until the context ends.
func (s *Sharer) Run(ctx context.Context) error {
	pause.Every(ctx, sendInterval, s.share)
	return nil
}

// share applies the received loads, and sends the own ones if they changed.
func (s *Sharer) share(now time.Time) {
	if len(s.options.Others()) > MaxLoadPeers {
		s.shareInLargeFleet(now)
		return
	}
	s.options.Pool.SetOthersLoad(s.sumReports(now), true)
	loads := s.options.Pool.Loads(MaxLoads)
	facts, failures := s.options.Memory.DrainPending(), s.options.Pool.TakeFailureReports()
	if len(facts)+len(failures) == 0 && slices.Equal(loads, s.lastLoads) && now.Sub(s.lastLoadsAt) < unchangedInterval {
		return
	}
	s.lastLoads, s.lastLoadsAt = loads, now
	s.send(s.limiter, peerlink.KindLoads, newMessage(loads, facts, failures), MaxLoadPeers)
}

// shareInLargeFleet sends only facts and failure reports; package loadhome handles the loads in a large fleet. In
// each round a few other daemons receive a message as a sign of life.
func (s *Sharer) shareInLargeFleet(now time.Time) {
	large, few := splitByAudience(s.options.Memory.DrainPending())
	failures := s.options.Pool.TakeFailureReports()
	if len(s.options.Others()) > MaxPartPeers && s.options.PublishParts != nil {
		s.options.PublishParts(large)
		large, failures = nil, nil // the homes of back ends distribute findings
	}
	s.broadcastFacts(now, large, failures)
	s.send(s.limiter, peerlink.KindLoads, newMessage(nil, few, nil), heartbeatTargets)
}

// splitByAudience separates the facts about large parts, which go to all daemons, from those that go to a few.
func splitByAudience(facts []promptcache.Fact) (large, few []promptcache.Fact) {
	for _, fact := range facts {
		if fact.IsBroadcast() {
			large = append(large, fact)
		} else {
			few = append(few, fact)
		}
	}
	return large, few
}

// broadcastFacts sends failure reports and facts about large parts to all daemons. Loads are not included, as they
// are longer and soon sent again. Facts are batched for batchTime unless there are failure reports to send.
func (s *Sharer) broadcastFacts(now time.Time, large []promptcache.Fact, failures []backendpool.FailureReport) {
	s.batchedFacts = append(s.batchedFacts, large...)
	batching := now.Sub(s.lastBroadcastAt) < batchTime
	if len(failures) == 0 && (len(s.batchedFacts) == 0 || batching) {
		return
	}
	s.send(s.factLimiter, peerlink.KindFacts, newMessage(nil, s.batchedFacts, failures), len(s.options.Others()))
	s.batchedFacts, s.lastBroadcastAt = nil, now
}

// send sends a message to the next daemons in rotation, within the bandwidth limit.
func (s *Sharer) send(limiter *rate.Limiter, kind peerlink.Kind, content *message, count int) {
	datagram, fits := s.options.Link.Encode(kind, content)
	others := s.options.Others()
	if !fits || len(others) == 0 {
		return
	}
	for range min(count, len(others)) {
		if !limiter.AllowN(clock.Now(), len(datagram)) {
			return
		}
		s.options.Link.Send(others[s.nextTarget%len(others)], datagram)
		s.nextTarget++
	}
}

// receive records the loads of another daemon and applies the facts and failure reports sent along with them.
func (s *Sharer) receive(from string, got message) {
	s.receiveFacts(from, got)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reports[from] = loadReport{at: clock.Now(), loads: got.loads()}
}

// receiveFacts applies facts and failure reports.
func (s *Sharer) receiveFacts(from string, got message) {
	now := clock.Now()
	s.options.Memory.Merge(now, got.facts())
	s.options.Pool.ReceiveFailureReports(now, from, got.Doubts)
}

// sumReports returns the sums of the recently reported loads.
func (s *Sharer) sumReports(now time.Time) map[uint64]backendpool.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sums := map[uint64]backendpool.Load{}
	for from, report := range s.reports {
		if now.Sub(report.at) > reportTTL {
			delete(s.reports, from)
			continue
		}
		for _, load := range report.loads {
			sums[load.Key] = sums[load.Key].Add(load)
		}
	}
	return sums
}
