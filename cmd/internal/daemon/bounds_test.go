package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/relay"
	"github.com/lotusward/lotusward/platform"
)

// TestLastRequestOnOldWeightsIsCutInTime leaves the cut of a request that waits at a back end the
// way to another region and back before the time for a named version is over, however seldom the
// store is checked: the grace counts from the check before the naming.
func TestLastRequestOnOldWeightsIsCutInTime(t *testing.T) {
	const wayBetweenRegions = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		bounds := platform.Bounds{
			VersionMs:     rapid.IntRange(2000, 30000).Draw(t, "version"),
			ConfigApplyMs: rapid.IntRange(500, 10000).Draw(t, "configuration"),
		}
		cut := versionGrace(bounds) + relay.LastBegin
		assert.Assert(t, cut+2*wayBetweenRegions <= platform.Milliseconds(bounds.VersionMs), "cut %s after the naming", cut)
	})
}
