package presence

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestExpiredEntriesAreDeleted checks that Unresponsive does not grow when many different daemons fail to answer, and
// that Add still reports whether there was an earlier entry.
func TestExpiredEntriesAreDeleted(t *testing.T) {
	unresponsive, now := NewUnresponsive(New()), time.Unix(1_000_000, 0)
	for number := range 1000 {
		now = now.Add(UnresponsiveTime)
		address := fmt.Sprint("daemon-", number)
		assert.Assert(t, unresponsive.Add(address, now))
		assert.Assert(t, !unresponsive.Add(address, now))
		assert.Assert(t, unresponsive.Contains(address, now))
	}
	assert.Assert(t, len(unresponsive.since) <= 4, "%d daemons are kept", len(unresponsive.since))
	assert.Assert(t, unresponsive.Add("daemon-0", now))
}
