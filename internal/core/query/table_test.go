package query_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
)

var epoch = time.Date(2026, 5, 1, 17, 0, 0, 0, time.UTC)

func drawEngines(t *rapid.T) []query.Engine {
	var engines []query.Engine
	for number := range rapid.IntRange(0, 4).Draw(t, "engines") {
		engines = append(engines, query.Engine{
			Engine:   identity.BackendID(fmt.Sprintf("e%d", number)),
			Zone:     identity.Zone(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")),
			Leaving:  rapid.Bool().Draw(t, "leaving"),
			Running:  rapid.IntRange(0, 9).Draw(t, "running"),
			Assigned: rapid.IntRange(0, 9).Draw(t, "assigned"),
			Observed: epoch.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "observed")) * time.Second),
		})
		if rapid.IntRange(0, 4).Draw(t, "unobserved") == 0 {
			engines[number] = query.Engine{Engine: engines[number].Engine, Zone: "a", Assigned: rapid.IntRange(0, 1).Draw(t, "work")}
		}
	}
	return engines
}

// The oracle works on the typed rows: sums add up over the daemons, any daemon
// that sees an engine leave is believed, and reports come from the newest view.
func TestAnswersOfSeveralDaemonsMergeAsOneViewInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var answers []query.Table
		want := map[identity.BackendID]query.Engine{}
		for range rapid.IntRange(0, 4).Draw(t, "daemons") {
			engines := drawEngines(t)
			answers = append(answers, query.TableOf(engines))
			for _, engine := range engines {
				known, found := want[engine.Engine]
				newest := engine
				if found && (known.Observed.After(engine.Observed) ||
					known.Observed.Equal(engine.Observed) && (known.Zone > engine.Zone || known.Zone == engine.Zone && known.Running > engine.Running)) {
					newest = known
				}
				newest.Leaving = known.Leaving || engine.Leaving
				newest.Assigned = known.Assigned + engine.Assigned
				want[engine.Engine] = newest
			}
		}
		var rows []query.Engine
		for _, engine := range want {
			rows = append(rows, engine)
		}
		slices.SortFunc(rows, func(a, b query.Engine) int { return int(a.Engine[1]) - int(b.Engine[1]) })

		merged, err := query.Merge(query.SourceEngines, rapid.Permutation(answers).Draw(t, "order")...)
		assert.NilError(t, err)
		expected := query.TableOf(rows)
		assert.Equal(t, len(merged.Rows), len(expected.Rows))
		for index := range expected.Rows {
			assert.DeepEqual(t, merged.Rows[index], expected.Rows[index])
		}
		checkCodecs(t, expected)
		checkSmallAnswers(t, answers, expected)
		checkEvaluation(t, expected, rows)
	})
}

// checkSmallAnswers lets the asking daemon know all engines, and the others
// answer only about those that they observe.
func checkSmallAnswers(t *rapid.T, answers []query.Table, expected query.Table) {
	if len(answers) == 0 {
		return
	}
	var known []query.Engine
	for _, row := range expected.Rows {
		known = append(known, query.Engine{Engine: identity.BackendID(row[0].Text), Zone: identity.Zone(row[2].Text)})
	}
	small := []query.Table{query.TableOf(known)}
	for _, answer := range answers {
		small = append(small, query.DropUnobserved(answer))
	}
	merged, err := query.Merge(query.SourceEngines, small...)
	assert.NilError(t, err)
	assert.DeepEqual(t, merged.Rows, expected.Rows)
}

func checkCodecs(t *rapid.T, table query.Table) {
	encoded, err := json.Marshal(table)
	assert.NilError(t, err)
	var decoded query.Table
	assert.NilError(t, json.Unmarshal(encoded, &decoded))
	assert.DeepEqual(t, decoded.Rows, table.Rows)
	packed, err := msgpack.Marshal(table)
	assert.NilError(t, err)
	var unpacked query.Table
	assert.NilError(t, msgpack.Unmarshal(packed, &unpacked))
	assert.NilError(t, unpacked.Verify(query.SourceEngines))
	assert.DeepEqual(t, unpacked, table)
}

