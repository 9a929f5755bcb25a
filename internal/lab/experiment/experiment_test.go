package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSameSeedGivesTheSameTable runs an experiment twice, with one worker and
// with several, and compares the printed tables and the plots to the byte.
func TestSameSeedGivesTheSameTable(t *testing.T) {
	var tables [2]bytes.Buffer
	var directories [2]string
	for index, workers := range []int{1, 4} {
		directories[index] = t.TempDir()
		command := Command{
			Scenarios: []string{"herd-restart"}, Deployments: []string{"kalahari-pot"},
			Seeds: 1, Workers: workers, RateFactor: 0.2, Format: "table", Output: directories[index],
		}
		assert.NilError(t, command.run(context.Background(), &tables[index]))
	}
	assert.Equal(t, tables[0].String(), tables[1].String())
	for _, name := range []string{"results.csv", "results.json", "kalahari-pot-herd-restart-first-token.svg", "kalahari-pot-herd-restart-hit-rate.svg"} {
		one, err := os.ReadFile(filepath.Join(directories[0], name))
		assert.NilError(t, err)
		other, err := os.ReadFile(filepath.Join(directories[1], name))
		assert.NilError(t, err)
		assert.Assert(t, len(one) > 0 && bytes.Equal(one, other), name)
	}
}

func TestUnknownNamesAreRefused(t *testing.T) {
	_, err := Run(context.Background(), Options{Scenarios: []string{"nowhere"}})
	assert.ErrorType(t, err, &UnknownNameError{})
}
