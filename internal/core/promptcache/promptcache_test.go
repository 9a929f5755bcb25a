package promptcache

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// TestSavesOncePerInterval saves a mostly shared prompt once, again when the save is old, and
// never a mostly private one.
func TestSavesOncePerInterval(t *testing.T) {
	index := New()
	key := KeyOf("v1", "a")
	assert.Assert(t, index.RecordDispatch(start, Fact{Part: key, Backend: 1}, 6000, 9000))
	assert.Assert(t, !index.RecordDispatch(start.Add(time.Second), Fact{Part: key, Backend: 2}, 6000, 9000))
	assert.DeepEqual(t, index.Holders(start.Add(time.Second), key), Holders{Reading: []uint64{2, 1}})
	assert.Assert(t, index.RecordDispatch(start.Add(resaveInterval), Fact{Part: key, Backend: 2}, 6000, 9000))
	assert.Assert(t, index.RecordDispatch(start, Fact{Part: KeyOf("v2", "a"), Backend: 1}, 6000, 9000))
	assert.Assert(t, !index.RecordDispatch(start, Fact{Part: KeyOf("v1", "b"), Backend: 1}, 92, 383))
}

// TestHoldersExpire checks that holders of a part are forgotten if it was not requested recently.
func TestHoldersExpire(t *testing.T) {
	index := New()
	key := KeyOf("v1", "a")
	index.RecordRead(start, Fact{Part: key, Backend: 1})
	index.RecordDispatch(start, Fact{Part: key, Backend: 2}, 1, 1)
	assert.DeepEqual(t, index.Holders(start, key), Holders{Read: []uint64{1}, Reading: []uint64{2}})
	assert.DeepEqual(t, index.Holders(start.Add(readingTTL+1), key), Holders{Read: []uint64{1}})
	assert.DeepEqual(t, index.Holders(start.Add(holderTTL+1), key), Holders{})
}

// TestFactsReachAnotherIndex checks that each fact is sent once and recorded by the receiver.
func TestFactsReachAnotherIndex(t *testing.T) {
	sender, receiver := New(), New()
	key := KeyOf("v1", "a")
	sender.RecordDispatch(start, Fact{Part: key, Backend: 4}, 1, 1)
	receiver.Merge(start, sender.DrainPending())
	assert.DeepEqual(t, receiver.Holders(start, key), Holders{Reading: []uint64{4}})
	sender.RecordRead(start, Fact{Part: key, Backend: 4})
	receiver.Merge(start, sender.DrainPending())
	assert.DeepEqual(t, receiver.Holders(start, key), Holders{Read: []uint64{4}})
	receiver.RecordDispatch(start, Fact{Part: key, Backend: 4}, 1, 1)
	receiver.DrainPending()
	assert.DeepEqual(t, receiver.Holders(start, key), Holders{Read: []uint64{4}})
	assert.Equal(t, len(sender.DrainPending()), 0)
	assert.Equal(t, len(receiver.DrainPending()), 0)
}

// TestIndexIsBounded compares the index with a complete history: the holders that it still has are
// correct, newest first, and it stays within its bounds.
func TestIndexIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := New()
		index.capacity = rapid.IntRange(1, 5).Draw(t, "capacity")
		model := map[Key][]uint64{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			key := Key(rapid.Uint64Range(1, 8).Draw(t, "part"))
			backend := rapid.Uint64Range(1, 5).Draw(t, "backend")
			index.RecordDispatch(start, Fact{Part: key, Backend: backend}, 1, 1)
			others := slices.DeleteFunc(model[key], func(known uint64) bool { return known == backend })
			model[key] = append([]uint64{backend}, others...)
			assert.Assert(t, len(index.records) <= index.capacity)
			assert.Assert(t, len(index.pending) <= maxPending)
			remembered := index.Holders(start, key).Reading
			assert.DeepEqual(t, remembered, model[key][:len(remembered)])
			assert.Assert(t, len(remembered) > 0 && len(remembered) <= maxHolders)
		}
	})
}

// TestDroppedPartsAreForgotten checks that a holder is removed when it reports a drop, that others
// are notified, and that drops from before a request that brought the part there again are
// ignored.
func TestDroppedPartsAreForgotten(t *testing.T) {
	index, now := New(), time.Now()
	fact := Fact{Part: 7, Backend: 3, Tokens: 900}
	index.RecordRead(now, fact)
	index.DrainPending()
	index.RecordDrop(now.Add(maxDropDelay/2), fact)
	assert.Equal(t, len(index.Holders(now, 7).Read), 1, "the drop was before the request")
	index.RecordDrop(now.Add(2*maxDropDelay), fact)
	assert.Equal(t, len(index.Holders(now, 7).Read), 0)
	announced := index.DrainPending()
	assert.Equal(t, len(announced), 1)
	assert.Assert(t, announced[0].Dropped)
	other := New()
	other.RecordRead(now, fact)
	other.Merge(now.Add(2*maxDropDelay), announced)
	assert.Equal(t, len(other.Holders(now, 7).Read), 0)
	index.RecordDrop(now.Add(3*maxDropDelay), fact)
	assert.Equal(t, len(index.DrainPending()), 0, "a drop of an unknown part is not sent")
}

// TestDropsOfLargePartsAreBroadcast checks that the drop of a large part is sent to all daemons,
// as its read was, and that of a small part is not.
func TestDropsOfLargePartsAreBroadcast(t *testing.T) {
	for tokens, broadcast := range map[int]bool{LargeTokens: true, LargeTokens - 1: false} {
		index, now := New(), time.Unix(1000, 0)
		index.RecordHeld(now, Fact{Part: 1, Backend: 2, Tokens: tokens})
		index.RecordDrop(now.Add(2*maxDropDelay), Fact{Part: 1, Backend: 2, Tokens: 16})
		announced := index.DrainPending()
		assert.Equal(t, len(announced), 1)
		assert.Assert(t, announced[0].Dropped)
		assert.Equal(t, announced[0].IsBroadcast(), broadcast)
	}
}
