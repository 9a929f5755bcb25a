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

// TestLongerWayIsLearned lets the way to another region become longer, up to what may be waited for.
// Answers that come too late are not noted: after some of them the wait is long enough, and after
// answers in time it is about as short as the way again.
func TestLongerWayIsLearned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := time.Duration(rapid.IntRange(5, 40).Draw(t, "before")) * time.Millisecond
		after := before + time.Duration(rapid.IntRange(0, 100).Draw(t, "longer"))*time.Millisecond
		var learned roundTrip
		for range 100 {
			learned.note(before)
		}
		late := 0
		for range 100 {
			if after > learned.timeout() {
				late++
				learned.late()
				continue
			}
			learned.note(after)
		}
		assert.Assert(t, late <= 8, "%d answers were late", late)
		assert.Assert(t, learned.timeout() >= after && learned.timeout() <= max(after+after/2, leastFarTimeout), "%v", learned.timeout())
	})
}

// TestLostAnswersRaiseTheWaitWithinItsBound loses answers only: before any was heard the wait stays as
// it is.
func TestLostAnswersRaiseTheWaitWithinItsBound(t *testing.T) {
	var unknown, learned roundTrip
	learned.note(40 * time.Millisecond)
	for range 1000 {
		unknown.late()
		learned.late()
	}
	assert.Equal(t, unknown.timeout(), firstFarTimeout)
	assert.Equal(t, learned.timeout(), mostFarTimeout)
	for range 50 {
		learned.note(40 * time.Millisecond)
	}
	assert.Assert(t, learned.timeout() < 60*time.Millisecond, "%v", learned.timeout())
}

// TestAnswersOfDistantZonesAreHeard has daemons in zones that are up to 8 ms apart, one way: soon each knows what all have
// under way. Waiting 10 ms for answers that take 11, it knew nothing of two thirds of the back ends, and waited each time.
func TestAnswersOfDistantZonesAreHeard(t *testing.T) {
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
			fleet.expectSums(t)
			asking := fleet.daemons[0]
			began := time.Now()
			asking.homes.Refresh(context.Background(), []uint64{rendezvous.Key(string(backendID(0)))})
			assert.Assert(t, time.Since(began) <= 2*way)
		})
	}
}
