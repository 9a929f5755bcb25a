package scheduler

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/placement"
)

// rankedCount is how many members a ranking keeps.
const rankedCount = 6

// hashRing ranks the members of a group for a key by rendezvous hashing. It looks
// at every member, which at thousands of them is a few microseconds.
type hashRing struct {
	members []*backendState
	// keys are the members' placement.Candidate.Key, beside each other in memory.
	keys []uint64
}

func (r *hashRing) add(member *backendState) {
	r.members = append(r.members, member)
	r.keys = append(r.keys, member.key)
}

func (r *hashRing) remove(member *backendState) {
	position := slices.Index(r.members, member)
	if position < 0 {
		return
	}
	r.members = slices.Delete(r.members, position, position+1)
	r.keys = slices.Delete(r.keys, position, position+1)
}

// ranking keeps the best members, best first; nil where there are none.
type ranking struct {
	members [rankedCount]*backendState
	scores  [rankedCount]uint64
}

// top returns the best members for a key.
func (r *hashRing) top(key uint64) [rankedCount]*backendState {
	var best ranking
	for position, memberKey := range r.keys {
		score := placement.Rank(key, memberKey)
		if score > best.scores[rankedCount-1] || best.members[rankedCount-1] == nil {
			best.add(r.members[position], score)
		}
	}
	return best.members
}

func (r *ranking) add(member *backendState, score uint64) {
	for place := range r.members {
		if r.members[place] == nil {
			r.members[place], r.scores[place] = member, score
			return
		}
		if score > r.scores[place] {
			r.members[place], member = member, r.members[place]
			r.scores[place], score = score, r.scores[place]
		}
	}
}
