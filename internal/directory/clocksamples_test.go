package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFastAnswersDropNoEarlierMoment guards against many samples within a short time that displace the earlier
// ones.
func TestFastAnswersDropNoEarlierMoment(t *testing.T) {
	var known clockSamples
	known.note(Reading{Version: 5, Clock: time.Second})
	for number := range 3 * maxClockSamples {
		known.note(Reading{Version: 10 + uint64(number), Clock: 2*time.Second + time.Duration(number)})
	}
	assert.Equal(t, known.before(10), time.Second)
	assert.Equal(t, known.before(1000), 2*time.Second+3*maxClockSamples-1)
}
