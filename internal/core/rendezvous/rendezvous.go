// Package rendezvous ranks members for a key by rendezvous (highest random weight) hashing.
// All daemons that know the same members (and, for the weighted ranking, the same weights) compute
// the same ranking without coordination, and adding or removing a member moves only the keys of
// that member.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the hash of a key and a member. The member with the highest score ranks first.
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

// AmongTop reports whether member would be among the count members with the highest scores for the
// key; members need not contain member. If it isn't among them, usually only a few members are
// examined, since the scan stops at the count-th one that ranks before it.
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

// Top returns the count members with the highest scores for the key, or all members if there are
// fewer, best first.
func Top[Member ~string](key uint64, members []Member, count int) []Member {
	return topBy(members, count, func(member Member) scored[Member] {
		return scored[Member]{member: member, score: Score(key, string(member))}
	})
}

// WeightedTop returns the count highest-ranked members for the key, or all members if there are
// fewer, best first. Each member ranks first for a share of the keys proportional to its weight,
// which must be positive. With equal weights the ranking is that of Top. Changing a member's weight
// moves only the keys of that member.
func WeightedTop[Member ~string](key uint64, members []Member, weight func(Member) float64, count int) []Member {
	return topBy(members, count, func(member Member) scored[Member] { return evaluateWeighted(key, member, weight(member)) })
}

// topBy returns the first count members of the ranking by evaluate, or all if there are fewer.
func topBy[Member ~string](members []Member, count int, evaluate func(Member) scored[Member]) []Member {
	count = min(count, len(members))
	var best []scored[Member]
	if count > maxInsertionTop {
		best = sortAll(members, evaluate)[:count]
	} else {
		best = topByInsertion(members, count, evaluate)
	}
	first := make([]Member, count)
	for index := range first {
		first[index] = best[index].member
	}
	return first
}

func sortAll[Member ~string](members []Member, evaluate func(Member) scored[Member]) []scored[Member] {
	all := make([]scored[Member], len(members))
	for index, member := range members {
		all[index] = evaluate(member)
	}
	slices.SortFunc(all, scored[Member].compare)
	return all
}

// topByInsertion returns the first count members. It scans all members once and keeps at most the
// best count seen so far.
func topByInsertion[Member ~string](members []Member, count int, evaluate func(Member) scored[Member]) []scored[Member] {
	best := make([]scored[Member], 0, count+1)
	for _, member := range members {
		next := evaluate(member)
		if count == 0 || (len(best) == count && best[count-1].compare(next) < 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, next, scored[Member].compare)
		best = slices.Insert(best, at, next)
		best = best[:min(len(best), count)]
	}
	return best
}

// AmongWeightedTop reports whether member would be among the first count members of the weighted
// ranking (see WeightedTop); members need not contain member.
func AmongWeightedTop[Member ~string](key uint64, member Member, members []Member, weight func(Member) float64, count int) bool {
	own := evaluateWeighted(key, member, weight(member))
	higher := 0
	for _, other := range members {
		if other == member {
			continue
		}
		if evaluateWeighted(key, other, weight(other)).compare(own) < 0 {
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
	own := evaluateWeighted(key, member, weight(member))
	rank := 0
	for _, other := range members {
		if other != member && evaluateWeighted(key, other, weight(other)).compare(own) < 0 {
			rank++
		}
	}
	return rank
}

// scored is a member with its scores. weightedScore is 0 in the unweighted ranking, so that compare
// goes by score.
type scored[Member ~string] struct {
	member Member
	score  uint64
	// weightedScore is the score of weighted rendezvous hashing: the weight divided by
	// -ln(x), where x is the score scaled to a number between 0 and 1.
	weightedScore float64
}

func evaluateWeighted[Member ~string](key uint64, member Member, weight float64) scored[Member] {
	score := Score(key, string(member))
	// Never 0; 1, which ranks the member last, only if the top 53 bits are all set.
	fraction := (float64(score>>11) + 0.5) / (1 << 53)
	return scored[Member]{member: member, score: score, weightedScore: weight / -math.Log(fraction)}
}

// compare returns a negative number if s ranks before other.
func (s scored[Member]) compare(other scored[Member]) int {
	return cmp.Or(cmp.Compare(other.weightedScore, s.weightedScore), cmp.Compare(other.score, s.score), cmp.Compare(s.member, other.member))
}
