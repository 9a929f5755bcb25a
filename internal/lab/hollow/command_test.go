package hollow

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSameSeedGivesTheSameRun runs twice, with real encoding, and compares all
// that was sent.
func TestSameSeedGivesTheSameRun(t *testing.T) {
	run := func() Traffic {
		made, err := newFleet(12, 3, 7, LocalConditions())
		assert.NilError(t, err)
		made.network.Run(10 * time.Second)
		made.busy(10*time.Second, 1000)
		assert.Equal(t, made.codec.Failed+made.codec.Oversized, 0)
		return made.traffic()
	}
	assert.Equal(t, run(), run())
}

func TestCommandMeasuresASmallFleet(t *testing.T) {
	var output bytes.Buffer
	command := &Command{Daemons: []int{8}, Zones: 2, Seed: 1, Duration: 5 * time.Second, Facts: 1, Restarts: 20}
	assert.NilError(t, command.run(&output))
	assert.Assert(t, bytes.Contains(output.Bytes(), []byte("leave of a back end")))
}
