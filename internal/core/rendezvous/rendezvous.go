// Package rendezvous ranks members for a key by rendezvous (highest random
// weight) hashing. All who know the same members agree on the ranking without
// talking, and a member that comes or goes moves only its own keys.
package rendezvous

import (
	"cmp"
	"encoding/binary"
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
