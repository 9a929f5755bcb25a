package members

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
)

// memoryTable is a table that fails for the first calls.
type memoryTable struct {
	port.TableService
	mutex    sync.Mutex
	rows     map[string]port.Row
	failures int
	writes   int
}

func (m *memoryTable) Commit(_ context.Context, change port.Transaction) ([]port.Row, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.failures > 0 {
		m.failures--
		return nil, errors.New("down")
	}
	m.writes++
	for _, write := range change.Writes {
		m.rows[write.Key] = port.Row{Key: write.Key, Value: write.Value, Version: 1}
	}
	return nil, nil
}

func (m *memoryTable) Scan(_ context.Context, prefix, after string, limit int) ([]port.Row, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.failures > 0 {
		m.failures--
		return nil, errors.New("down")
	}
	var rows []port.Row
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, m.rows[key])
		}
	}
	return rows, nil
}

func newList(table *memoryTable, self, address string, changed func(int)) *List {
	return New(Options{Self: identity.DaemonID(self), Address: address, Table: table, Log: logging.Discard(), Changed: changed})
}

// TestDaemonsFindEachOther announces a daemon once, although the table fails at first, and
// finds others around it, wherever its row lies; it tells about how many there are.
func TestDaemonsFindEachOther(t *testing.T) {
	const daemons = 200
	table := &memoryTable{failures: 1, rows: map[string]port.Row{}}
	var lists []*List
	for number := range daemons {
		lists = append(lists, newList(table, fmt.Sprint("daemon-", number), fmt.Sprintf("10.0.0.%d:7340", number), func(int) {}))
	}
	_, _, err := lists[0].Find(context.Background())
	assert.ErrorContains(t, err, "down")
	for _, list := range lists {
		assert.NilError(t, list.announce(context.Background()))
	}
	table.writes = 0
	for _, list := range lists {
		contacts, about, err := list.Find(context.Background())
		assert.NilError(t, err)
		assert.Assert(t, len(contacts) > 0 && len(contacts) <= contactRows, "%d contacts", len(contacts))
		assert.Assert(t, !slices.Contains(contacts, list.options.Address))
		assert.Assert(t, about >= 1 && about < 20*daemons, "about %d", about)
	}
	assert.Equal(t, table.writes, 0, "rows that were there were written again")
}

// TestMovedDaemonIsAnnouncedAgain writes the row anew when the address is another one.
func TestMovedDaemonIsAnnouncedAgain(t *testing.T) {
	table := &memoryTable{rows: map[string]port.Row{}}
	for _, address := range []string{"10.0.0.1:7340", "10.0.0.2:7340"} {
		_, _, err := newList(table, "a", address, func(int) {}).Find(context.Background())
		assert.NilError(t, err)
	}
	assert.Equal(t, string(table.rows[rowKey("a")].Value), "10.0.0.2:7340")
	assert.Equal(t, len(table.rows), 1)
}

// TestCountFollowsTheRows assumes many daemons until they are known.
func TestCountFollowsTheRows(t *testing.T) {
	var counts []int
	list := newList(&memoryTable{}, "self", "10.0.0.1:7340", func(count int) { counts = append(counts, count) })
	list.Heard("10.0.0.7:7340")
	assert.Equal(t, list.Count(), assumedCount)
	list.Set([]string{"10.0.0.1:7340", "10.0.0.2:7340"})
	list.Set([]string{"10.0.0.1:7340", "10.0.0.2:7340"})
	list.Heard("10.0.0.3:7340")
	assert.DeepEqual(t, counts, []int{assumedCount, 2})
	assert.DeepEqual(t, list.Others(), []string{"10.0.0.2:7340", "10.0.0.3:7340"})
	assert.Equal(t, list.Count(), 3)
}

// TestMalformedKeyTellsNoDistance counts the rows themselves where one of their keys can't be read.
func TestMalformedKeyTellsNoDistance(t *testing.T) {
	rows := []port.Row{{Key: KeyPrefix + "no hash"}, {Key: rowKey("a")}, {Key: rowKey("b")}}
	assert.Equal(t, about(rows), 3)
	assert.Equal(t, about([]port.Row{{Key: KeyPrefix + "0000000000000000"}, {Key: KeyPrefix + "1000000000000000"}}), 16)
}
