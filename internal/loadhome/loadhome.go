// Package loadhome lets many daemons know what is under way at a back end at the moment of
// a choice, and what any of them has found out of it. Each back end has two homes among the
// daemons of its region, by rendezvous hashing. Whoever sends a request there, or hears its
// first byte or its end, notes so at the homes, and who is about to choose asks one of them. Up to some ten daemons all tell all instead (package
// loadshare); among more that is too much to tell, and an estimate of many places that live
// for a second is noise.
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
	// homesEach is how many homes a back end has: one may be gone.
	homesEach = 2
	// repeatInterval is how often what is under way is noted again, since notes may be lost,
	// and forgetAfter how long a note counts.
	repeatInterval = time.Second
	forgetAfter    = 2500 * time.Millisecond
)

// Options are what a Homes works with.
type Options struct {
	Link peerlink.Carrier
	// Others returns the addresses of the other daemons, in another slice whenever any of them
	// is described anew.
	Others func() []string
	Pool   *backendpool.Pool
	// Memory remembers where parts of prompts are.
	Memory   *promptcache.Memory
	Presence *presence.List
	// Zone returns the zone of a daemon, by its address; empty is unknown. Nil knows none.
	Zone func(address string) identity.Zone
	// OwnZone is this daemon's zone.
	OwnZone identity.Zone
	// Distances tells the regions of zones.
	Distances distance.Map
	Log       logrus.FieldLogger
}

// Homes notes this daemon's loads at their homes, asks for others', and is a home itself.
// It is safe for use by several goroutines.
type Homes struct {
	options       Options
	self          string
	ledger        *ledger
	questions     *peerlink.Questions[heard[answerMessage]]
	partQuestions *peerlink.Questions[heard[partAnswer]]
	silence       *presence.Silence
	groups        *peerlink.Groups
	// listed gets a value when back ends were listed; limitsTold is set once another daemon has told limits of requests, and
	// limitQuestions is how often they may still be asked for, in the goroutine of Run.
	listed         chan struct{}
	limitsTold     atomic.Bool
	limitQuestions int

	mutex sync.Mutex
	// known are the homes of back ends among the daemons of knownOf.
	known   map[uint64][]string
	knownOf *peerlink.Grouping
	// nearTimeout is how long answers from the own region are waited for, and farTimeout those from others.
	nearTimeout, farTimeout roundTrip
}

// New makes a Homes that is asked at once, and notes loads while it runs.
func New(options Options) *Homes {
	made := &Homes{
		options: options, self: options.Link.Address(), ledger: newLedger(),
		questions: peerlink.NewQuestions[heard[answerMessage]](), partQuestions: peerlink.NewQuestions[heard[partAnswer]](), silence: presence.NewSilence(options.Presence),
		listed: make(chan struct{}, 1), limitQuestions: limitQuestions,
	}
	made.nearTimeout.near = true
	made.groups = peerlink.NewGroups(made.self, made.region)
	peerlink.HandleDecoded(options.Link, peerlink.KindLoadNote, made.hearNote)
	peerlink.HandleDecoded(options.Link, peerlink.KindLoadQuestion, made.hearQuestion)
	peerlink.HandleDecoded(options.Link, peerlink.KindLoadAnswer, made.hearAnswer)
	peerlink.HandleDecoded(options.Link, peerlink.KindPartNote, made.hearPartNote)
	peerlink.HandleDecoded(options.Link, peerlink.KindPartQuestion, made.hearPartQuestion)
	peerlink.HandleDecoded(options.Link, peerlink.KindPartAnswer, made.hearPartAnswer)
	peerlink.HandleDecoded(options.Link, peerlink.KindFindingNote, made.hearFindings)
	peerlink.HandleDecoded(options.Link, peerlink.KindFindingKnown, made.hearKnown)
	peerlink.HandleDecoded(options.Link, peerlink.KindRequestLimits, made.hearLimits)
	peerlink.HandleDecoded(options.Link, peerlink.KindRequestLimitsQuestion, made.hearLimitsQuestion)
	return made
}

// Needed tells whether there are too many daemons to tell all of all loads.
func (h *Homes) Needed() bool { return len(h.options.Others()) > loadshare.MaxLoadPeers }

// PartsEnabled tells whether there are too many daemons to tell all where parts of prompts are: their homes are told then.
func (h *Homes) PartsEnabled() bool { return len(h.options.Others()) > loadshare.MaxPartPeers }

