package distance

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// TestBetweenIsADistance draws maps of 1, 2 and 6 regions and checks that a zone is nearest to
// itself, that distances are symmetric, and that only zones in different known regions are
// OtherRegion.
func TestBetweenIsADistance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "regions")
		zones := []identity.Zone{"", "a", "b", "c", "d", "e", "f", "g", "h"}
		regions := map[identity.Zone]identity.Region{}
		names := []identity.Region{"r1", "r2", "r3", "r4", "r5", "r6"}[:count]
		for _, zone := range zones[1:] {
			if rapid.IntRange(0, 7).Draw(t, "unknown") > 0 {
				regions[zone] = rapid.SampledFrom(names).Draw(t, "region")
			}
		}
		made := NewMap(regions)
		used := map[identity.Region]bool{}
		for _, region := range regions {
			used[region] = true
		}
		assert.Equal(t, made.HasSeveralRegions(), len(used) > 1)
		for _, left := range zones {
			assert.Equal(t, made.Between(left, left), SameZone)
			for _, right := range zones {
				found := made.Between(left, right)
				assert.Equal(t, found, made.Between(right, left))
				far := regions[left] != "" && regions[right] != "" && regions[left] != regions[right]
				assert.Equal(t, found == OtherRegion, far)
			}
		}
	})
}

// TestZoneWithoutRegionIsNotARegion has a zone without a region beside zones of one region. The
// result must not depend on the map's iteration order.
func TestZoneWithoutRegionIsNotARegion(t *testing.T) {
	for range 100 { // the iteration order is random
		assert.Assert(t, !NewMap(map[identity.Zone]identity.Region{"a": "r", "b": ""}).HasSeveralRegions())
		assert.Assert(t, NewMap(map[identity.Zone]identity.Region{"a": "r", "b": "", "c": "s"}).HasSeveralRegions())
	}
}
