package sharedlimit

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/quota"
)

const (
	// Within any backendWindow a back end may receive at most backendFactor times its limit plus backendSlack
	// requests.
	backendWindow = 4 * time.Second
	backendFactor = 1.5
	backendSlack  = 5
	// backendCost is the cost of a request. It is so large that the margin of tenants, which is in tokens, has no
	// effect.
	backendCost = 1e9
)

// backendLimit returns a limit in requests per second with a burst of two requests or a quarter of a second,
// whichever is larger.
func backendLimit(version uint64, perSecond float64) quota.Limit {
	return quota.Limit{Version: version, RatePerSecond: perSecond * backendCost, Burst: max(2, perSecond/4) * backendCost}
}

// TestBackendLimitHoldsUnderFaults requests many times the limit of a back end at all daemons while daemons are
// killed, frozen, suspended, partitioned, restarted all at once or added. No window may exceed the bound,
// whichever daemons grant.
func TestBackendLimitHoldsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(2, 20).Draw(rt, "daemons")
		perSecond := rapid.SampledFrom([]float64{0.1, 0.5, 1.1, 3, 6, 20}).Draw(rt, "limit")
		faults, seed := drawFaults(rt), rapid.Uint64().Draw(rt, "seed")
		owner := quota.OwnerOfBackend("i-1")
		most := 0.0
		synctest.Test(t, func(*testing.T) {
			fleet := newFleet(seed, count)
			fleet.runWithFaults(15*time.Second, faults, func() {
				fleet.request(fleet.daemons[fleet.rng.IntN(len(fleet.daemons))], owner, backendLimit(1, perSecond), backendCost)
			})
			most = fleet.maxGranted(owner, backendWindow) / backendCost
		})
		if allowed := backendFactor*perSecond*backendWindow.Seconds() + backendSlack; most > allowed {
			rt.Fatalf("%v requests were granted in %s, %v are allowed", most, backendWindow, allowed)
		}
	})
}

// runWithFaults calls step every 20 ms for the given time while faults start and end.
func (f *fleet) runWithFaults(length time.Duration, faults []fault, step func()) {
	injector := faultSchedule{fleet: f, faults: faults}
	for began, round := time.Now(), 0; time.Since(began) < length; round++ {
		if round%10 == 0 {
			f.exchangePresence()
		}
		injector.advance(time.Since(began))
		step()
		time.Sleep(20 * time.Millisecond)
	}
	injector.end()
	settle()
}

// TestChangedBackendLimitAppliesImmediately changes the limit from 20 to 0.5 to 6 requests per second. Each
// version must apply from the first request that carries it, and requests with an older version must not revert
// it.
func TestChangedBackendLimitAppliesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, owner := newFleet(7, 5), quota.OwnerOfBackend("i-1")
		granted := func(versions ...quota.Limit) float64 {
			before := len(fleet.granted[owner])
			for round := range 500 {
				fleet.request(fleet.daemons[round%5], owner, versions[round%len(versions)], backendCost)
				time.Sleep(20 * time.Millisecond)
			}
			settle()
			return float64(len(fleet.granted[owner]) - before)
		}
		fast, slow, last := backendLimit(1, 20), backendLimit(2, 0.5), backendLimit(3, 6)
		first := granted(fast)
		assert.Assert(t, first >= 0.9*200 && first <= 1.05*200, "%v", first)
		second := granted(slow, fast)
		assert.Assert(t, second >= 3 && second <= 7, "%v", second)
		third := granted(last)
		assert.Assert(t, third >= 0.9*60 && third <= 1.1*60, "%v", third)
	})
}

// TestBackendLimitHoldsWithoutPeers isolates all daemons from each other. The equal shares that they use alone
// must not exceed the bound in total.
func TestBackendLimitHoldsWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, owner := newFleet(9, 40), quota.OwnerOfBackend("i-1")
		fleet.network.Lose(1)
		time.Sleep(5 * time.Second)
		for range 20 {
			for _, daemon := range fleet.daemons {
				fleet.request(daemon, owner, backendLimit(1, 1), backendCost)
			}
			time.Sleep(time.Second)
		}
		settle()
		most := fleet.maxGranted(owner, backendWindow) / backendCost
		assert.Assert(t, most <= backendFactor*backendWindow.Seconds()+backendSlack, "%v", most)
	})
}
