package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestRemovedMemberMovesOnlyItsOwnKeys checks that removing a member moves only the keys for which
// it ranked first.
func TestRemovedMemberMovesOnlyItsOwnKeys(t *testing.T) {
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

// TestAmongTopAgreesWithTop compares AmongTop for each member with the result of Top.
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

// TestWeightedTopOfEqualsIsTop checks that WeightedTop equals Top if all weights are equal.
func TestWeightedTopOfEqualsIsTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 0, 40, rapid.ID[string]).Draw(t, "members")
		count := rapid.IntRange(0, 5).Draw(t, "count")
		weight := rapid.Float64Range(0.01, 100).Draw(t, "weight")
		key := rapid.Uint64().Draw(t, "key")
		weighted := WeightedTop(key, members, func(string) float64 { return weight }, count)
		assert.DeepEqual(t, weighted, Top(key, members, count))
	})
}

// TestKeysFollowWeights checks that each member gets a share of the keys proportional to its
// weight.
func TestKeysFollowWeights(t *testing.T) {
	weights := map[string]float64{"a": 9, "b": 9, "c": 1, "d": 1}
	counts := map[string]int{}
	const keys = 20000
	for key := range uint64(keys) {
		counts[WeightedTop(key, []string{"a", "b", "c", "d"}, func(member string) float64 { return weights[member] }, 1)[0]]++
	}
	for member, weight := range weights {
		share := float64(counts[member]) / keys / (weight / 20)
		assert.Assert(t, share > 0.9 && share < 1.1, "%v", counts)
	}
}

// TestChangedWeightMovesOnlyOwnKeys checks that lowering a member's weight moves no key between
// the other members, and none to it.
func TestChangedWeightMovesOnlyOwnKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 2, 20, rapid.ID[string]).Draw(t, "members")
		changed := rapid.SampledFrom(members).Draw(t, "changed")
		key := rapid.Uint64().Draw(t, "key")
		weight := func(of float64) func(string) float64 {
			return func(member string) float64 {
				if member == changed {
					return of
				}
				return 1
			}
		}
		before := WeightedTop(key, members, weight(1), 1)[0]
		after := WeightedTop(key, members, weight(0.2), 1)[0]
		if before != changed {
			assert.Equal(t, before, after)
		}
	})
}

// TestAmongWeightedTopAgreesWithWeightedTop compares AmongWeightedTop for each member with the
// result of WeightedTop.
func TestAmongWeightedTopAgreesWithWeightedTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 1, 40, rapid.ID[string]).Draw(t, "members")
		count := rapid.IntRange(0, 5).Draw(t, "count")
		key := rapid.Uint64().Draw(t, "key")
		weight := func(member string) float64 { return float64(len(member)) }
		top := WeightedTop(key, members, weight, count)
		for _, member := range members {
			assert.Equal(t, AmongWeightedTop(key, member, members, weight, count), slices.Contains(top, member))
		}
	})
}

// TestTopIsPrefixOfFullRanking checks that the top members, for any count, are a prefix of the
// full ranking.
func TestTopIsPrefixOfFullRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.Uint64().Draw(t, "key")
		members := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,3}"), 0, 60, rapid.ID).Draw(t, "members")
		count := rapid.IntRange(0, len(members)).Draw(t, "count")
		weight := func(member string) float64 { return float64(len(member)) }
		assert.DeepEqual(t, Top(key, members, count), Top(key, members, len(members))[:count])
		assert.DeepEqual(t, WeightedTop(key, members, weight, count), WeightedTop(key, members, weight, len(members))[:count])
	})
}

// TestWeightedRankIsPositionInRanking compares the rank of each member with its position in the
// full ranking.
func TestWeightedRankIsPositionInRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.Uint64().Draw(t, "key")
		members := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,3}"), 1, 60, rapid.ID).Draw(t, "members")
		weight := func(member string) float64 { return float64(len(member)) }
		for rank, member := range WeightedTop(key, members, weight, len(members)) {
			assert.Equal(t, WeightedRank(key, member, members, weight), rank)
		}
	})
}

// BenchmarkRanking ranks 340 daemons for a key: the top two by score (21 us; 73 us if all are
// sorted) and by capacity (42 us; 170 us if all are sorted), and all of them by capacity (147 us).
func BenchmarkRanking(b *testing.B) {
	var members []string
	for number := range 340 {
		members = append(members, fmt.Sprintf("10.0.%d.%d:7000", number/250, number%250))
	}
	capacity := func(member string) float64 { return float64(len(member) % 3 * 4) }
	b.Run("equal", func(b *testing.B) {
		for key := range uint64(b.N) {
			Top(key, members, 2)
		}
	})
	b.Run("weighted", func(b *testing.B) {
		for key := range uint64(b.N) {
			WeightedTop(key, members, capacity, 2)
		}
	})
	b.Run("weighted, all", func(b *testing.B) {
		for key := range uint64(b.N) {
			WeightedTop(key, members, capacity, len(members))
		}
	})
}
