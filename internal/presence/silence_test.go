package presence

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilenceForgetsWhatIsPast notes daemons that come and go for long: only those of the last moment
// are kept, and whether one had answered before is told as ever.
func TestSilenceForgetsWhatIsPast(t *testing.T) {
	silence, now := NewUnresponsive(New()), time.Unix(1_000_000, 0)
	for number := range 1000 {
		now = now.Add(UnresponsiveTime)
		address := fmt.Sprint("daemon-", number)
		assert.Assert(t, silence.Add(address, now))
		assert.Assert(t, !silence.Add(address, now))
		assert.Assert(t, silence.Contains(address, now))
	}
	assert.Assert(t, len(silence.since) <= 4, "%d daemons are kept", len(silence.since))
	assert.Assert(t, silence.Add("daemon-0", now))
}
