package leastcost

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/placement"
)

// TestPickersAgreeOnNearTies lets two pickers see the same candidates in another
// order and with estimates that differ by less than the tolerance.
func TestPickersAgreeOnNearTies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tolerance = 0.01
		picker := Picker{ToleranceSeconds: tolerance}
		query := placement.Query{Root: rapid.Uint64().Draw(t, "root")}
		count := rapid.IntRange(1, 10).Draw(t, "near")
		one := make([]placement.Candidate, count)
		for index := range one {
			one[index] = placement.Candidate{ID: identity.BackendID(fmt.Sprint("e", index)), Key: uint64(index) * 0x9e3779b97f4a7c15, Cost: 1}
		}
		other := make([]placement.Candidate, count)
		order := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1)).Perm(count)
		for index, from := range order {
			other[index] = one[from]
			other[index].Cost += rapid.Float64Range(0, tolerance*0.99).Draw(t, "difference")
		}
		far := placement.Candidate{ID: "far", Cost: 1 + 3*tolerance}
		one, other = append(one, far), append([]placement.Candidate{far}, other...)
		picked := one[picker.Pick(&query, one)]
		assert.Assert(t, picked.ID != far.ID)
		assert.Equal(t, picked.ID, other[picker.Pick(&query, other)].ID)
	})
}
