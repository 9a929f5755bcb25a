package directory

import (
	"slices"
	"time"
)

const (
	// maxClockSamples is how many samples are remembered: with some four changes of back ends a second they cover
	// the last four seconds, and a check comes about each second.
	maxClockSamples = 16
	// clockSampleSpacing is the least spacing of samples, apart from the last one, so that they cover three seconds
	// however fast answers come.
	clockSampleSpacing = 200 * time.Millisecond
)

// clockSample pairs the store's newest version with its clock at the same moment.
type clockSample struct {
	version uint64
	clock   time.Duration
}

// clockSamples are the latest samples from the store's answers, oldest first. The zero value is empty.
type clockSamples struct{ known []clockSample }

// note adds the sample of an answer. One without a clock, or no later than the last one, is ignored.
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

// before returns the store's clock at the last sample before a version was created; zero if there is none. Each
// sample is of a moment of its call, and versions only rise, so the version was created later.
func (m *clockSamples) before(version uint64) time.Duration {
	for _, each := range slices.Backward(m.known) {
		if each.version < version {
			return each.clock
		}
	}
	return 0
}