// Run notes loads as they change until the context ends.
func (h *Homes) Run(ctx context.Context) error {
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	listed := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.options.Pool.Changed():
			h.noteAll(h.options.Pool.ChangedLoads())
			h.noteFindings(h.options.Pool.TakeFindings())
			h.noteLimits(h.options.Pool.TakeChangedLimits())
		case <-h.listed:
			listed = true
			h.askLimits()
		case <-repeat.C:
			if listed {
				h.askLimits()
			}
			h.noteAll(h.options.Pool.Loads(loadshare.MaxLoads))
			h.ledger.prune()
		}
	}
}

// noteAll notes loads at their homes, those of one home in one datagram.
func (h *Homes) noteAll(loads []backendpool.Load) {
	if !h.Needed() {
		return
	}
	byHome := map[string][]loadshare.CompactLoad{}
	for _, load := range loads {
		for _, home := range h.homes(load.Key) {
			if home == h.self {
				h.ledger.note(clock.Now(), h.self, load)
				continue
			}
			byHome[home] = append(byHome[home], loadshare.Compact(load))
		}
	}
	for home, noted := range byHome {
		peerlink.Tell(h.options.Link, home, peerlink.KindLoadNote, &noteMessage{Loads: noted})
	}
}

// homes are the homes of a back end, by the hash of its ID.
func (h *Homes) homes(key uint64) []string {
	grouped := h.groups.Of(h.options.Others())
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if grouped != h.knownOf {
		h.known, h.knownOf = map[uint64][]string{}, grouped
	}
	found, known := h.known[key]
	if !known {
		daemons, sure := h.near(grouped, key)
		found = rendezvous.Top(key, daemons, homesEach)
		if sure {
			h.known[key] = found
		}
	}
	return found
}

// Refresh asks the homes of back ends, by the hashes of their IDs, for what other daemons
// have under way there, and tells the pool. It goes on with what is known where answers take
// longer than they mostly do.
func (h *Homes) Refresh(ctx context.Context, keys []uint64) {
	now := clock.Now()
	byHome := map[string][]uint64{}
	var loads []backendpool.Load
	for _, key := range keys {
		home := h.asked(now, key)
		if home == h.self {
			loads = append(loads, h.ledger.sum(now, key, h.self))
			h.options.Pool.ReceiveHomeFindings(now, []backendpool.Finding{h.options.Pool.FindingOf(now, key)})
			continue
		}
		byHome[home] = append(byHome[home], key)
	}
	h.options.Pool.UpdateOthersLoad(append(loads, h.ask(ctx, byHome)...))
}

// asked is the home of a back end that is asked: the first one that answers.
func (h *Homes) asked(now time.Time, key uint64) string { return h.firstAnswering(now, h.homes(key)) }

// firstAnswering is the first of some homes that was not silent lately.
func (h *Homes) firstAnswering(now time.Time, homes []string) string {
	for _, home := range homes {
		if home == h.self || !h.silence.Is(home, now) {
			return home
		}
	}
	return homes[0]
}

// ask asks homes, each for some back ends.
func (h *Homes) ask(ctx context.Context, byHome map[string][]uint64) []backendpool.Load {
	var loads []backendpool.Load
	tell := func(home string, number uint64, keys []uint64) {
		peerlink.Tell(h.options.Link, home, peerlink.KindLoadQuestion, &questionMessage{Number: number, Keys: keys})
	}
	gather(ctx, h, h.questions, byHome, tell, func(got answerMessage) {
		for _, load := range got.Loads {
			loads = append(loads, load.Load())
		}
	})
	return loads
}

func (h *Homes) noteSilent(byHome map[string][]uint64) {
	now, far, near := clock.Now(), false, false
	for home := range byHome {
		h.silence.Note(home, now)
		far = far || h.isFar(home)
		near = near || !(h.isFar(home) || h.isOwnZone(home))
	}
	if far {
		h.farTimeout.late()
	}
	if near {
		h.nearTimeout.late()
	}
}

// hearNote takes in another daemon's loads.
func (h *Homes) hearNote(from string, got noteMessage) {
	now := clock.Now()
	for _, load := range got.Loads {
		h.ledger.note(now, from, load.Load())
	}
}

// hearQuestion answers another daemon.
func (h *Homes) hearQuestion(from string, got questionMessage) {
	now := clock.Now()
	h.tellKnown(now, from, got.Keys)
	h.tellLimits(now, from, got.Keys)
	answer := &answerMessage{Number: got.Number}
	for _, key := range got.Keys {
		answer.Loads = append(answer.Loads, loadshare.Compact(h.ledger.sum(now, key, from)))
	}
	peerlink.Tell(h.options.Link, from, peerlink.KindLoadAnswer, answer)
}

func (h *Homes) hearAnswer(from string, got answerMessage) {
	h.questions.Answer(got.Number, heard[answerMessage]{from, got})
}
