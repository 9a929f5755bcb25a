// Package loadhome gives daemons of a large fleet the current load of a back end when they select one, along with
// the findings of other daemons about it. Each back end has two home daemons in its region, chosen by rendezvous
// hashing. A daemon reports to the homes when it starts a request at a back end, receives its first byte or ends
// it, and queries one home before it selects.
//
// Up to about ten daemons broadcast their loads instead (package loadshare). In a larger fleet the broadcasts need
// too much bandwidth, and an estimate of many slots from reports that are valid for a second is too noisy.
package loadhome

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/loadshare"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/presence"
)

const (
	// homesPerKey is the number of homes of a back end or prompt part: with two, one may fail.
	homesPerKey = 2
	// repeatInterval is how often loads are reported again, since datagrams may be lost, and reportTTL how long a
	// report is valid.
	repeatInterval = time.Second
	reportTTL      = 2500 * time.Millisecond
)

// Options configures a Homes.
type Options struct {
	Link peerlink.Carrier
	// Others returns the addresses of the other daemons. It returns a new slice whenever the description of one of
	// them changes.
	Others func() []string
	Pool   *backendpool.Pool
	// Memory records which back ends hold parts of prompts.
	Memory   *promptcache.Index
	Presence *presence.List
	// Zone returns the zone of a daemon by its address, or an empty string if unknown. If nil, no zone is known.
	Zone func(address string) identity.Zone
	// OwnZone is this daemon's zone.
	OwnZone identity.Zone
	// Distances maps zones to regions.
	Distances distance.Map
	Log       logrus.FieldLogger
}

// Homes reports this daemon's loads to their homes, queries the loads of other daemons, and serves as a home
// itself. It is safe for concurrent use.
type Homes struct {
	options       Options
	self          string
	loads         *loadTable
	questions     *peerlink.Questions[peerAnswer[answerMessage]]
	partQuestions *peerlink.Questions[peerAnswer[partAnswer]]
	silence       *presence.Unresponsive
	groups        *peerlink.Groups
	// listed is signalled when back ends were listed. limitsReceived is set once another daemon has sent limits.
	// limitQuestionsLeft is how often limits may still be requested; only the goroutine of Run uses it.
	listed             chan struct{}
	limitsReceived     atomic.Bool
	limitQuestionsLeft int

	mutex sync.Mutex
	// homesByKey caches the homes of back ends for the daemons in homesGrouping.
	homesByKey    map[uint64][]string
	homesGrouping *peerlink.Grouping
	// sameRegionRTT and otherRegionRTT determine how long answers from this and from other regions are awaited.
	sameRegionRTT, otherRegionRTT rttEstimator
}

// New creates a Homes and registers its message handlers. Loads are reported while Run is active.
func New(options Options) *Homes {
	made := &Homes{
		options: options, self: options.Link.Address(), loads: newLoadTable(),
		questions: peerlink.NewQuestions[peerAnswer[answerMessage]](), partQuestions: peerlink.NewQuestions[peerAnswer[partAnswer]](), silence: presence.NewUnresponsive(options.Presence),
		listed: make(chan struct{}, 1), limitQuestionsLeft: maxLimitQuestions,
	}
	made.sameRegionRTT.sameRegion = true
	made.groups = peerlink.NewGroups(made.self, made.region)
	peerlink.HandleDecoded(options.Link, peerlink.KindLoadNote, made.receiveNote)
	peerlink.HandleDecoded(options.Link, peerlink.KindLoadQuestion, made.receiveQuestion)
	peerlink.HandleDecoded(options.Link, peerlink.KindLoadAnswer, made.receiveAnswer)
	peerlink.HandleDecoded(options.Link, peerlink.KindPartNote, made.receivePartNote)
	peerlink.HandleDecoded(options.Link, peerlink.KindPartQuestion, made.receivePartQuestion)
	peerlink.HandleDecoded(options.Link, peerlink.KindPartAnswer, made.receivePartAnswer)
	peerlink.HandleDecoded(options.Link, peerlink.KindFindingNote, made.receiveFindings)
	peerlink.HandleDecoded(options.Link, peerlink.KindFindingKnown, made.receiveKnownFindings)
	peerlink.HandleDecoded(options.Link, peerlink.KindRequestLimits, made.receiveLimits)
	peerlink.HandleDecoded(options.Link, peerlink.KindRequestLimitsQuestion, made.receiveLimitsQuestion)
	return made
}

// Needed reports whether the fleet is too large to broadcast loads.
func (h *Homes) Needed() bool { return len(h.options.Others()) > loadshare.MaxLoadPeers }

// PartsEnabled reports whether the fleet is too large to broadcast the locations of prompt parts, so that they go
// to the homes of the parts.
func (h *Homes) PartsEnabled() bool { return len(h.options.Others()) > loadshare.MaxPartPeers }

