package directory

import (
	"slices"
	"time"
)

const (
	// maxClockSamples is how many moments of the store are remembered: with some four changes of back
	// ends a second they are of the last four seconds, and a check comes each second or so.
	maxClockSamples = 16
	// clockSampleSpacing lies at least between two of them, the last one apart, so that they are of
	// three seconds however fast answers come.
	clockSampleSpacing = 200 * time.Millisecond
)

// clockSample is a clockSample of the store: its newest version, and what its clock showed.
type clockSample struct {
	version uint64
	clock   time.Duration
}

// clockSamples are the last clockSamples of the store that its answers told, oldest first. The zero value
// knows none.
type clockSamples struct{ known []clockSample }

// note remembers an answer's moment. One that tells no clock, or no later moment, is passed over.
func (m *clockSamples) note(reading Reading) {
	if reading.Clock <= 0 || reading.Version == 0 {
		return
	}
	if last := len(m.known) - 1; last >= 0 && m.known[last].clock >= reading.Clock {
		return
	}
	if count := len(m.known); count > 1 && m.known[count-1].clock-m.known[count-2].clock < clockSampleSpacing {
		m.known = m.known[:count-1]
	}
	m.known = append(m.known, clockSample{version: reading.Version, clock: reading.Clock})
	m.known = m.known[max(len(m.known)-maxClockSamples, 0):]
}

// before is what the store's clock showed at the last known moment before a version came to be;
// zero where none is known. Answers are of moments of their calls, and versions only rise, so that
// the version came later.
func (m *clockSamples) before(version uint64) time.Duration {
	for _, each := range slices.Backward(m.known) {
		if each.version < version {
			return each.clock
		}
	}
	return 0
}
