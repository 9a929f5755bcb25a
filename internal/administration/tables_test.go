package administration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/relay"
)

// emptyControl knows no configuration.
type emptyControl struct{}

func (emptyControl) State() *relay.State    { return nil }
func (emptyControl) ConfirmedAt() time.Time { return time.Time{} }
func (emptyControl) SteadySince() time.Time { return time.Time{} }

// TestOperatorsSeeVersionsOfSoftware asks for roll-outs and for back ends by their version, also
// where roll-outs are off.
func TestOperatorsSeeVersionsOfSoftware(t *testing.T) {
	pool := backendpool.New("a")
	pool.Update([]backendpool.Backend{{ID: "b1", Service: "s", Software: "v1"}, {ID: "b2", Service: "s", Software: "v2"}})
	tables := &Snapshot{Control: emptyControl{}, Pool: pool, Rollouts: func() []query.Rollout {
		return []query.Rollout{
			{Service: "s", Route: "r", Version: "v2", Stable: "v1", State: "trial", Share: 0.04, VersionBad: 3},
			{Service: "t", Stable: "v1"},
		}
	}}
	assert.Equal(t, show(t, tables, "show rollouts where state = trial and version_bad > 2 and share < 0.1"), 1)
	assert.Equal(t, show(t, tables, "show rollouts"), 2)
	assert.Equal(t, show(t, tables, "show backends where software = v2"), 1)
	tables.Rollouts = nil
	assert.Equal(t, show(t, tables, "show rollouts"), 0)
}

// TestOperatorsSeeWhatIsQuarantined asks for requests and shared parts of prompts that are blamed for ends of back ends.
func TestOperatorsSeeWhatIsQuarantined(t *testing.T) {
	tracker, now := quarantine.NewTracker(), time.Now()
	request, part := quarantine.Fingerprint(1), quarantine.PartFingerprintOf("", "p")
	for backend := range uint64(2) {
		at := now.Add(time.Duration(backend) * time.Second)
		tracker.Add(at, quarantine.Crash{Fingerprint: request, Backend: backend, At: at})
		at = at.Add(time.Minute)
		tracker.Add(at, quarantine.Crash{Fingerprint: part, Backend: 10 + backend, At: at, Part: true})
	}
	tables := &Snapshot{Control: emptyControl{}, Quarantines: func() []quarantine.Blamed { return tracker.Blamed(now.Add(2 * time.Minute)) }}
	assert.Equal(t, show(t, tables, "show quarantines"), 2)
	assert.Equal(t, show(t, tables, "show quarantines where part = true and crashes = 2 and fingerprint = "+part.String()), 1)
	assert.Equal(t, show(t, tables, "show quarantines where part = false and newest > 100s and remaining < 9m"), 1)
}

// show returns how many rows a statement finds.
func show(t *testing.T, tables *Snapshot, statement string) int {
	t.Helper()
	parsed, err := query.Parse(statement)
	assert.NilError(t, err)
	asked := parsed.(*query.Show)
	table, err := tables.Table(asked.Source)
	assert.NilError(t, err)
	assert.NilError(t, table.Verify(asked.Source))
	found, err := query.Evaluate(asked, table)
	assert.NilError(t, err)
	return len(found.Rows)
}
