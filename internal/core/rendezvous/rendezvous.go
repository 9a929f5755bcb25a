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

// fewKept is up to how many of the first members are kept in one pass. Of more, sorting all takes less.
const fewKept = 16

// Top returns the count members with the highest scores for the key, best first.
func Top[Member ~string](key uint64, members []Member, count int) []Member {
	return topBy(members, count, func(member Member) weighted[Member] {
		return weighted[Member]{member: member, score: Score(key, string(member))}
	})
}

// WeightedTop returns the count members that rank first for the key, best first, where each
// member is first for a share of all keys that goes by its weight, above zero. With equal
// weights it ranks as Top does. A member whose weight changes moves only its own keys.
func WeightedTop[Member ~string](key uint64, members []Member, weight func(Member) float64, count int) []Member {
	return topBy(members, count, func(member Member) weighted[Member] { return weigh(key, member, weight(member)) })
}

// topBy returns the count members that go first by their places in a ranking.
func topBy[Member ~string](members []Member, count int, placed func(Member) weighted[Member]) []Member {
	count = min(count, len(members))
	var best []weighted[Member]
	if count > fewKept {
		best = sorted(members, placed)[:count]
	} else {
		best = fewOf(members, count, placed)
	}
	first := make([]Member, count)
	for index := range first {
		first[index] = best[index].member
	}
	return first
}

func sorted[Member ~string](members []Member, placed func(Member) weighted[Member]) []weighted[Member] {
	all := make([]weighted[Member], len(members))
	for index, member := range members {
		all[index] = placed(member)
	}
	slices.SortFunc(all, weighted[Member].compare)
	return all
}

// fewOf keeps the first count members alone.
func fewOf[Member ~string](members []Member, count int, placed func(Member) weighted[Member]) []weighted[Member] {
	best := make([]weighted[Member], 0, count+1)
	for _, member := range members {
		next := placed(member)
		if count == 0 || (len(best) == count && best[count-1].compare(next) < 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, next, weighted[Member].compare)
		best = slices.Insert(best, at, next)
		best = best[:min(len(best), count)]
	}
	return best
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

// WeightedRank is how many of the members rank before one of them for the key, as WeightedTop ranks them.
func WeightedRank[Member ~string](key uint64, member Member, members []Member, weight func(Member) float64) int {
	own := weigh(key, member, weight(member))
	rank := 0
	for _, other := range members {
		if other != member && weigh(key, other, weight(other)).compare(own) < 0 {
			rank++
		}
	}
	return rank
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