// Run reports loads as they change until the context ends.
func (h *Homes) Run(ctx context.Context) error {
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	listed := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.options.Pool.Changed():
			h.sendLoads(h.options.Pool.ChangedLoads())
			h.sendFindings(h.options.Pool.TakeFindings())
			h.sendLimitChanges(h.options.Pool.TakeChangedLimits())
		case <-h.listed:
			listed = true
			h.requestLimits()
		case <-repeat.C:
			if listed {
				h.requestLimits()
			}
			h.sendLoads(h.options.Pool.Loads(loadshare.MaxLoads))
			h.loads.prune()
		}
	}
}

// sendLoads reports loads to their homes, with one datagram per home.
func (h *Homes) sendLoads(loads []backendpool.Load) {
	if !h.Needed() {
		return
	}
	byHome := map[string][]loadshare.CompactLoad{}
	for _, load := range loads {
		for _, home := range h.homes(load.Key) {
			if home == h.self {
				h.loads.record(clock.Now(), h.self, load)
				continue
			}
			byHome[home] = append(byHome[home], loadshare.Compact(load))
		}
	}
	for home, reports := range byHome {
		peerlink.Tell(h.options.Link, home, peerlink.KindLoadNote, &noteMessage{Loads: reports})
	}
}

// homes returns the homes of a back end, given the hash of its ID.
func (h *Homes) homes(key uint64) []string {
	grouped := h.groups.Of(h.options.Others())
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if grouped != h.homesGrouping {
		h.homesByKey, h.homesGrouping = map[uint64][]string{}, grouped
	}
	found, known := h.homesByKey[key]
	if !known {
		daemons, sure := h.candidateDaemons(grouped, key)
		found = rendezvous.Top(key, daemons, homesPerKey)
		if sure {
			h.homesByKey[key] = found
		}
	}
	return found
}

// Refresh queries the homes of back ends, given the hashes of their IDs, for the loads of other daemons and
// updates the pool. It proceeds without the answers that take longer than the adaptive timeout.
func (h *Homes) Refresh(ctx context.Context, keys []uint64) {
	now := clock.Now()
	byHome := map[string][]uint64{}
	var loads []backendpool.Load
	for _, key := range keys {
		home := h.respondingHome(now, key)
		if home == h.self {
			loads = append(loads, h.loads.sumExcept(now, key, h.self))
			h.options.Pool.ReceiveHomeFindings(now, []backendpool.Finding{h.options.Pool.FindingOf(now, key)})
			continue
		}
		byHome[home] = append(byHome[home], key)
	}
	h.options.Pool.UpdateOthersLoad(append(loads, h.queryLoads(ctx, byHome)...))
}

// respondingHome returns the home of a back end to query: the first that responds.
func (h *Homes) respondingHome(now time.Time, key uint64) string {
	return h.firstResponding(now, h.homes(key))
}

// firstResponding returns the first home that did not time out recently, or the first one if all did.
func (h *Homes) firstResponding(now time.Time, homes []string) string {
	for _, home := range homes {
		if home == h.self || !h.silence.Contains(home, now) {
			return home
		}
	}
	return homes[0]
}

// queryLoads queries homes for the loads of the given back ends.
func (h *Homes) queryLoads(ctx context.Context, byHome map[string][]uint64) []backendpool.Load {
	var loads []backendpool.Load
	send := func(home string, number uint64, keys []uint64) {
		peerlink.Tell(h.options.Link, home, peerlink.KindLoadQuestion, &questionMessage{Number: number, Keys: keys})
	}
	queryHomes(ctx, h, h.questions, byHome, send, func(got answerMessage) {
		for _, load := range got.Loads {
			loads = append(loads, load.Load())
		}
	})
	return loads
}

func (h *Homes) recordTimeouts(byHome map[string][]uint64) {
	now, otherRegion, otherZone := clock.Now(), false, false
	for home := range byHome {
		h.silence.Add(home, now)
		otherRegion = otherRegion || h.isOtherRegion(home)
		otherZone = otherZone || !(h.isOtherRegion(home) || h.isOwnZone(home))
	}
	if otherRegion {
		h.otherRegionRTT.recordTimeout()
	}
	if otherZone {
		h.sameRegionRTT.recordTimeout()
	}
}

// receiveNote records the loads of another daemon.
func (h *Homes) receiveNote(from string, got noteMessage) {
	now := clock.Now()
	for _, load := range got.Loads {
		h.loads.record(now, from, load.Load())
	}
}

// receiveQuestion answers a load question of another daemon.
func (h *Homes) receiveQuestion(from string, got questionMessage) {
	now := clock.Now()
	h.sendKnownFindings(now, from, got.Keys)
	h.sendKnownLimits(now, from, got.Keys)
	answer := &answerMessage{Number: got.Number}
	for _, key := range got.Keys {
		answer.Loads = append(answer.Loads, loadshare.Compact(h.loads.sumExcept(now, key, from)))
	}
	peerlink.Tell(h.options.Link, from, peerlink.KindLoadAnswer, answer)
}

func (h *Homes) receiveAnswer(from string, got answerMessage) {
	h.questions.Answer(got.Number, peerAnswer[answerMessage]{from, got})
}
