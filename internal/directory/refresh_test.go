package directory

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
)

// holdingSource answers held calls for changes of the list only once their time is over.
type holdingSource struct{ *memorySource }

func (s holdingSource) BackendChanges(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	if wait > 0 {
		pause.For(ctx, wait)
		return Changes{}, ctx.Err()
	}
	return s.memorySource.BackendChanges(ctx, after, 0)
}

func refreshedSource() holdingSource {
	return holdingSource{&memorySource{
		declared: declaration(10, 7),
		listed: Listed{
			Reading: Reading{Version: 10, Bytes: 100 * bytesPerSecond}, Backends: []backendpool.Backend{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}},
		},
	}}
}

// readerOf returns a Directory that reads the store for all.
func readerOf(t *testing.T, source Source) *Directory {
	directory := New(Options{Source: source, Pool: backendpool.New("a"), Log: logging.Discard(), SteadyTime: time.Second, Interval: testInterval})
	running, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = directory.Run(running)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	poll.WaitOn(t, complete(directory))
	return directory
}

// followerOf returns a Directory that knows the list, and calls the store only to refresh it.
func followerOf(t *testing.T, source holdingSource) *Directory {
	directory := New(Options{Source: source, Pool: backendpool.New("a"), Log: logging.Discard(), SteadyTime: time.Second, Interval: testInterval})
	directory.apply(message{table: tableBackends, began: clock.Now(), ended: clock.Now(), listed: &source.listed})
	running, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for {
			select {
			case got := <-directory.messages:
				directory.apply(got)
			case <-running.Done():
				return
			}
		}
	}()
	return directory
}

func forReaderAndFollower(t *testing.T, test func(t *testing.T, source holdingSource, directory *Directory)) {
	t.Run("reader", func(t *testing.T) {
		source := refreshedSource()
		test(t, source, readerOf(t, source))
	})
	t.Run("follower", func(t *testing.T) {
		source := refreshedSource()
		test(t, source, followerOf(t, source))
	})
}

func listedIDs(directory *Directory) []identity.BackendID {
	var ids []identity.BackendID
	for _, each := range directory.options.Pool.Backends() {
		ids = append(ids, each.ID)
	}
	return ids
}

// TestRefreshedListIsAppliedBeforeItIsTrusted guards against continuing a stream by a list without the changes that the store told of.
func TestRefreshedListIsAppliedBeforeItIsTrusted(t *testing.T) {
	forReaderAndFollower(t, func(t *testing.T, source holdingSource, directory *Directory) {
		assert.NilError(t, directory.RefreshBackends(context.Background()))
		assert.DeepEqual(t, listedIDs(directory), []identity.BackendID{"a", "b"})
		source.set(func(s *memorySource) {
			s.changes = Changes{Last: 12, Changed: []backendpool.Backend{{ID: "c", Service: "s"}}, Gone: []identity.BackendName{"a"}}
		})
		assert.NilError(t, directory.RefreshBackends(context.Background()))
		assert.DeepEqual(t, listedIDs(directory), []identity.BackendID{"b", "c"})
	})
}

// TestFailedRefreshChangesNothing lets the call fail, or find that the store has dropped the history of the list.
func TestFailedRefreshChangesNothing(t *testing.T) {
	for name, failure := range map[string]error{"lost history": &port.NotFoundError{Service: "store", Key: "history"}, "no answer": errors.New("down")} {
		t.Run(name, func(t *testing.T) {
			forReaderAndFollower(t, func(t *testing.T, source holdingSource, directory *Directory) {
				position := directory.positions[tableBackends].Load()
				source.set(func(s *memorySource) {
					s.failure = failure
					s.changes = Changes{Last: 12, Gone: []identity.BackendName{"a"}}
				})
				assert.ErrorIs(t, directory.RefreshBackends(context.Background()), failure)
				assert.DeepEqual(t, listedIDs(directory), []identity.BackendID{"a", "b"})
				assert.Equal(t, directory.positions[tableBackends].Load(), position)
			})
		})
	}
}

// TestRefreshWithoutAListFails guards against taking the changes since nothing for a list.
func TestRefreshWithoutAListFails(t *testing.T) {
	source := refreshedSource()
	source.changes = Changes{Last: 12, Changed: []backendpool.Backend{{ID: "c", Service: "s"}}}
	directory := New(Options{Source: source, Pool: backendpool.New("a"), Log: logging.Discard()})
	assert.ErrorIs(t, directory.RefreshBackends(context.Background()), errNotListed)
	assert.Equal(t, len(listedIDs(directory)), 0)
}
