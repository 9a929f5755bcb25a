package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// daemonExposure is a daemon with its own request rate.
type daemonExposure struct {
	*Exposure
	rate   float64
	paused bool
}

// TestTargetGetsItsShare draws daemons with uneven request rates that pause and restart at any time: the target
// must never get more than its share plus a slack of 50 requests.
func TestTargetGetsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		share := rapid.Float64Range(0.01, 0.3).Draw(t, "share")
		routes := rapid.IntRange(1, 4).Draw(t, "routes")
		restarts := rapid.Float64Range(0, 0.003).Draw(t, "restarts")
		daemons := make([]daemonExposure, rapid.IntRange(1, 83).Draw(t, "daemons"))
		for index := range daemons {
			daemons[index] = daemonExposure{Exposure: NewExposure(share, random.Float64()), rate: random.Float64()}
		}
		target, all := 0, 0
		for range rapid.IntRange(1, 4000).Draw(t, "requests") {
			daemon := &daemons[random.IntN(len(daemons))]
			switch {
			case random.Float64() < restarts:
				daemon.Exposure = NewExposure(share, random.Float64())
			case random.Float64() < 0.002:
				daemon.paused = !daemon.paused
			case daemon.paused || random.Float64() > daemon.rate:
				continue
			}
			if all++; sendOne(random, daemon.Exposure, fmt.Sprint(random.IntN(routes))) {
				target++
			}
			assert.Assert(t, float64(target) <= share*float64(all)+50, "%d of %d", target, all)
		}
	})
}

// sendOne sends a request to the target if there is credit. A quarter of them find no back end and are returned.
func sendOne(random *rand.Rand, exposure *Exposure, route string) (toTarget bool) {
	if exposure.TryTake(route) {
		if random.IntN(4) > 0 {
			return true
		}
		exposure.Return(route)
	}
	exposure.Earn(route)
	return false
}

// TestEachRouteGetsItsPart checks the target's share on two routes, one of which has ten times the requests.
func TestEachRouteGetsItsPart(t *testing.T) {
	const daemons, requests = 83, 20_000
	random := rand.New(rand.NewPCG(1, 1))
	exposures := make([]*Exposure, daemons)
	for index := range exposures {
		exposures[index] = NewExposure(0.1, random.Float64())
	}
	target, all := map[string]int{}, map[string]int{}
	for range requests {
		route := "often"
		if random.IntN(11) == 0 {
			route = "seldom"
		}
		all[route]++
		exposure := exposures[random.IntN(daemons)]
		if exposure.TryTake(route) {
			target[route]++
		} else {
			exposure.Earn(route)
		}
	}
	for route := range all {
		share := float64(target[route]) / float64(all[route])
		assert.Check(t, share > 0.06 && share <= 0.09, "%s: %.3f", route, share)
	}
}

// TestCreditIsCapped accumulates credit without using it.
func TestCreditIsCapped(t *testing.T) {
	exposure := NewExposure(0.1, 0.5)
	for range 10_000 {
		exposure.Earn("chat")
	}
	taken := 0
	for exposure.TryTake("chat") {
		taken++
	}
	assert.Equal(t, taken, maximumCredit)
	assert.Assert(t, !exposure.TryTake("other"))
	assert.Assert(t, !NewExposure(0, 0.5).TryTake("chat"))
}
