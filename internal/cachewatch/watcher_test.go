package cachewatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/pause"
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

// addressedSource has one event at each address: a part named like it.
type addressedSource struct{}

func (addressedSource) Events(ctx context.Context, address string, since uint64, wait time.Duration) (Page, error) {
	if since > 0 {
		pause.For(ctx, wait)
		return Page{Epoch: 1, Next: since}, ctx.Err()
	}
	return Page{Epoch: 1, Next: 1, Events: []Event{{Part: Part{ID: address}, Tokens: 7}}}, nil
}

// TestEachCacheIsWatched keeps what each of several caches holds apart, and forgets a
// cache that is there no longer.
func TestEachCacheIsWatched(t *testing.T) {
	var targets atomic.Pointer[[]Target]
	targets.Store(&[]Target{{Name: "one", Address: "one"}, {Name: "two", Address: "two"}})
	watcher := NewWatcher(Options{
		Source: addressedSource{}, Targets: func() []Target { return *targets.Load() }, Log: logging.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = watcher.Run(ctx) }()
	holds := func(address, part string) bool {
		tokens, known := watcher.Cache(address).Tokens(Part{ID: part})
		return known && tokens == 7
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds("one", "one") && holds("two", "two") {
			return poll.Success()
		}
		return poll.Continue("not all caches are known")
	})
	assert.Assert(t, !holds("one", "two"))
	targets.Store(&[]Target{{Name: "two", Address: "two"}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !holds("one", "one") {
			return poll.Success()
		}
		return poll.Continue("the cache is still known")
	})
	assert.Assert(t, holds("two", "two"))
}
