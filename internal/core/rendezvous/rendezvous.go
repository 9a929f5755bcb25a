// Package rendezvous ranks members for a key by rendezvous (highest random weight) hashing.
// Everyone who knows the same members computes the same ranking without coordination, and adding
// or removing a member moves only the keys of that member.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the hash weight of a member for a key. The highest score ranks first.
func Score(key uint64, member string) uint64 {
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], key)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}

// Key hashes a name to a key.
func Key(name string) uint64 {
	return xxhash.Sum64String(name)
}

// AmongTop reports whether a member is among the count members with the highest scores for the
// key; it need not be in members itself. It usually examines only a few members, since it stops at
// the count-th higher score.
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

// maxInsertionTop is the highest count for which the top members are selected by insertion in one
// pass. Above it, sorting all members is faster.
const maxInsertionTop = 16

// Top returns the count members with the highest scores for the key, best first.
func Top[Member ~string](key uint64, members []Member, count int) []Member {
	return topBy(members, count, func(member Member) weighted[Member] {
		return weighted[Member]{member: member, score: Score(key, string(member))}
	})
}

// WeightedTop returns the count highest-ranked members for the key, best first. Each member ranks
// first for a share of the keys proportional to its weight, which must be positive. With equal
// weights the ranking is that of Top. Changing a member's weight moves only the keys of that
// member.
func WeightedTop[Member ~string](key uint64, members []Member, weight func(Member) float64, count int) []Member {
	return topBy(members, count, func(member Member) weighted[Member] { return weigh(key, member, weight(member)) })
}

// topBy returns the first count members of a ranking.
func topBy[Member ~string](members []Member, count int, scoreOf func(Member) weighted[Member]) []Member {
	count = min(count, len(members))
	var best []weighted[Member]
	if count > maxInsertionTop {
		best = sortAll(members, scoreOf)[:count]
	} else {
		best = topByInsertion(members, count, scoreOf)
	}
	first := make([]Member, count)
	for index := range first {
		first[index] = best[index].member
	}
	return first
}

func sortAll[Member ~string](members []Member, scoreOf func(Member) weighted[Member]) []weighted[Member] {
	all := make([]weighted[Member], len(members))
	for index, member := range members {
		all[index] = scoreOf(member)
	}
	slices.SortFunc(all, weighted[Member].compare)
	return all
}

// topByInsertion returns the first count members, keeping only that many while it scans them.
func topByInsertion[Member ~string](members []Member, count int, scoreOf func(Member) weighted[Member]) []weighted[Member] {
	best := make([]weighted[Member], 0, count+1)
	for _, member := range members {
		next := scoreOf(member)
		if count == 0 || (len(best) == count && best[count-1].compare(next) < 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, next, weighted[Member].compare)
		best = slices.Insert(best, at, next)
		best = best[:min(len(best), count)]
	}
	return best
}

// AmongWeightedTop reports whether WeightedTop of the members, including this one, contains it.
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

// WeightedRank returns the number of members that rank before the given one for the key, by the
// ranking of WeightedTop.
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

// weighted is a member with its score.
type weighted[Member ~string] struct {
	member Member
	score  uint64
	// weightedScore is the score of weighted rendezvous hashing: the weight divided by the negative
	// logarithm of the score, scaled to a number between 0 and 1.
	weightedScore float64
}

func weigh[Member ~string](key uint64, member Member, weight float64) weighted[Member] {
	score := Score(key, string(member))
	fraction := (float64(score>>11) + 0.5) / (1 << 53) // neither 0 nor 1
	return weighted[Member]{member: member, score: score, weightedScore: weight / -math.Log(fraction)}
}

// compare returns a negative number if w ranks before other.
func (w weighted[Member]) compare(other weighted[Member]) int {
	return cmp.Or(cmp.Compare(other.weightedScore, w.weightedScore), cmp.Compare(other.score, w.score), cmp.Compare(w.member, other.member))
}
