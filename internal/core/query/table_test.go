package query_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
)

var sources = []query.Source{
	query.SourceBackends, query.SourceLeavingBackends, query.SourceDaemons, query.SourceModels, query.SourceQuarantines, query.SourceRollouts,
	query.SourceRoutes, query.SourceServices, query.SourceTenants,
}

func TestEverySourceHasNamedColumnsAndAKey(t *testing.T) {
	for _, source := range sources {
		columns := source.Columns()
		assert.Assert(t, slices.ContainsFunc(columns, func(column query.Column) bool { return column.Key }), "%s", source)
		for _, column := range columns {
			assert.Assert(t, column.Name != "", "%s has a column without a name", source)
		}
	}
}

func drawBackends(t *rapid.T) []query.Backend {
	var backends []query.Backend
	for number := range rapid.IntRange(0, 6).Draw(t, "back ends") {
		backends = append(backends, query.Backend{
			Backend: identity.BackendName(rune('a' + number)), Zone: identity.Zone(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone")),
			Running: float64(rapid.IntRange(0, 4).Draw(t, "running")), Leaving: rapid.Bool().Draw(t, "leaving"),
		})
	}
	return backends
}

// The oracle filters, orders and limits the typed rows.
func TestQueriesSelectAsTheOracleDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backends := drawBackends(t)
		least, limit := float64(rapid.IntRange(0, 4).Draw(t, "least")), rapid.IntRange(0, 7).Draw(t, "limit")
		parsed, err := query.Parse("show backends where zone = x and running >= " + query.Number(least).String() +
			" order by running desc limit " + query.Number(float64(limit)).String())
		assert.NilError(t, err)
		table, err := query.Evaluate(parsed.(*query.Show), query.TableOf(backends))
		assert.NilError(t, err)
		var want []query.Backend
		for _, backend := range backends {
			if backend.Zone == "x" && backend.Running >= least {
				want = append(want, backend)
			}
		}
		slices.SortStableFunc(want, func(left, right query.Backend) int { return int(right.Running - left.Running) })
		want = want[:min(limit, len(want))]
		assert.DeepEqual(t, table, query.TableOf(want))
	})
}

func TestTablesSurviveJSON(t *testing.T) {
	table := query.TableOf([]query.Model{{Service: "s", Model: "m", Version: 3, Named: 1500 * time.Millisecond, Backends: 2}})
	encoded, err := json.Marshal(table)
	assert.NilError(t, err)
	var decoded query.Table
	assert.NilError(t, json.Unmarshal(encoded, &decoded))
	again, err := json.Marshal(decoded)
	assert.NilError(t, err)
	assert.Equal(t, string(again), string(encoded))
	assert.ErrorContains(t, json.Unmarshal([]byte(`{"columns":[{"name":"a","type":"text"}],"rows":[["x","y"]]}`), &decoded), "2 values for 1 columns")
}

func TestTablesOfAnotherSourceAreRefused(t *testing.T) {
	show := &query.Show{Source: query.SourceTenants}
	_, err := query.Evaluate(show, query.TableOf([]query.Daemon{{Address: "a"}}))
	assert.ErrorContains(t, err, "table of tenants")
}
