package prober

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/logging"
)

// network answers attempts to connect.
type network struct {
	reachable atomic.Bool
	// lost is how many attempts fail though the back end can be reached.
	lost     atomic.Int64
	attempts atomic.Int64
}

func (n *network) reach(ctx context.Context, _ string) backendpool.ConnectResult {
	n.attempts.Add(1)
	if n.reachable.Load() && n.lost.Add(-1) < 0 {
		return backendpool.Connected
	}
	<-ctx.Done()
	return backendpool.ConnectTimedOut
}

func startProber(t *testing.T, outside *network) *backendpool.Pool {
	t.Helper()
	pool := backendpool.New("a")
	pool.Update([]backendpool.Backend{{ID: "one", Service: "s", Address: "1"}, {ID: "two", Service: "s", Address: "2"}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- New(Options{Pool: pool, Reach: outside.reach, Log: logging.Discard()}).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return pool
}

func isOut(pool *backendpool.Pool, count int) poll.Check {
	return func(poll.LogT) poll.Result {
		if _, out := pool.Count(time.Now()); out == count {
			return poll.Success()
		}
		return poll.Continue("not %d back ends are out", count)
	}
}

// TestSilentBackEndIsOutWhileItCannotBeReached takes a back end out that says nothing and
// can't be reached, keeps it out, and lets it back once it can be.
func TestSilentBackEndIsOutWhileItCannotBeReached(t *testing.T) {
	outside := &network{}
	pool := startProber(t, outside)
	ticket := pool.Pick(time.Now(), backendpool.Query{Service: "s"})
	defer ticket.Release(time.Now(), backendpool.ResultAbandoned)
	poll.WaitOn(t, isOut(pool, 1))
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		_, out := pool.Count(time.Now())
		assert.Equal(t, out, 1)
	}
	outside.reachable.Store(true)
	poll.WaitOn(t, isOut(pool, 0))
}

// TestOneLostAttemptIsNoProof tries again before a back end is taken out.
func TestOneLostAttemptIsNoProof(t *testing.T) {
	outside := &network{}
	outside.reachable.Store(true)
	outside.lost.Store(1)
	pool := startProber(t, outside)
	ticket := pool.Pick(time.Now(), backendpool.Query{Service: "s"})
	defer ticket.Release(time.Now(), backendpool.ResultAbandoned)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if outside.attempts.Load() >= 2 {
			return poll.Success()
		}
		return poll.Continue("it is not tried again")
	})
	time.Sleep(2 * lookInterval)
	_, out := pool.Count(time.Now())
	assert.Equal(t, out, 0)
}
