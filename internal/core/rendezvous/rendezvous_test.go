package rendezvous

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A member that goes must move only the keys that it was first for.
func TestLeavingMemberMovesOnlyItsOwnKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 2, 12, rapid.ID[string]).Draw(t, "members")
		gone := rapid.SampledFrom(members).Draw(t, "gone")
		key := rapid.Uint64().Draw(t, "key")

		before := Top(key, members, 1)[0]
		remaining := slices.DeleteFunc(slices.Clone(members), func(member string) bool { return member == gone })
		after := Top(key, remaining, 1)[0]

		if before != gone {
			assert.Equal(t, before, after)
		}
	})
}

func TestKeysSpreadOverMembers(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	counts := map[string]int{}
	const keys = 4000
	for key := range uint64(keys) {
		counts[Top(key, members, 1)[0]]++
	}
	for _, member := range members {
		assert.Assert(t, counts[member] > keys/len(members)*8/10, "%v", counts)
	}
}

// TestAmongTopAgreesWithTop asks for single members what Top says of all.
func TestAmongTopAgreesWithTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 1, 40, rapid.ID[string]).Draw(t, "members")
		count := rapid.IntRange(0, 5).Draw(t, "count")
		key := rapid.Uint64().Draw(t, "key")
		top := Top(key, members, count)
		for _, member := range members {
			assert.Equal(t, AmongTop(key, member, members, count), slices.Contains(top, member))
		}
	})
}
