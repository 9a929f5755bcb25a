package leasekeeper_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/lease"
	"github.com/lotusward/lotusward/internal/port"
)

// blockingTable is a table of one row. It blocks the first commit of a row without Acting that follows one with it.
type blockingTable struct {
	port.TableService
	mutex   sync.Mutex
	version uint64
	acted   bool
	// blocked is closed once such a commit has started, and closing unblock lets it continue.
	blocked, unblock chan struct{}
}

func (t *blockingTable) Read(context.Context, ...string) ([]port.Row, error) { return nil, nil }

func (t *blockingTable) Commit(_ context.Context, change port.Transaction) ([]port.Row, error) {
	var record lease.Record
	if err := json.Unmarshal(change.Writes[0].Value, &record); err != nil {
		return nil, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.acted && !record.Acting {
		t.acted = false
		close(t.blocked)
		<-t.unblock
	}
	t.acted = t.acted || record.Acting
	t.version++
	return []port.Row{{Key: change.Writes[0].Key, Version: t.version}}, nil
}

// TestNobodyActsOnceTheRowMaySaySo guards against a holder that acts while a slow commit clears Acting in the row. The
// holder must not act once the commit has started, since the next holder need not wait after it has taken effect.
func TestNobodyActsOnceTheRowMaySaySo(t *testing.T) {
	var clock clock
	table := &blockingTable{blocked: make(chan struct{}), unblock: make(chan struct{})}
	keeper := newKeeper(table, "one", &clock)
	defer start(t, keeper.Run)()
	waitHeld(t, keeper)
	keeper.SetActing(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, may := keeper.TryAct(); may {
			return poll.Success()
		}
		return poll.Continue("the holder may not act")
	})
	// The renewal becomes due just after the holder stops wanting to act.
	keeper.SetActing(false)
	clock.jump.Store(int64(duration / 2))
	<-table.blocked
	_, may := keeper.TryAct()
	close(table.unblock)
	assert.Assert(t, !may)
}
