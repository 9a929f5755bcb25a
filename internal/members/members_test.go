package members

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// memoryTable is a table that fails for the first calls.
type memoryTable struct {
	port.TableService
	mutex    sync.Mutex
	rows     map[string]platformwire.Row
	failures int
}

func (m *memoryTable) Commit(_ context.Context, change platformwire.Transaction) ([]platformwire.Row, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.failures > 0 {
		m.failures--
		return nil, errors.New("down")
	}
	for _, write := range change.Writes {
		m.rows[write.Key] = platformwire.Row{Key: write.Key, Value: write.Value, Version: 1}
	}
	return nil, nil
}

func (m *memoryTable) Scan(context.Context, string, string, int) ([]platformwire.Row, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var rows []platformwire.Row
	for _, row := range m.rows {
		rows = append(rows, row)
	}
	return rows, nil
}

// TestDaemonsFindEachOther announces a daemon although the table fails at first,
// and assumes many daemons until the rows were read.
func TestDaemonsFindEachOther(t *testing.T) {
	table := &memoryTable{failures: 1, rows: map[string]platformwire.Row{
		"member/other": {Key: "member/other", Value: []byte("10.0.0.2:7340"), Version: 1},
	}}
	var mutex sync.Mutex
	var counts []int
	list := New(Options{
		Self: identity.DaemonID("self"), Address: "10.0.0.1:7340", Table: table, Log: logging.Discard(),
		Changed: func(count int) {
			mutex.Lock()
			defer mutex.Unlock()
			counts = append(counts, count)
		},
	})
	assert.DeepEqual(t, counts, []int{assumedCount})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = list.Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		mutex.Lock()
		defer mutex.Unlock()
		if len(counts) == 2 {
			return poll.Success()
		}
		return poll.Continue("the rows were not read")
	}, poll.WithDelay(20*time.Millisecond))
	assert.DeepEqual(t, counts, []int{assumedCount, 2})
	assert.DeepEqual(t, list.Others(), []string{"10.0.0.2:7340"})
	assert.Equal(t, list.Count(), 2)
}
