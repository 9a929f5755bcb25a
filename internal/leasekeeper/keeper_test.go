package leasekeeper_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/lease"
	"github.com/lotusward/lotusward/internal/leasekeeper"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/port/porttest"
)

// duration is long enough that renewals are in time on a busy machine.
const duration = 2 * time.Second

// clock is the real clock plus an offset that simulates a pause of the process.
type clock struct{ jump atomic.Int64 }

func (c *clock) now() time.Time { return time.Now().Add(time.Duration(c.jump.Load())) }

// start runs a function until the returned stop function is called.
func start(t *testing.T, run func(context.Context) error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	return func() {
		cancel()
		assert.NilError(t, <-ended)
	}
}

func newKeeper(table port.TableService, holder identity.DaemonID, clock *clock) *leasekeeper.Keeper {
	return leasekeeper.New(leasekeeper.Options{
		Table: table,
		Settings: lease.Settings{
			Key: "lease/test", Holder: holder, Incarnation: 1,
			Duration: duration, MaximumDrift: leasekeeper.DefaultMaximumDrift,
		},
		Log: logging.Discard(),
		Now: clock.now,
	})
}

func waitHeld(t *testing.T, keeper *leasekeeper.Keeper) identity.FencingToken {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, held := keeper.Held(); held {
			return poll.Success()
		}
		return poll.Continue("the lease is not held")
	}, poll.WithTimeout(30*time.Second))
	token, _ := keeper.Held()
	return token
}

// TestPauseOutageAndHandOver runs one lease through a pause of the holder, an outage of the table with lost replies,
// and an orderly stop of the holder.
func TestPauseOutageAndHandOver(t *testing.T) {
	table := porttest.NewService()

	var clock clock
	first := newKeeper(table, "first", &clock)
	stopFirst := start(t, first.Run)
	before := waitHeld(t, first)

	// A holder that was paused beyond its lease sees immediately that it has expired.
	table.Refuse(true)
	clock.jump.Store(int64(duration))
	_, held := first.Held()
	assert.Assert(t, !held, "a paused holder must not act")

	// Lost replies delay the next grant but don't repeat a token.
	table.Refuse(false)
	table.LoseEvery(2)
	after := waitHeld(t, first)
	assert.Assert(t, after > before, "token %d after %d", after, before)

	// A holder that stops releases the lease to another one.
	table.LoseEvery(0)
	second := newKeeper(table, "second", &clock)
	defer start(t, second.Run)()
	stopFirst()
	assert.Assert(t, waitHeld(t, second) > after)
	_, held = first.Held()
	assert.Assert(t, !held)
}
