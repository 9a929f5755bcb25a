package promptcache

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// TestSavesOnceWhileRemembered saves a mostly shared prompt once, again when the
// save is old, and never one that is mostly its own.
func TestSavesOnceWhileRemembered(t *testing.T) {
	memory := New()
	key := KeyOf("v1", "a")
	assert.Assert(t, memory.Sent(start, Fact{key, 1}, 6000, 9000))
	assert.Assert(t, !memory.Sent(start.Add(time.Second), Fact{key, 2}, 6000, 9000))
	assert.DeepEqual(t, memory.Holders(start.Add(time.Second), key), []uint64{2, 1})
	assert.Assert(t, memory.Sent(start.Add(saveAgainAfter), Fact{key, 2}, 6000, 9000))
	assert.Assert(t, memory.Sent(start, Fact{KeyOf("v2", "a"), 1}, 6000, 9000))
	assert.Assert(t, !memory.Sent(start, Fact{KeyOf("v1", "b"), 1}, 92, 383))
}

// TestHoldersAreForgotten believes nothing of a part that nobody asked for lately.
func TestHoldersAreForgotten(t *testing.T) {
	memory := New()
	key := KeyOf("v1", "a")
	memory.Sent(start, Fact{key, 1}, 1, 1)
	assert.Equal(t, len(memory.Holders(start.Add(holderTime), key)), 1)
	assert.Equal(t, len(memory.Holders(start.Add(holderTime+1), key)), 0)
}

// TestFactsReachAnotherMemory tells each fact once, and the hearer believes it.
func TestFactsReachAnotherMemory(t *testing.T) {
	teller, hearer := New(), New()
	key := KeyOf("v1", "a")
	teller.Sent(start, Fact{key, 4}, 1, 1)
	hearer.Heard(start, teller.Untold())
	assert.DeepEqual(t, hearer.Holders(start, key), []uint64{4})
	assert.Equal(t, len(teller.Untold()), 0)
	assert.Equal(t, len(hearer.Untold()), 0)
}

// TestMemoryIsBounded compares the memory with a list of everything: what it still
// knows is right, newest first, and it never grows past its bounds.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := New()
		memory.capacity = rapid.IntRange(1, 5).Draw(t, "capacity")
		truth := map[Key][]uint64{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			key := Key(rapid.Uint64Range(1, 8).Draw(t, "part"))
			backend := rapid.Uint64Range(1, 5).Draw(t, "backend")
			memory.Sent(start, Fact{key, backend}, 1, 1)
			others := slices.DeleteFunc(truth[key], func(known uint64) bool { return known == backend })
			truth[key] = append([]uint64{backend}, others...)
			assert.Assert(t, len(memory.records) <= memory.capacity)
			assert.Assert(t, len(memory.untold) <= maximumUntold)
			remembered := memory.Holders(start, key)
			assert.DeepEqual(t, remembered, truth[key][:len(remembered)])
			assert.Assert(t, len(remembered) > 0 && len(remembered) <= maximumHolders)
		}
	})
}
