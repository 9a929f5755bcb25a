package lab

import (
	"bytes"
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// TestScenariosAreServedWhole plays a moment of each scenario on real daemons: every request
// gets its own whole answer.
func TestScenariosAreServedWhole(t *testing.T) {
	for _, scenario := range Scenarios {
		result, err := Play(context.Background(), scenario, backendpool.PlacementSoonest, 1, time.Second)
		assert.NilError(t, err)
		assert.Assert(t, result.Requests > 10, "%s: %d requests", scenario.Name, result.Requests)
		assert.Equal(t, result.Wrong, 0, scenario.Name)
		assert.Equal(t, result.Served, result.Requests, scenario.Name)
	}
}

// TestLoadRepeatsWithItsSeed draws the same load for each placement that is compared.
func TestLoadRepeatsWithItsSeed(t *testing.T) {
	for _, scenario := range Scenarios {
		draw := func(seed uint64) int { return len(scenario.arrivals(rand.New(rand.NewPCG(seed, 1)), 5*time.Second)) }
		assert.Equal(t, draw(7), draw(7))
	}
}

// TestTablesNameEveryColumn prints one cell for each column.
func TestTablesNameEveryColumn(t *testing.T) {
	result := Result{Scenario: "s", Placement: backendpool.PlacementRandom, Requests: 3}
	assert.Equal(t, len(result.cells()), len(header))
	var output bytes.Buffer
	writeTable(&output, []Result{result})
	assert.Assert(t, bytes.Contains(output.Bytes(), []byte("random")), output.String())
}
