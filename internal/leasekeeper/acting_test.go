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

// heldUpTable is a table of one row. It holds a commit up that says that nobody acts,
// once one before it said that the holder does.
type heldUpTable struct {
	port.TableService
	mutex   sync.Mutex
	version uint64
	acted   bool
	// heldUp is closed while such a commit is under way, and let lets it go on.
	heldUp, let chan struct{}
}

func (t *heldUpTable) Read(context.Context, ...string) ([]port.Row, error) { return nil, nil }

func (t *heldUpTable) Commit(_ context.Context, change port.Transaction) ([]port.Row, error) {
	var record lease.Record
	if err := json.Unmarshal(change.Writes[0].Value, &record); err != nil {
		return nil, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.acted && !record.Acting {
		t.acted = false
		close(t.heldUp)
		<-t.let
	}
	t.acted = t.acted || record.Acting
	t.version++
	return []port.Row{{Key: change.Writes[0].Key, Version: t.version}}, nil
}

// TestNobodyActsOnceTheRowMaySaySo lets the row say that the holder doesn't act while the
// commit takes long: the holder must not act from its begin on, since the next holder
// need not wait once it has taken effect.
func TestNobodyActsOnceTheRowMaySaySo(t *testing.T) {
	var clock clock
	table := &heldUpTable{heldUp: make(chan struct{}), let: make(chan struct{})}
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
	// The renewal falls due in the moment in which nobody wants to act any more.
	keeper.SetActing(false)
	clock.jump.Store(int64(duration / 2))
	<-table.heldUp
	_, may := keeper.TryAct()
	close(table.let)
	assert.Assert(t, !may)
}
