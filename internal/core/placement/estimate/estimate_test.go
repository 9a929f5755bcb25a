package estimate

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPaceFindsTheLine feeds times of an engine with a steady pace.
func TestPaceFindsTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perToken := rapid.Float64Range(5e-6, 5e-4).Draw(t, "seconds per token")
		step := rapid.Float64Range(0.002, 0.1).Draw(t, "step")
		pace := NewPace()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 2000 {
			tokens := random.Float64() * 10_000
			pace.Learn(tokens, step+perToken*tokens)
		}
		assert.Assert(t, pace.SecondsPerToken() > 0.95*perToken && pace.SecondsPerToken() < 1.05*perToken)
		assert.Assert(t, pace.StepSeconds() > 0)
	})
}
