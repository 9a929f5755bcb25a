package distance

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// TestBetweenIsADistance draws maps of 1, 2 and 6 regions: a zone is nearest to itself, the way
// there is the way back, and only known different regions are far apart.
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

// TestZoneWithoutRegionMakesNoSeveral names a zone without a region beside others of one region: all
// are of one region, in whatever order they are looked at.
func TestZoneWithoutRegionMakesNoSeveral(t *testing.T) {
	for range 100 { // the order differs from look to look
		assert.Assert(t, !NewMap(map[identity.Zone]identity.Region{"a": "r", "b": ""}).HasSeveralRegions())
		assert.Assert(t, NewMap(map[identity.Zone]identity.Region{"a": "r", "b": "", "c": "s"}).HasSeveralRegions())
	}
}
