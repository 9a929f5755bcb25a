package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// rowOf returns the row that an incarnation of the daemon "one" wrote.
func rowOf(incarnation identity.Incarnation, token identity.FencingToken) []port.Row {
	record := Record{Holder: "one", Incarnation: incarnation, Token: token, Duration: testDuration}
	return []port.Row{{Key: testKey, Value: record.encode(), Version: 7}}
}

func afterRead(t *testing.T, settings Settings, rows []port.Row) Action {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	machine := New(settings)
	_, reads := machine.Tick(now).(Read)
	assert.Assert(t, reads)
	assert.NilError(t, machine.ReadDone(now, rows, nil))
	return machine.Tick(now.Add(time.Millisecond))
}

// TestSoleIncarnationTakesOverAtOnce checks that a daemon takes over the lease of its own earlier
// incarnation without waiting, under a newer token, but only if that incarnation has certainly
// ended, and never the lease of another daemon.
func TestSoleIncarnationTakesOverAtOnce(t *testing.T) {
	settings := Settings{Key: testKey, Holder: "one", Incarnation: 2, Duration: testDuration, SoleIncarnation: true}
	commit, commits := afterRead(t, settings, rowOf(1, 5)).(Commit)
	assert.Assert(t, commits)
	assert.Equal(t, commit.Transaction.Conditions[0].Version, uint64(7))
	assert.Assert(t, len(commit.Transaction.Writes) == 1)

	settings.SoleIncarnation = false
	assert.Assert(t, afterRead(t, settings, rowOf(1, 5)) == nil)
	settings.SoleIncarnation = true
	settings.Holder = "two"
	assert.Assert(t, afterRead(t, settings, rowOf(1, 5)) == nil)
}
