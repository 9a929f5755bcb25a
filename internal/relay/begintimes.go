package relay

import (
	"sync"
	"time"
)

const (
	// ewmaWeight is the weight of the newest sample in the moving averages of the time to a
	// stream's first event and of its absolute deviation.
	ewmaWeight = 0.1
	// deviationFactor is how many mean deviations are added to the mean to estimate an upper bound
	// that holds for most streams.
	deviationFactor = 2
)

// startLatencies tracks, per route, the time from sending a request to the first event of its
// stream. It is safe for concurrent use.
type startLatencies struct {
	mutex  sync.Mutex
	routes map[string]*startLatency
}

// startLatency is the moving average of a route's start latency and of its absolute deviation.
type startLatency struct{ mean, deviation time.Duration }

func newStartLatencies() *startLatencies { return &startLatencies{routes: map[string]*startLatency{}} }

// record adds the start latency of one stream.
func (b *startLatencies) record(route string, took time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.routes[route]
	if known == nil {
		known = &startLatency{mean: took}
		b.routes[route] = known
	}
	known.deviation += time.Duration(ewmaWeight * float64((took-known.mean).Abs()-known.deviation))
	known.mean += time.Duration(ewmaWeight * float64(took-known.mean))
}

// upperEstimate returns the start latency that most streams of a route stay below, or zero before
// the first sample.
func (b *startLatencies) upperEstimate(route string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.routes[route]
	if known == nil {
		return 0
	}
	return known.mean + deviationFactor*known.deviation
}
