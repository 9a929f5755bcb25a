package loadhome

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// receiveLimit delivers a back end's response that announces a limit.
func (d *daemon) receiveLimit(number int, perSecond float64) {
	notice := backendpool.Notice{Limit: backendpool.LimitNotice{Kind: backendpool.LimitNamed, PerSecond: perSecond}}
	d.pool.RecordNotice(time.Now(), backendID(number), notice)
}

// TestLimitsArriveBeforeFirstRequest has one daemon receive a new limit, a limit of zero and another limit from a
// back end. In a small fleet all daemons must learn each at once, in a large one each daemon before it selects a
// back end.
func TestLimitsArriveBeforeFirstRequest(t *testing.T) {
	for _, count := range []int{2, 7, 40} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(3, count)
			defer fleet.stop()
			time.Sleep(time.Second)
			for round, perSecond := range []float64{1.1, 0, 3} {
				fleet.daemons[round%2].receiveLimit(2, perSecond)
				time.Sleep(50 * time.Millisecond)
				for number, each := range fleet.daemons {
					each.homes.Refresh(context.Background(), []uint64{rendezvous.Key(string(backendID(2)))})
					time.Sleep(time.Millisecond) // the simulated network may reorder datagrams sent together
					assert.Equal(t, each.pool.RequestLimit(backendID(2)), backendpool.RequestLimit{Version: uint64(round + 1), InForce: true, PerSecond: perSecond}, "daemon %d of %d", number, count)
					assert.Equal(t, each.pool.RequestLimit(backendID(3)), backendpool.RequestLimit{})
				}
			}
		})
	}
}

// TestRestartedDaemonReceivesLimits restarts the daemon that received a limit. It must know the limit again before
// any back end responds to it.
func TestRestartedDaemonReceivesLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(5, 5)
		defer fleet.stop()
		time.Sleep(time.Second)
		fleet.daemons[0].receiveLimit(1, 0.5)
		time.Sleep(50 * time.Millisecond)
		fleet.daemons[0].restart()
		fleet.daemons[0].homes.NotifyBackendsListed()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, fleet.daemons[0].pool.RequestLimit(backendID(1)).PerSecond, 0.5)
	})
}

// TestLimitMessagesAreRateLimited has a back end announce its limit in a thousand responses within a second. The
// limit must be sent to other daemons once a second.
func TestLimitMessagesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(7, 5)
		defer fleet.stop()
		time.Sleep(time.Second)
		sent := 0
		fleet.network.Observe(func(from, _ string, _ []byte) {
			if from == fleet.daemons[0].Address() {
				sent++
			}
		})
		for range 1000 {
			fleet.daemons[0].receiveLimit(1, 0.5)
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, sent <= 2*4, "%d datagrams", sent)
	})
}
