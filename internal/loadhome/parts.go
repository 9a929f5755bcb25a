package loadhome

import (
	"context"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// toldHolders is how many back ends a home names that hold a part, and as many that are about to read it: requests with
// it go to a few of them.
const toldHolders = 12

// partFact is a promptcache.Fact as it is sent.
type partFact struct {
	Part          uint64
	Backend       uint64
	Read, Dropped bool
}

// partNote tells a home where parts of prompts are.
type partNote struct{ Facts []partFact }

// partQuestion asks a home for that.
type partQuestion struct {
	Number uint64
	Parts  []uint64
}

// partAnswer answers a partQuestion.
type partAnswer struct {
	Number uint64
	Parts  []partHolders
}

// partHolders are back ends that hold a part, and that are about to read it, by the hashes of their IDs, the likeliest
// first.
type partHolders struct {
	Part          uint64
	Read, Reading []uint64
}

// PublishParts tells homes of parts where these are. It is for fleets in which telling all daemons is too much: what a
// daemon tells goes by its own requests, and what it hears by the fleet's requests over the daemons.
func (h *Homes) PublishParts(facts []promptcache.Fact) {
	byHome := map[string][]partFact{}
	for _, fact := range facts {
		for _, home := range h.partHomes(fact.Part) {
			if home != h.self { // which remembers already
				byHome[home] = append(byHome[home], partFact{Part: uint64(fact.Part), Backend: fact.Backend, Read: fact.Read, Dropped: fact.Dropped})
			}
		}
	}
	for home, noted := range byHome {
		peerlink.Tell(h.options.Link, home, peerlink.KindPartNote, &partNote{Facts: noted})
	}
}

// partHomes are the homes of a part among the daemons of this one's region.
func (h *Homes) partHomes(part promptcache.Key) []string {
	grouped := h.groups.Of(h.options.Others())
	daemons := grouped.All
	if near := grouped.ByRegion[h.region(h.self)]; h.options.Distances.HasSeveralRegions() && len(near) > 0 {
		daemons = near
	}
	return rendezvous.Top(uint64(part), daemons, homesEach)
}

// hearPartNote takes in what another daemon tells.
func (h *Homes) hearPartNote(_ string, got partNote) {
	facts := make([]promptcache.Fact, len(got.Facts))
	for index, sent := range got.Facts {
		facts[index] = promptcache.Fact{Part: promptcache.Key(sent.Part), Backend: sent.Backend, Read: sent.Read, Dropped: sent.Dropped}
	}
	h.options.Memory.Heard(clock.Now(), facts)
}

// RefreshParts asks the homes of parts where these are, and remembers it. It goes on with what is known where answers
// take longer than they mostly do.
func (h *Homes) RefreshParts(ctx context.Context, parts []promptcache.Key) {
	if !h.PartsEnabled() {
		return
	}
	now := clock.Now()
	byHome := map[string][]uint64{}
	for _, part := range parts {
		if home := h.firstAnswering(now, h.partHomes(part)); home != h.self {
			byHome[home] = append(byHome[home], uint64(part))
		}
	}
	tell := func(home string, number uint64, parts []uint64) {
		peerlink.Tell(h.options.Link, home, peerlink.KindPartQuestion, &partQuestion{Number: number, Parts: parts})
	}
	gather(ctx, h, h.partQuestions, byHome, tell, h.remember)
}

// remember takes in where a home says that parts are.
func (h *Homes) remember(got partAnswer) {
	var facts []promptcache.Fact
	for _, part := range got.Parts {
		for _, read := range []bool{false, true} {
			holders := part.Reading
			if read {
				holders = part.Read
			}
			for index := len(holders) - 1; index >= 0; index-- { // the likeliest is remembered last, as the newest
				facts = append(facts, promptcache.Fact{Part: promptcache.Key(part.Part), Backend: holders[index], Read: read})
			}
		}
	}
	h.options.Memory.Heard(clock.Now(), facts)
}

// hearPartQuestion answers another daemon.
func (h *Homes) hearPartQuestion(from string, got partQuestion) {
	now := clock.Now()
	answer := &partAnswer{Number: got.Number}
	for _, part := range got.Parts {
		holders := h.options.Memory.Holders(now, promptcache.Key(part))
		answer.Parts = append(answer.Parts, partHolders{
			Part: part, Read: holders.Read[:min(len(holders.Read), toldHolders)], Reading: holders.Reading[:min(len(holders.Reading), toldHolders)],
		})
	}
	peerlink.Tell(h.options.Link, from, peerlink.KindPartAnswer, answer)
}

func (h *Homes) hearPartAnswer(from string, got partAnswer) {
	h.partQuestions.Answer(got.Number, heard[partAnswer]{from, got})
}
