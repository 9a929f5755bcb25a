package platform

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// TestTableAgreesWithMap drives the table and a plain map with the same
// transactions and scans.
func TestTableAgreesWithMap(t *testing.T) {
	keys := rapid.SampledFrom([]string{"a", "a/1", "a/2", "b", "b/1"})
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		oracle := map[string]platformwire.Row{}
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				transaction := drawTransaction(t, keys)
				holds := conditionsHold(oracle, transaction)
				_, committed := table.Commit(transaction)
				assert.Equal(t, committed, holds)
				if committed {
					apply(oracle, transaction)
				}
			},
			"": func(t *rapid.T) {
				prefix, after := keys.Draw(t, "prefix"), keys.Draw(t, "after")
				limit := rapid.IntRange(0, 5).Draw(t, "limit")
				assert.DeepEqual(t, table.Scan(prefix, after, limit), scanMap(oracle, prefix, after, limit))
			},
		})
	})
}

func drawTransaction(t *rapid.T, keys *rapid.Generator[string]) platformwire.Transaction {
	condition := rapid.Custom(func(t *rapid.T) platformwire.Condition {
		return platformwire.Condition{Key: keys.Draw(t, "key"), Version: rapid.Uint64Range(0, 2).Draw(t, "version")}
	})
	write := rapid.Custom(func(t *rapid.T) platformwire.Write {
		return platformwire.Write{
			Key:    keys.Draw(t, "key"),
			Value:  []byte(rapid.StringN(1, 3, 3).Draw(t, "value")),
			Delete: rapid.Bool().Draw(t, "delete"),
		}
	})
	return platformwire.Transaction{
		Conditions: rapid.SliceOfN(condition, 0, 2).Draw(t, "conditions"),
		Writes:     rapid.SliceOfN(write, 0, 3).Draw(t, "writes"),
	}
}

func conditionsHold(rows map[string]platformwire.Row, transaction platformwire.Transaction) bool {
	return !slices.ContainsFunc(transaction.Conditions, func(condition platformwire.Condition) bool {
		return rows[condition.Key].Version != condition.Version
	})
}

func apply(rows map[string]platformwire.Row, transaction platformwire.Transaction) {
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(rows, write.Key)
			continue
		}
		rows[write.Key] = platformwire.Row{Key: write.Key, Value: write.Value, Version: rows[write.Key].Version + 1}
	}
}

func scanMap(rows map[string]platformwire.Row, prefix, after string, limit int) []platformwire.Row {
	found := []platformwire.Row{}
	for _, row := range rows {
		if strings.HasPrefix(row.Key, prefix) && row.Key > after {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b platformwire.Row) int { return strings.Compare(a.Key, b.Key) })
	return found[:min(limit, len(found))]
}

// TestMachineListLagsAndNeverGoesBack moves a clock by hand past the lag, and
// then makes the lag longer and freezes the list.
func TestMachineListLagsAndNeverGoesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	server := New(Options{
		Faults: Faults{MachineLagMilliseconds: 1000},
		Now:    func() time.Time { return now },
	})
	server.PutMachine(platformwire.Machine{ID: "engine-1", State: platformwire.MachineLive})
	assert.Equal(t, len(server.machines.list().Machines), 0)

	now = now.Add(time.Second)
	assert.Equal(t, server.machines.list().Machines[0].State, platformwire.MachineLive)

	server.PutMachine(platformwire.Machine{ID: "engine-1", State: platformwire.MachineLeaving})
	server.SetFaults(Faults{MachineLagMilliseconds: 60_000})
	now = now.Add(time.Second)
	assert.Equal(t, server.machines.list().Machines[0].State, platformwire.MachineLive)

	server.SetFaults(Faults{MachinesFrozen: true})
	assert.Equal(t, server.machines.list().Machines[0].State, platformwire.MachineLive)

	server.SetFaults(Faults{})
	assert.Equal(t, server.machines.list().Machines[0].State, platformwire.MachineLeaving)
}

// TestWeightFetchSlowsDownAboveTheLimit checks the times of fetches.
func TestWeightFetchSlowsDownAboveTheLimit(t *testing.T) {
	settings := Faults{WeightMilliseconds: 500, WeightConcurrency: 3}
	assert.Equal(t, fetchTime(settings, 3), 500*time.Millisecond)
	assert.Equal(t, fetchTime(settings, 6), time.Second)
}
