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
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/member"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
)

// memoryTable is an in-memory table whose first calls fail, as many as failures says.
type memoryTable struct {
	port.TableService
	mutex    sync.Mutex
	rows     map[string]port.Row
	failures int
	writes   int
	era      uint64
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

// describe returns a descriptor that holds only an address.
func describe(address string) member.Descriptor {
	return member.Descriptor{Address: address, Capacity: member.UnknownCapacity}
}

func newList(table *memoryTable, self, address string, changed func(int)) *List {
	return New(Options{Self: identity.DaemonID(self), Own: describe(address), Table: table, Log: logging.Discard(), Changed: changed, Era: func() uint64 { return table.era }})
}

// TestDaemonsFindEachOther checks that a failed store call is reported, and that each daemon finds others
// wherever its key lies, estimates their number, and does not write an existing row again.
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
		contacts, estimate, err := list.Find(context.Background())
		assert.NilError(t, err)
		assert.Assert(t, len(contacts) > 0 && len(contacts) <= scanLimit, "%d contacts", len(contacts))
		assert.Assert(t, !slices.Contains(contacts, list.options.Own.Address))
		assert.Assert(t, estimate >= 1 && estimate < 20*daemons, "estimate %d", estimate)
	}
	assert.Equal(t, table.writes, 0, "rows that were there were written again")
}

// TestChangedAddressRewritesRow checks that a daemon whose address has changed replaces its row.
func TestChangedAddressRewritesRow(t *testing.T) {
	table := &memoryTable{rows: map[string]port.Row{}}
	for _, address := range []string{"10.0.0.1:7340", "10.0.0.2:7340"} {
		_, _, err := newList(table, "a", address, func(int) {}).Find(context.Background())
		assert.NilError(t, err)
	}
	assert.Equal(t, string(table.rows[rowKey("a")].Value), "10.0.0.2:7340 - 1")
	assert.Equal(t, len(table.rows), 1)
}

// TestCountMatchesRows checks that assumedCount is reported until the daemons are known, and then their number.
func TestCountMatchesRows(t *testing.T) {
	var counts []int
	list := newList(&memoryTable{}, "self", "10.0.0.1:7340", func(count int) { counts = append(counts, count) })
	list.Heard("10.0.0.7:7340")
	assert.Equal(t, list.Count(), assumedCount)
	list.Set([]member.Descriptor{describe("10.0.0.1:7340"), describe("10.0.0.2:7340")})
	list.Set([]member.Descriptor{describe("10.0.0.1:7340"), describe("10.0.0.2:7340")})
	list.Heard("10.0.0.3:7340")
	assert.DeepEqual(t, counts, []int{assumedCount, 2})
	assert.DeepEqual(t, list.Others(), []string{"10.0.0.2:7340", "10.0.0.3:7340"})
	assert.Equal(t, list.Count(), 3)
}

// TestEstimateWithMalformedKey checks that the rows are counted if one of their keys is malformed.
func TestEstimateWithMalformedKey(t *testing.T) {
	rows := []port.Row{{Key: KeyPrefix + "no hash"}, {Key: rowKey("a")}, {Key: rowKey("b")}}
	assert.Equal(t, estimateCount(rows), 3)
	assert.Equal(t, estimateCount([]port.Row{{Key: KeyPrefix + "0000000000000000"}, {Key: KeyPrefix + "1000000000000000"}}), 16)
}

