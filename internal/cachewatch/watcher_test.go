package cachewatch

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestCacheFollowsEvents applies pages to a cache and to a plain map.
func TestCacheFollowsEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cache Cache
		truth := map[Part]int{}
		epoch := uint64(1)
		parts := rapid.SampledFrom([]Part{{"v1", "a"}, {"v1", "b"}, {"v2", "a"}})
		for range rapid.IntRange(1, 30).Draw(t, "pages") {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				epoch++
				truth = map[Part]int{}
			}
			page := Page{Epoch: epoch}
			for range rapid.IntRange(0, 4).Draw(t, "events") {
				event := Event{Part: parts.Draw(t, "part"), Tokens: rapid.IntRange(0, 2).Draw(t, "tokens")}
				page.Events = append(page.Events, event)
				truth[event.Part] = event.Tokens
			}
			cache.take(page)
			for part, want := range truth {
				got, known := cache.Tokens(part)
				assert.Assert(t, known)
				assert.Equal(t, got, want)
			}
		}
	})
}

// TestUnreachedCacheIsUnknown tells nothing of a cache before the first page and
// after a failed call.
func TestUnreachedCacheIsUnknown(t *testing.T) {
	var cache Cache
	_, known := cache.Tokens(Part{})
	assert.Assert(t, !known)
	cache.take(Page{Epoch: 1, Events: []Event{{Part: Part{ID: "a"}, Tokens: 5}}})
	cache.unreached()
	_, known = cache.Tokens(Part{ID: "a"})
	assert.Assert(t, !known)
}
