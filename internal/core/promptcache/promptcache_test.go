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
	assert.Assert(t, memory.RecordDispatch(start, Fact{Part: key, Backend: 1}, 6000, 9000))
	assert.Assert(t, !memory.RecordDispatch(start.Add(time.Second), Fact{Part: key, Backend: 2}, 6000, 9000))
	assert.DeepEqual(t, memory.Holders(start.Add(time.Second), key), Holders{Reading: []uint64{2, 1}})
	assert.Assert(t, memory.RecordDispatch(start.Add(saveAgainAfter), Fact{Part: key, Backend: 2}, 6000, 9000))
	assert.Assert(t, memory.RecordDispatch(start, Fact{Part: KeyOf("v2", "a"), Backend: 1}, 6000, 9000))
	assert.Assert(t, !memory.RecordDispatch(start, Fact{Part: KeyOf("v1", "b"), Backend: 1}, 92, 383))
}

// TestHoldersAreForgotten believes nothing of a part that nobody asked for lately.
func TestHoldersAreForgotten(t *testing.T) {
	memory := New()
	key := KeyOf("v1", "a")
	memory.RecordRead(start, Fact{Part: key, Backend: 1})
	memory.RecordDispatch(start, Fact{Part: key, Backend: 2}, 1, 1)
	assert.DeepEqual(t, memory.Holders(start, key), Holders{Read: []uint64{1}, Reading: []uint64{2}})
	assert.DeepEqual(t, memory.Holders(start.Add(readingTime+1), key), Holders{Read: []uint64{1}})
	assert.DeepEqual(t, memory.Holders(start.Add(holderTime+1), key), Holders{})
}

// TestFactsReachAnotherMemory tells each fact once, and the hearer believes it.
func TestFactsReachAnotherMemory(t *testing.T) {
	teller, hearer := New(), New()
	key := KeyOf("v1", "a")
	teller.RecordDispatch(start, Fact{Part: key, Backend: 4}, 1, 1)
	hearer.Merge(start, teller.DrainPending())
	assert.DeepEqual(t, hearer.Holders(start, key), Holders{Reading: []uint64{4}})
	teller.RecordRead(start, Fact{Part: key, Backend: 4})
	hearer.Merge(start, teller.DrainPending())
	assert.DeepEqual(t, hearer.Holders(start, key), Holders{Read: []uint64{4}})
	hearer.RecordDispatch(start, Fact{Part: key, Backend: 4}, 1, 1)
	hearer.DrainPending()
	assert.DeepEqual(t, hearer.Holders(start, key), Holders{Read: []uint64{4}})
	assert.Equal(t, len(teller.DrainPending()), 0)
	assert.Equal(t, len(hearer.DrainPending()), 0)
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
			memory.RecordDispatch(start, Fact{Part: key, Backend: backend}, 1, 1)
			others := slices.DeleteFunc(truth[key], func(known uint64) bool { return known == backend })
			truth[key] = append([]uint64{backend}, others...)
			assert.Assert(t, len(memory.records) <= memory.capacity)
			assert.Assert(t, len(memory.untold) <= maximumUntold)
			remembered := memory.Holders(start, key).Reading
			assert.DeepEqual(t, remembered, truth[key][:len(remembered)])
			assert.Assert(t, len(remembered) > 0 && len(remembered) <= maximumHolders)
		}
	})
}

// TestDroppedPartsAreForgotten forgets that a back end holds what it told to have
// dropped, tells others, and passes over drops of before a request that brought the part
// there again.
func TestDroppedPartsAreForgotten(t *testing.T) {
	memory, now := New(), time.Now()
	fact := Fact{Part: 7, Backend: 3, Tokens: 900}
	memory.RecordRead(now, fact)
	memory.DrainPending()
	memory.RecordDrop(now.Add(eventTime/2), fact)
	assert.Equal(t, len(memory.Holders(now, 7).Read), 1, "the drop was before the request")
	memory.RecordDrop(now.Add(2*eventTime), fact)
	assert.Equal(t, len(memory.Holders(now, 7).Read), 0)
	told := memory.DrainPending()
	assert.Equal(t, len(told), 1)
	assert.Assert(t, told[0].Dropped)
	other := New()
	other.RecordRead(now, fact)
	other.Merge(now.Add(2*eventTime), told)
	assert.Equal(t, len(other.Holders(now, 7).Read), 0)
	memory.RecordDrop(now.Add(3*eventTime), fact)
	assert.Equal(t, len(memory.DrainPending()), 0, "what is not known needs no telling")
}

// TestDropsOfLargePartsAreForAll tells all daemons that a large part was dropped, as they were
// told that it was read, and a few of a small one.
func TestDropsOfLargePartsAreForAll(t *testing.T) {
	for tokens, forAll := range map[int]bool{LargeTokens: true, LargeTokens - 1: false} {
		memory, now := New(), time.Unix(1000, 0)
		memory.RecordHeld(now, Fact{Part: 1, Backend: 2, Tokens: tokens})
		memory.RecordDrop(now.Add(2*eventTime), Fact{Part: 1, Backend: 2, Tokens: 16})
		told := memory.DrainPending()
		assert.Equal(t, len(told), 1)
		assert.Assert(t, told[0].Dropped)
		assert.Equal(t, told[0].IsBroadcast(), forAll)
	}
}
