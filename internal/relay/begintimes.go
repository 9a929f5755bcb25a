package relay

import (
	"sync"
	"time"
)

// beginWeight is the weight of the newest in the mean time to a stream's first event.
const beginWeight = 0.1

// beginTimes learns how long streams take from their sending to their first event, by
// route. It is safe for use by several goroutines.
type beginTimes struct {
	mutex sync.Mutex
	means map[string]time.Duration
}

func newBeginTimes() *beginTimes { return &beginTimes{means: map[string]time.Duration{}} }

// note takes in one stream's time.
func (b *beginTimes) note(route string, took time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	mean, known := b.means[route]
	if !known {
		mean = took
	}
	b.means[route] = mean + time.Duration(beginWeight*float64(took-mean))
}

// usual is the mean time of a route's streams, zero before any has begun.
func (b *beginTimes) usual(route string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.means[route]
}
