package peerlink

import (
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// roundTripWeight is the weight of the newest answer in a region's mean time.
const roundTripWeight = 0.2

// RoundTrips observes how long answers from each region take. It is safe for use by several
// goroutines. The zero value knows none.
type RoundTrips struct {
	mutex sync.Mutex
	means map[identity.Region]time.Duration
}

// Note takes in how long an answer from a region took.
func (r *RoundTrips) Note(region identity.Region, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	mean, known := r.means[region]
	if !known {
		mean = took
	}
	if r.means == nil {
		r.means = map[identity.Region]time.Duration{}
	}
	r.means[region] = mean + time.Duration(roundTripWeight*float64(took-mean))
}

// Mean is how long answers from a region take in the mean; false before any has come.
func (r *RoundTrips) Mean(region identity.Region) (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	mean, known := r.means[region]
	return mean, known
}
