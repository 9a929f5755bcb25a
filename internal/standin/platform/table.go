package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/google/btree"

	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

const (
	// treeDegree is the fan-out of the tree that keeps rows in key order.
	treeDegree = 32
	// maximumScan is the most rows that one scan answers with.
	maximumScan = 10_000
)

// Table is a transactional table in memory. Each call runs alone, so that all
// transactions are serializable. A row that was deleted and put again counts its
// versions from 1 again.
type Table struct {
	mutex sync.Mutex
	rows  *btree.BTreeG[platformwire.Row]
}

// NewTable makes an empty table.
func NewTable() *Table {
	less := func(a, b platformwire.Row) bool { return a.Key < b.Key }
	return &Table{rows: btree.NewG(treeDegree, less)}
}

// Read returns the existing rows of keys at one moment.
func (t *Table) Read(keys []string) []platformwire.Row {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.get(keys)
}

// get returns the existing rows of keys. The caller holds the mutex.
func (t *Table) get(keys []string) []platformwire.Row {
	found := make([]platformwire.Row, 0, len(keys))
	for _, key := range keys {
		if row, exists := t.rows.Get(platformwire.Row{Key: key}); exists {
			found = append(found, row)
		}
	}
	return found
}

// Scan returns up to limit rows whose keys start with prefix and follow after.
func (t *Table) Scan(prefix, after string, limit int) []platformwire.Row {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	limit = min(limit, maximumScan)
	found := []platformwire.Row{}
	from := platformwire.Row{Key: max(prefix, after)}
	t.rows.AscendGreaterOrEqual(from, func(row platformwire.Row) bool {
		if len(found) >= limit || !strings.HasPrefix(row.Key, prefix) {
			return false
		}
		if after == "" || row.Key > after {
			found = append(found, row)
		}
		return true
	})
	return found
}

// Commit applies a transaction. When a condition fails, it writes nothing and
// returns the rows of the failed conditions as they are, and false.
func (t *Table) Commit(transaction platformwire.Transaction) ([]platformwire.Row, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if failed := t.failedConditions(transaction.Conditions); len(failed) > 0 {
		return t.get(failed), false
	}
	written := make([]platformwire.Row, 0, len(transaction.Writes))
	for _, write := range transaction.Writes {
		if write.Delete {
			t.rows.Delete(platformwire.Row{Key: write.Key})
			continue
		}
		row := t.next(write)
		t.rows.ReplaceOrInsert(row)
		written = append(written, row)
	}
	return written, true
}

// failedConditions returns the keys whose condition does not hold.
func (t *Table) failedConditions(conditions []platformwire.Condition) []string {
	var failed []string
	for _, condition := range conditions {
		row, _ := t.rows.Get(platformwire.Row{Key: condition.Key}) // a missing row has version 0
		if row.Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// next returns the row that a write makes.
func (t *Table) next(write platformwire.Write) platformwire.Row {
	previous, _ := t.rows.Get(platformwire.Row{Key: write.Key}) // a missing row has version 0
	return platformwire.Row{
		Key:     write.Key,
		Value:   slices.Clone(write.Value),
		Version: previous.Version + 1,
	}
}

// serveRead answers PathTableRead.
func (t *Table) serveRead(_ *http.Request, body []byte) answer {
	var asked platformwire.ReadRequest
	if err := json.Unmarshal(body, &asked); err != nil {
		return badRequest(err)
	}
	return answer{status: http.StatusOK, body: platformwire.ReadResponse{Rows: t.Read(asked.Keys)}}
}

// serveScan answers PathTableScan.
func (t *Table) serveScan(_ *http.Request, body []byte) answer {
	var asked platformwire.ScanRequest
	if err := json.Unmarshal(body, &asked); err != nil {
		return badRequest(err)
	}
	rows := t.Scan(asked.Prefix, asked.After, asked.Limit)
	return answer{status: http.StatusOK, body: platformwire.ReadResponse{Rows: rows}}
}

// serveCommit answers PathTableCommit.
func (t *Table) serveCommit(_ *http.Request, body []byte) answer {
	var asked platformwire.Transaction
	if err := json.Unmarshal(body, &asked); err != nil {
		return badRequest(err)
	}
	rows, committed := t.Commit(asked)
	if !committed {
		conflict := platformwire.ConflictResponse{Rows: rows}
		return answer{status: http.StatusConflict, body: conflict, wrote: true}
	}
	return answer{status: http.StatusOK, body: platformwire.CommitResponse{Rows: rows}, wrote: true}
}

// badRequest answers a body that could not be read.
func badRequest(err error) answer {
	return answer{status: http.StatusBadRequest, body: []byte(err.Error())}
}
