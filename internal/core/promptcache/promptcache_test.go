package promptcache

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

var start = time.Unix(1_000_000, 0)

// TestSavesOnceWhileRemembered saves a mostly shared prompt once, again when the
// save is old, and never one that is mostly its own.
func TestSavesOnceWhileRemembered(t *testing.T) {
	memory := New()
	key := Key{Salt: "v1", Part: "a"}
	assert.Assert(t, memory.Sent(start, key, "one", 6000, 9000))
	assert.Assert(t, !memory.Sent(start.Add(time.Second), key, "two", 6000, 9000))
	assert.Equal(t, memory.Holder(key), identity.BackendID("two"))
	assert.Assert(t, memory.Sent(start.Add(saveAgainAfter), key, "two", 6000, 9000))
	assert.Assert(t, memory.Sent(start, Key{Salt: "v2", Part: "a"}, "one", 6000, 9000))
	assert.Assert(t, !memory.Sent(start, Key{Salt: "v1", Part: "b"}, "one", 92, 383))
}

// TestMemoryIsBounded compares the memory with a map of everything: what it still
// knows is right, and it never grows past its capacity.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := New()
		memory.capacity = rapid.IntRange(1, 5).Draw(t, "capacity")
		truth := map[Key]identity.BackendID{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := Key{Salt: "v1", Part: fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "part"))}
			holder := identity.BackendID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "holder")))
			memory.Sent(start, key, holder, 1, 1)
			truth[key] = holder
			assert.Equal(t, memory.Holder(key), holder)
			assert.Assert(t, len(memory.records) <= memory.capacity)
			for known, holder := range truth {
				remembered := memory.Holder(known)
				assert.Assert(t, remembered == "" || remembered == holder)
			}
		}
	})
}
