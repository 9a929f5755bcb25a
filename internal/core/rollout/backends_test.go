package rollout

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// TestTrialTakesItsPartOfTheBackEnds checks the number of selected back ends, and that the order of the list has
// no influence.
func TestTrialTakesItsPartOfTheBackEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := rapid.SliceOfDistinct(rapid.Uint64(), rapid.ID[uint64]).Draw(t, "listed")
		order := Order{Service: "chat", Number: rapid.Uint64().Draw(t, "number")}
		chosen := TrialBackends(order, listed, 0.1)
		assert.Equal(t, len(chosen), min(len(listed), max(3, (len(listed)+9)/10)))
		for _, backend := range chosen {
			assert.Assert(t, slices.Contains(listed, backend))
		}
		slices.Sort(listed)
		assert.Assert(t, slices.Equal(TrialBackends(order, listed, 0.1), chosen))
	})
}

// TestStableVersionIsTheOneInUse selects the stable version of services without a standing.
func TestStableVersionIsTheOneInUse(t *testing.T) {
	type versions = map[identity.SoftwareVersion]int
	for _, each := range []struct {
		listed  versions
		targets []identity.SoftwareVersion
		want    identity.SoftwareVersion
	}{
		{versions{}, nil, ""},
		{versions{"": 5}, nil, ""},
		{versions{"v1": 1, "": 5}, nil, "v1"},
		{versions{"v1": 10, "v2": 20}, []identity.SoftwareVersion{"v2"}, "v1"},
		{versions{"v1": 10, "v2": 20, "v3": 5}, nil, "v2"},
		{versions{"v2": 10, "v1": 10}, nil, "v1"},
		{versions{"v2": 10}, []identity.SoftwareVersion{"v2"}, "v2"},
	} {
		assert.Equal(t, ChooseStable(each.listed, each.targets), each.want, "%v", each)
	}
}
