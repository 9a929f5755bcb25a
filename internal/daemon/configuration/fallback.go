package configuration

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// firstFallback is the least wait of a starting daemon that isn't a root
	// before it asks the table itself.
	firstFallback = time.Second
	// fallbackGrowth is how many times longer the waits between failed questions
	// become at most.
	fallbackGrowth = 8
)

// gate spaces out costly questions. Its waits grow while the questions fail.
type gate struct {
	mutex sync.Mutex
	next  time.Time
	waits backoff.ExponentialBackOff
}

// newGate makes a gate that opens at a moment. The jitter is the callers' matter.
func newGate(opens time.Time, period time.Duration, growth float64) *gate {
	made := &gate{
		next: opens,
		waits: backoff.ExponentialBackOff{
			InitialInterval: period,
			Multiplier:      2,
			MaxInterval:     time.Duration(growth * float64(period)),
		},
	}
	made.waits.Reset()
	return made
}

// enter tells whether the time of the next question has come, and if so sets the
// one after it.
func (g *gate) enter(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now.Before(g.next) {
		return false
	}
	g.next = now.Add(g.waits.NextBackOff())
	return true
}

// succeeded makes the waits short again.
func (g *gate) succeeded() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.waits.Reset()
}
