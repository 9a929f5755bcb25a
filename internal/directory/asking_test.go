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
