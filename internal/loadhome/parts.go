package loadhome

import (
	"context"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// maxHolders bounds the back ends that a home returns as holding a part, and those that are about to read it.
// Requests with the part go to a few of them.
const maxHolders = 12

// partFact is the wire form of a promptcache.Fact.
type partFact struct {
	Part          uint64
	Backend       uint64
	Read, Dropped bool
}

// partNote reports the locations of prompt parts to a home.
type partNote struct{ Facts []partFact }

// partQuestion asks a home for the locations of prompt parts.
type partQuestion struct {
	Number uint64
	Parts  []uint64
}

// partAnswer is the answer to a partQuestion.
type partAnswer struct {
	Number uint64
	Parts  []partHolders
}

// partHolders lists the back ends that hold a part and those that are about to read it, by the hashes of their
// IDs, the most likely first.
type partHolders struct {
	Part          uint64
	Read, Reading []uint64
}

// PublishParts reports the locations of prompt parts to the homes of the parts. It is for fleets that are too
// large to broadcast them: the traffic that a daemon sends grows with its own requests, and what it receives with
// its share of the fleet's requests.
func (h *Homes) PublishParts(facts []promptcache.Fact) {
	byHome := map[string][]partFact{}
	for _, fact := range facts {
		for _, home := range h.partHomes(fact.Part) {
			if home != h.self { // its own facts are in its memory already
				byHome[home] = append(byHome[home], partFact{Part: uint64(fact.Part), Backend: fact.Backend, Read: fact.Read, Dropped: fact.Dropped})
			}
		}
	}
	for home, noted := range byHome {
		peerlink.Tell(h.options.Link, home, peerlink.KindPartNote, &partNote{Facts: noted})
	}
}

// partHomes returns the homes of a part, which are daemons of this daemon's region.
func (h *Homes) partHomes(part promptcache.Key) []string {
	grouped := h.groups.Of(h.options.Others())
	daemons := grouped.All
	if near := grouped.ByRegion[h.region(h.self)]; h.options.Distances.HasSeveralRegions() && len(near) > 0 {
		daemons = near
	}
	return rendezvous.Top(uint64(part), daemons, homesPerKey)
}

// receivePartNote records part locations reported by another daemon.
func (h *Homes) receivePartNote(_ string, got partNote) {
	facts := make([]promptcache.Fact, len(got.Facts))
	for index, sent := range got.Facts {
		facts[index] = promptcache.Fact{Part: promptcache.Key(sent.Part), Backend: sent.Backend, Read: sent.Read, Dropped: sent.Dropped}
	}
	h.options.Memory.Merge(clock.Now(), facts)
}

// RefreshParts queries the homes of prompt parts for their locations and records them. It proceeds without the
// answers that take longer than the adaptive timeout.
func (h *Homes) RefreshParts(ctx context.Context, parts []promptcache.Key) {
	if !h.PartsEnabled() {
		return
	}
	now := clock.Now()
	byHome := map[string][]uint64{}
	for _, part := range parts {
		if home := h.firstResponding(now, h.partHomes(part)); home != h.self {
			byHome[home] = append(byHome[home], uint64(part))
		}
	}
	send := func(home string, number uint64, parts []uint64) {
		peerlink.Tell(h.options.Link, home, peerlink.KindPartQuestion, &partQuestion{Number: number, Parts: parts})
	}
	queryHomes(ctx, h, h.partQuestions, byHome, send, h.applyPartAnswer)
}

// applyPartAnswer records the part locations in an answer.
func (h *Homes) applyPartAnswer(got partAnswer) {
	var facts []promptcache.Fact
	for _, part := range got.Parts {
		for _, read := range []bool{false, true} {
			holders := part.Reading
			if read {
				holders = part.Read
			}
			for index := len(holders) - 1; index >= 0; index-- { // the most likely is recorded last, as the newest
				facts = append(facts, promptcache.Fact{Part: promptcache.Key(part.Part), Backend: holders[index], Read: read})
			}
		}
	}
	h.options.Memory.Merge(clock.Now(), facts)
}

// receivePartQuestion answers a question of another daemon about prompt parts.
func (h *Homes) receivePartQuestion(from string, got partQuestion) {
	now := clock.Now()
	answer := &partAnswer{Number: got.Number}
	for _, part := range got.Parts {
		holders := h.options.Memory.Holders(now, promptcache.Key(part))
		answer.Parts = append(answer.Parts, partHolders{
			Part: part, Read: holders.Read[:min(len(holders.Read), maxHolders)], Reading: holders.Reading[:min(len(holders.Reading), maxHolders)],
		})
	}
	peerlink.Tell(h.options.Link, from, peerlink.KindPartAnswer, answer)
}

func (h *Homes) receivePartAnswer(from string, got partAnswer) {
	h.partQuestions.Answer(got.Number, peerAnswer[partAnswer]{from, got})
}
