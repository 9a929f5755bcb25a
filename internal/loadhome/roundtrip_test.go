package loadhome

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// TestTimeoutAdaptsToLongerRTT increases the round-trip time to another region, up to the longest permitted
// timeout. Late answers are not measured. After a few of them the timeout must be long enough, and after timely
// answers it must shrink to about the round-trip time again.
func TestTimeoutAdaptsToLongerRTT(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := time.Duration(rapid.IntRange(5, 40).Draw(t, "before")) * time.Millisecond
		after := before + time.Duration(rapid.IntRange(0, 100).Draw(t, "longer"))*time.Millisecond
		var learned rttEstimator
		for range 100 {
			learned.record(before)
		}
		late := 0
		for range 100 {
			if after > learned.timeout() {
				late++
				learned.recordTimeout()
				continue
			}
			learned.record(after)
		}
		assert.Assert(t, late <= 8, "%d answers were late", late)
		assert.Assert(t, learned.timeout() >= after && learned.timeout() <= max(after+after/2, minOtherRegionTimeout), "%v", learned.timeout())
	})
}

// TestTimeoutsRaiseWaitWithinBound loses every answer. The timeout must stop at its upper bound, and must keep its
// initial value if no answer was ever received.
func TestTimeoutsRaiseWaitWithinBound(t *testing.T) {
	var unknown, learned rttEstimator
	learned.record(40 * time.Millisecond)
	for range 1000 {
		unknown.recordTimeout()
		learned.recordTimeout()
	}
	assert.Equal(t, unknown.timeout(), initialOtherRegionTimeout)
	assert.Equal(t, learned.timeout(), maxOtherRegionTimeout)
	for range 50 {
		learned.record(40 * time.Millisecond)
	}
	assert.Assert(t, learned.timeout() < 60*time.Millisecond, "%v", learned.timeout())
}

// TestAnswersFromDistantZonesArrive places daemons in zones with a one-way delay of up to 8 ms. Each daemon must
// soon receive all loads. With a fixed timeout of 10 ms and answers that took 11 ms, a daemon knew nothing of two
// thirds of the back ends and waited in vain for each request.
func TestAnswersFromDistantZonesArrive(t *testing.T) {
	for _, way := range []time.Duration{100 * time.Microsecond, 5400 * time.Microsecond, 8 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(1, 30)
			defer fleet.stop()
			fleet.network.SetWay(func(string, string) time.Duration { return way })
			time.Sleep(time.Second)
			for _, each := range fleet.daemons {
				each.tickets = append(each.tickets, each.pool.Pick(time.Now(), backendpool.Query{Service: "s"}))
			}
			time.Sleep(2 * time.Second)
			fleet.checkLoads(t)
			asking := fleet.daemons[0]
			began := time.Now()
			asking.homes.Refresh(context.Background(), []uint64{rendezvous.Key(string(backendID(0)))})
			assert.Assert(t, time.Since(began) <= 2*way)
		})
	}
}
