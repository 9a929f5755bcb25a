package hollow

import (
	"fmt"
	"time"
)

// Times around a measurement of a busy fleet.
const (
	measureJoinLimit = 2 * time.Minute
	measureSettle    = 30 * time.Second
)

// Busy starts a fleet under local conditions with some loss, lets it settle, and
// measures a busy stretch of simulated time with each of some rates of restarts, as
// multiples of those of an ordinary day. HeapBytes is the live heap of one daemon.
// It fails when the fleet does not come together.
func Busy(size, zones int, seed uint64, length time.Duration, restartFactors ...float64) (costs []Cost, heapBytes float64, err error) {
	before := heapInUse()
	run, err := newFleet(size, zones, seed, LocalConditions())
	if err != nil {
		return nil, 0, err
	}
	if _, joined := run.join(measureJoinLimit); !joined {
		return nil, 0, fmt.Errorf("hollow: %d daemons did not find each other within %s", size, measureJoinLimit)
	}
	run.network.Run(measureSettle)
	heapBytes = float64(heapInUse()-before) / float64(size)
	for _, factor := range restartFactors {
		costs = append(costs, run.busy(length, factor))
	}
	return costs, heapBytes, nil
}
