package firsttoken

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/placement"
)

// TestScoreFollowsWork checks that less work never costs more, and that an import
// is kept exactly when it makes the first token come earlier.
func TestScoreFollowsWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		query := placement.Query{PromptTokens: rapid.IntRange(1, 40_000).Draw(t, "prompt")}
		candidate := placement.Candidate{
			CachedTokens:    rapid.IntRange(0, query.PromptTokens).Draw(t, "cached"),
			AheadTokens:     rapid.Float64Range(0, 50_000).Draw(t, "ahead"),
			SecondsPerToken: rapid.Float64Range(1e-6, 1e-3).Draw(t, "pace"),
			DelaySeconds:    rapid.Float64Range(0, 1).Draw(t, "delay"),
		}
		plain := candidate
		Scorer{}.Score(&query, &plain)

		better := candidate
		better.CachedTokens = rapid.IntRange(candidate.CachedTokens, query.PromptTokens).Draw(t, "more cached")
		better.AheadTokens *= rapid.Float64Range(0, 1).Draw(t, "less ahead")
		Scorer{}.Score(&query, &better)
		assert.Assert(t, better.Cost <= plain.Cost && better.Wait <= plain.Wait)

		importing := candidate
		importing.ImportTokens = max(0, query.PromptTokens-candidate.CachedTokens-1)
		importing.ImportFrom = "other"
		importing.ImportSeconds = rapid.Float64Range(0, 1).Draw(t, "import")
		Scorer{}.Score(&query, &importing)
		assert.Assert(t, importing.Wait <= plain.Wait)
		assert.Equal(t, importing.ImportFrom != "", importing.Wait < plain.Wait, "%+v %+v", importing, plain)
	})
}
