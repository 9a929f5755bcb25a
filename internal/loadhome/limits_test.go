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

// hears lets a daemon have an answer of a back end that names a limit.
func (d *daemon) hears(number int, perSecond float64) {
	notice := backendpool.Notice{Limit: backendpool.LimitNotice{Kind: backendpool.LimitNamed, PerSecond: perSecond}}
	d.pool.RecordNotice(time.Now(), backendID(number), notice)
}

// TestLimitsReachOthersBeforeTheirFirstRequest lets one daemon hear a back end name, change and end a limit: few others know
// it at once, each of many before it chooses among back ends.
func TestLimitsReachOthersBeforeTheirFirstRequest(t *testing.T) {
	for _, count := range []int{2, 7, 40} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(3, count)
			defer fleet.stop()
			time.Sleep(time.Second)
			for round, perSecond := range []float64{1.1, 0, 3} {
				fleet.daemons[round%2].hears(2, perSecond)
				time.Sleep(50 * time.Millisecond)
				for number, each := range fleet.daemons {
					each.homes.Refresh(context.Background(), []uint64{rendezvous.Key(string(backendID(2)))})
					time.Sleep(time.Millisecond) // here datagrams that are sent together may overtake each other
					assert.Equal(t, each.pool.RequestLimit(backendID(2)), backendpool.RequestLimit{Version: uint64(round + 1), InForce: true, PerSecond: perSecond}, "daemon %d of %d", number, count)
					assert.Equal(t, each.pool.RequestLimit(backendID(3)), backendpool.RequestLimit{})
				}
			}
		})
	}
}

// TestStarterLearnsLimitsWithItsList restarts a daemon that heard a limit: it knows the limit again before any back end
// answers it.
func TestStarterLearnsLimitsWithItsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(5, 5)
		defer fleet.stop()
		time.Sleep(time.Second)
		fleet.daemons[0].hears(1, 0.5)
		time.Sleep(50 * time.Millisecond)
		fleet.daemons[0].restart()
		fleet.daemons[0].homes.NotifyBackendsListed()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, fleet.daemons[0].pool.RequestLimit(backendID(1)).PerSecond, 0.5)
	})
}

// TestLimitsAreToldSeldom has a back end name its limit in each of a thousand answers within a second: it is told once a
// second.
func TestLimitsAreToldSeldom(t *testing.T) {
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
			fleet.daemons[0].hears(1, 0.5)
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, sent <= 2*4, "%d datagrams", sent)
	})
}
