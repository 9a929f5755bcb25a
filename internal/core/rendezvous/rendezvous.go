// Package rendezvous ranks members for a key by rendezvous (highest random
// weight) hashing. All who know the same members agree on the ranking without
// talking, and a member that comes or goes moves only its own keys.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of one member for a key. The highest score wins.
func Score(key uint64, member string) uint64 {
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], key)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}

// Key turns a name into a key.
func Key(name string) uint64 {
	return xxhash.Sum64String(name)
}

// AmongTop tells whether a member is among the count others and itself with the highest
// scores for the key. It mostly looks at few of the members, since it is enough to know
// count of them that score higher.
func AmongTop[Member ~string](key uint64, member Member, members []Member, count int) bool {
	own := Score(key, string(member))
	higher := 0
	for _, other := range members {
		if other == member {
			continue
		}
		score := Score(key, string(other))
		if score > own || (score == own && other < member) {
			higher++
		}
		if higher >= count {
			return false
		}
	}
	return count > 0
}

// Top returns the count members with the highest scores for the key, best first.
func Top[Member ~string](key uint64, members []Member, count int) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	ranking := make([]scored, 0, len(members))
	for _, member := range members {
		ranking = append(ranking, scored{member: member, score: Score(key, string(member))})
	}
	slices.SortFunc(ranking, func(left, right scored) int {
		if left.score != right.score {
			return cmp.Compare(right.score, left.score)
		}
		return cmp.Compare(left.member, right.member)
	})
	count = min(count, len(ranking))
	best := make([]Member, count)
	for index := range best {
		best[index] = ranking[index].member
	}
	return best
}

// WeightedTop returns the count members that rank first for the key, best first, where each
// member is first for a share of all keys that goes by its weight, above zero. With equal
// weights it ranks as Top does. A member whose weight changes moves only its own keys.
func WeightedTop[Member ~string](key uint64, members []Member, weight func(Member) float64, count int) []Member {
	count = min(count, len(members))
	best := make([]weighted[Member], 0, len(members))
	for _, member := range members {
		best = append(best, weigh(key, member, weight(member)))
	}
	slices.SortFunc(best, weighted[Member].compare)
	best = best[:count]
	first := make([]Member, len(best))
	for index := range best {
		first[index] = best[index].member
	}
	return first
}

// AmongWeightedTop tells whether WeightedTop of members and this one has it among the first.
func AmongWeightedTop[Member ~string](key uint64, member Member, members []Member, weight func(Member) float64, count int) bool {
	own := weigh(key, member, weight(member))
	higher := 0
	for _, other := range members {
		if other == member {
			continue
		}
		if weigh(key, other, weight(other)).compare(own) < 0 {
			higher++
		}
		if higher >= count {
			return false
		}
	}
	return count > 0
}

// weighted is a member with its place in a ranking.
type weighted[Member ~string] struct {
	member Member
	score  uint64
	// height is the score of weighted rendezvous hashing: the weight over the negative
	// logarithm of the score as a number between 0 and 1.
	height float64
}

func weigh[Member ~string](key uint64, member Member, weight float64) weighted[Member] {
	score := Score(key, string(member))
	fraction := (float64(score>>11) + 0.5) / (1 << 53) // neither 0 nor 1
	return weighted[Member]{member: member, score: score, height: weight / -math.Log(fraction)}
}

// compare is negative when the member goes before another one.
func (w weighted[Member]) compare(other weighted[Member]) int {
	return cmp.Or(cmp.Compare(other.height, w.height), cmp.Compare(other.score, w.score), cmp.Compare(w.member, other.member))
}
