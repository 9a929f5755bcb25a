package directory

import (
	"context"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// lackingPeers know nothing that one could ask them for.
type lackingPeers struct{}

func (lackingPeers) Update(context.Context, string, Have, func()) (Update, error) {
	return Update{}, nil
}

// TestLogSaysWhyNobodyHelped lets all other daemons lack what one has heard of: its log
// names the table and the error before it reads the store for that.
func TestLogSaysWhyNobodyHelped(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	follower := New(Options{
		Pool: backendpool.New("a"), Log: log, Self: "b", Tell: func(Bulletin) {}, Peers: lackingPeers{},
	})
	declared := declaration(10, 7)
	follower.apply(message{table: tableDeclared, began: time.Now(), ended: time.Now(), declared: &declared})
	follower.listed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go follower.catchUp(ctx)
	follower.fallBehind(lag{from: "a", table: tableDeclared, need: Have{NeedRowVersion: 12}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, line := range lines.AllEntries() {
			if line.Data["table"] == tableDeclared && line.Data["error"] != nil {
				return poll.Success()
			}
		}
		return poll.Continue("nobody says why")
	}, poll.WithDelay(5*time.Millisecond))
	assert.ErrorType(t, follower.ask(ctx, "a", Have{NeedRowVersion: 12}, nil), &LackingError{})
}

// TestFewStartersReadTheStore draws the times at which daemons that start together begin to read the store: by the time
// by which the first has told what it read, few have begun, however many there are.
func TestFewStartersReadTheStore(t *testing.T) {
	const toldAfter, rounds = 150 * time.Millisecond, 50
	for _, count := range []int{100, 985, 2_000, 10_000} {
		began, first := 0, longestJoin
		for range rounds * count {
			delay := joinDelay(10, count)
			if delay < toldAfter {
				began++
			}
			first = min(first, delay)
			assert.Assert(t, delay <= longestJoin)
		}
		mean := float64(began) / rounds
		t.Logf("of %d daemons %.1f begin within %s", count, mean, toldAfter)
		assert.Assert(t, mean < 6, "%.1f of %d begin", mean, count)
		assert.Assert(t, first == 0)
	}
}