// TestZoneAndCapacity checks the zone and capacity of daemons, including those that Find reads at the start, and
// that they are updated if a daemon restarts at the same address on another machine.
func TestZoneAndCapacity(t *testing.T) {
	table := &memoryTable{rows: map[string]port.Row{}}
	first := member.Descriptor{Address: "10.0.0.1:7340", Zone: "north-a", Capacity: 9}
	newDescribed(t, table, "a", first)
	list := newDescribed(t, table, "b", member.Descriptor{Address: "10.0.0.2:7340", Zone: "south-a", Capacity: 2})
	assert.Equal(t, list.Zone("10.0.0.1:7340"), identity.Zone("north-a"))
	assert.Equal(t, list.Capacity("10.0.0.1:7340"), 9.0)
	assert.Equal(t, list.Zone("10.0.0.2:7340"), identity.Zone("south-a"))
	assert.Equal(t, list.Capacity("10.0.0.2:7340"), 2.0)
	assert.Equal(t, list.Zone("10.0.0.3:7340"), identity.Zone(""))
	assert.Equal(t, list.Capacity("10.0.0.3:7340"), member.UnknownCapacity)
	second := member.Descriptor{Address: "10.0.0.1:7340", Zone: "north-b", Capacity: 1}
	newDescribed(t, table, "a", second)
	assert.Equal(t, string(table.rows[rowKey("a")].Value), second.String())
	list.Set([]member.Descriptor{second})
	assert.Equal(t, list.Zone("10.0.0.1:7340"), identity.Zone("north-b"))
	assert.Equal(t, list.Capacity("10.0.0.1:7340"), 1.0)
}

// newDescribed returns the list of a daemon with a full descriptor, after Find.
func newDescribed(t *testing.T, table *memoryTable, self string, own member.Descriptor) *List {
	t.Helper()
	list := New(Options{Self: identity.DaemonID(self), Own: own, Table: table, Log: logging.Discard(), Changed: func(int) {}, Era: func() uint64 { return 0 }})
	_, _, err := list.Find(context.Background())
	assert.NilError(t, err)
	return list
}

// TestRowWithAddressOnly checks that a row of an older build, which holds only an address, is accepted.
func TestRowWithAddressOnly(t *testing.T) {
	key := rowKey("old")
	table := &memoryTable{rows: map[string]port.Row{key: {Key: key, Value: []byte("10.0.0.1:7340")}}}
	list := newList(table, "self", "10.0.0.2:7340", func(int) {})
	contacts, _, err := list.Find(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, contacts, []string{"10.0.0.1:7340"})
}

// TestSetDropsFormerAddresses checks that descriptors do not accumulate when the list is replaced many times.
func TestSetDropsFormerAddresses(t *testing.T) {
	list := newList(&memoryTable{rows: map[string]port.Row{}}, "self", "10.0.0.9:7340", func(int) {})
	for number := range 20 {
		list.Set([]member.Descriptor{{Address: fmt.Sprintf("10.0.0.1:%d", number), Zone: "north-a", Capacity: 2}})
	}
	assert.Equal(t, len(*list.descriptors.Load()), 1)
	assert.Equal(t, list.Zone("10.0.0.1:19"), identity.Zone("north-a"))
	assert.Equal(t, list.Zone("10.0.0.1:18"), identity.Zone(""))
}

// TestDisplacedRowIsRewritten checks that a daemon rewrites its row if the store is restored from a copy that
// holds the row of the previous process, and only then.
func TestDisplacedRowIsRewritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &memoryTable{rows: map[string]port.Row{}}
		own, former, other := describe("10.0.0.2:1"), describe("10.0.0.1:1"), describe("10.0.0.3:1")
		own.Name, former.Name, other.Name = 7, 7, 8
		list := newList(table, "d", own.Address, func(int) {})
		list.options.Own = own
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = list.Run(ctx) }()
		list.Set([]member.Descriptor{own, other})
		list.Set([]member.Descriptor{former, other}) // the next process of the name
		time.Sleep(time.Minute)
		assert.Equal(t, table.writes, 0)
		table.era = 2
		table.failures = 2
		list.Set([]member.Descriptor{former, other})
		list.Set([]member.Descriptor{former, other})
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, string(table.rows[rowKey("d")].Value), own.String())
		assert.Assert(t, table.writes <= 2, "%d writes", table.writes)
		cancel()
		synctest.Wait()
	})
}
