package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFastAnswersDropNoEarlierMoment hears of many moments within one: what was known before a
// version came to be is not forgotten for them.
func TestFastAnswersDropNoEarlierMoment(t *testing.T) {
	var known clockSamples
	known.note(Reading{Version: 5, Clock: time.Second})
	for number := range 3 * maxClockSamples {
		known.note(Reading{Version: 10 + uint64(number), Clock: 2*time.Second + time.Duration(number)})
	}
	assert.Equal(t, known.before(10), time.Second)
	assert.Equal(t, known.before(1000), 2*time.Second+3*maxClockSamples-1)
}
