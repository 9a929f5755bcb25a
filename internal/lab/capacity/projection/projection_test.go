package projection

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A slope gives its own points back, lies on the line between and beyond them,
// and tells how it grows.
func TestSlopeFollowsItsPoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Float64Range(0, 10).Draw(t, "base")
		each := rapid.Float64Range(0.1, 10).Draw(t, "each")
		line := func(size float64) float64 { return base + each*size }
		var slope Slope
		for size := 1.0; size <= 1000; size *= 10 {
			slope.Points = append(slope.Points, Point{Size: size, Value: line(size)})
		}
		size := rapid.Float64Range(1, 5000).Draw(t, "size")
		assert.Assert(t, math.Abs(slope.At(size)-line(size)) < 1e-6*line(size))
		assert.Assert(t, slope.Growth() <= 1+1e-9)
	})
	assert.Equal(t, Constant("s", 7).At(340), 7.0)
	assert.Equal(t, Slope{}.At(340), 0.0)
}

// The sums hold what their lines hold, and the memory of the heap twice.
func TestVerdictsSumLines(t *testing.T) {
	sizes := Target()
	slopes := Slopes{
		Call:       CallSlopes{PeerSeconds: Constant("s", 100e-6), PeerBytes: Constant("B", 844)},
		Placement:  PlacementSlopes{RequestSeconds: Constant("s", 50e-6), EntryBytes: Constant("B", 100), EventSeconds: Constant("s", 2e-6)},
		Controller: ControllerSlopes{PlanSeconds: Constant("s", 0.02)},
	}
	report := Project(sizes, TargetBudget(), slopes)
	background, withRequests, withHolder, mended := report.Verdicts[0], report.Verdicts[1], report.Verdicts[2], report.Verdicts[3]
	const calls = 5/0.7 + 6600.0/86400*17
	events := 2.3e6 * 2 / 340 * 2e-6
	near(t, background.Cost.Core, calls*50e-6+events)
	near(t, background.Cost.MemoryBytes, 2*300_000*100)
	near(t, mended.Cost.Core, calls*50e-6)
	const polls = 2800 * 2 / 340.0 / 2
	near(t, mended.Cost.BytesPerSecond, calls*1000+(polls+1/2.0)*segmentBytes)
	claims := 35_000 * 0.05 / 340
	near(t, withRequests.Cost.Core-background.Cost.Core, 35_000.0/340*50e-6+claims*12*50e-6)
	near(t, withHolder.Cost.Core-background.Cost.Core, 0.02+1/2.5*50e-6)
	assert.Assert(t, mended.CoreHolds && mended.MemoryHolds && mended.BytesHold)
	assert.Assert(t, !background.CoreHolds && !withHolder.CoreHolds)
}

func near(t *testing.T, found, wanted float64) {
	t.Helper()
	assert.Assert(t, math.Abs(found-wanted) <= 1e-9*math.Abs(wanted)+1e-12, "found %v, wanted %v", found, wanted)
}
