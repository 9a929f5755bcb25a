package administration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
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