func checkEvaluation(t *rapid.T, table query.Table, rows []query.Engine) {
	least := rapid.IntRange(0, 9).Draw(t, "least")
	limit := rapid.IntRange(0, 4).Draw(t, "limit")
	statement, err := query.Parse(fmt.Sprintf("show engines where running >= %d and zone = a order by assigned desc limit %d", least, limit))
	assert.NilError(t, err)
	got, err := query.Evaluate(statement.(*query.Show), table)
	assert.NilError(t, err)

	kept := slices.DeleteFunc(slices.Clone(rows), func(row query.Engine) bool { return row.Running < least || row.Zone != "a" })
	slices.SortStableFunc(kept, func(a, b query.Engine) int { return b.Assigned - a.Assigned })
	kept = kept[:min(limit, len(kept))]
	assert.DeepEqual(t, got.Rows, query.TableOf(kept).Rows)
}

func TestEverySourceHasNamedColumnsAndAKey(t *testing.T) {
	for _, source := range []query.Source{
		query.SourceHotPrefixes, query.SourceWaitingRequests, query.SourceLeavingBackends, query.SourceEngines,
		query.SourceBackends, query.SourceDaemons, query.SourceTenants, query.SourceEvents, query.SourceModels,
		query.SourceRevisions, query.SourceAudit, query.SourceInForce,
	} {
		_, err := query.Parse("show " + string(source))
		assert.NilError(t, err)
		keys := 0
		for _, column := range source.Columns() {
			assert.Assert(t, column.Name != "", source)
			if column.Merge == query.MergeKey {
				keys++
			}
		}
		assert.Assert(t, keys > 0, source)
	}
}

func apply(t *testing.T, document *dynamic.Document, seen *dynamic.Document, id, text string) (*dynamic.Document, error) {
	t.Helper()
	statement, err := query.Parse(text)
	assert.NilError(t, err)
	change, err := statement.(*query.Command).Change(seen, query.Proposal{ChangeID: id, Operator: "o", At: epoch})
	assert.NilError(t, err)
	return dynamic.Apply(document, change)
}

// Two operators change different limits of one tenant at the same time. Neither
// may lose its change without being told.
func TestARaceOfPartialChangesLosesNoUpdate(t *testing.T) {
	start := &dynamic.Document{Revision: 3, Tenants: []dynamic.Tenant{{Name: "t"}}}
	first, err := apply(t, start, start, "1", "set limits of t tokens-per-second 5")
	assert.NilError(t, err)
	_, err = apply(t, first, start, "2", "set limits of t concurrent 7")
	assert.ErrorType(t, err, &dynamic.ConflictError{})
	second, err := apply(t, first, first, "2", "set limits of t concurrent 7")
	assert.NilError(t, err)
	assert.DeepEqual(t, second.Tenants[0].Limits, dynamic.TenantLimits{TokensPerSecond: 5, ConcurrentRequests: 7})

	const window = " from 2026-05-01T17:00Z to 2026-05-01T18:00Z tenants t models s/m@v x "
	declared, err := apply(t, second, second, "3", "declare event race"+window+"1")
	assert.NilError(t, err)
	_, err = apply(t, declared, second, "4", "declare event race"+window+"9")
	assert.ErrorType(t, err, &dynamic.ConflictError{})
	changed, err := apply(t, declared, declared, "5", "change event race to 2026-05-01T19:00Z not-repeatable app:/finish")
	assert.NilError(t, err)
	assert.Equal(t, changed.Events[0].Models[0].Engines, 1)
	assert.Equal(t, changed.Events[0].End, epoch.Add(2*time.Hour))
	assert.DeepEqual(t, changed.Events[0].NotRepeatable, []dynamic.Route{{Service: "app", Prefix: "/finish"}})
}
