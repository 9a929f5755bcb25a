// Package porttest holds a table in memory for tests of what keeps rows in the platform's
// store.
package porttest

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/lotusward/lotusward/internal/port"
)

// Table is a transactional table in memory. Each call runs alone, so that all
// transactions are serializable.
type Table struct {
	mutex sync.Mutex
	rows  map[string]port.Row
}

// NewTable makes an empty table.
func NewTable() *Table { return &Table{rows: map[string]port.Row{}} }

// Copy returns all rows.
func (t *Table) Copy() map[string]port.Row {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.rows)
}

// Restore replaces all rows by those of a copy.
func (t *Table) Restore(copied map[string]port.Row) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.rows = maps.Clone(copied)
}

// Read returns the existing rows of keys at one moment.
func (t *Table) Read(keys []string) []port.Row {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.get(keys)
}

// get returns the existing rows of keys. The caller holds the mutex.
func (t *Table) get(keys []string) []port.Row {
	found := make([]port.Row, 0, len(keys))
	for _, key := range keys {
		if row, exists := t.rows[key]; exists {
			found = append(found, row)
		}
	}
	return found
}

// Scan returns up to limit rows whose keys start with prefix and follow after.
func (t *Table) Scan(prefix, after string, limit int) []port.Row {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var found []port.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(found) < limit {
			found = append(found, t.rows[key])
		}
	}
	return found
}

// Commit applies a transaction. When a condition fails, it writes nothing and
// returns the rows of the failed conditions as they are, and false.
func (t *Table) Commit(transaction port.Transaction) ([]port.Row, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var failed []string
	for _, condition := range transaction.Conditions {
		if t.rows[condition.Key].Version != condition.Version { // a missing row has version 0
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return t.get(failed), false
	}
	written := make([]port.Row, 0, len(transaction.Writes))
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(t.rows, write.Key)
			continue
		}
		row := port.Row{Key: write.Key, Value: slices.Clone(write.Value), Version: t.rows[write.Key].Version + 1}
		t.rows[write.Key] = row
		written = append(written, row)
	}
	return written, true
}

// Service is a table with faults. It implements port.TableService.
type Service struct {
	Table *Table

	mutex     sync.Mutex
	refusing  bool
	loseEvery int
	calls     int
}

var _ port.TableService = (*Service)(nil)

// NewService makes a service before an empty table.
func NewService() *Service { return &Service{Table: NewTable()} }

// Refuse makes all calls fail without effect, or no longer.
func (s *Service) Refuse(refusing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refusing = refusing
}

// LoseEvery loses the answer of every so-manieth call; zero loses none.
func (s *Service) LoseEvery(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loseEvery = count
}

var errLost = errors.New("the answer is lost")

// fault returns the error that a call ends with before, or after, it took effect.
func (s *Service) fault() (before, after error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.refusing {
		return &port.UnavailableError{Service: "table", Cause: errors.New("refused")}, nil
	}
	if s.loseEvery > 0 && s.calls%s.loseEvery == 0 {
		return nil, &port.OutcomeUnknownError{Service: "table", Cause: errLost}
	}
	return nil, nil
}

// Read implements port.TableService.
func (s *Service) Read(_ context.Context, keys ...string) ([]port.Row, error) {
	before, after := s.fault()
	if before != nil {
		return nil, before
	}
	return s.Table.Read(keys), after
}

// Scan implements port.TableService.
func (s *Service) Scan(_ context.Context, prefix, after string, limit int) ([]port.Row, error) {
	before, lost := s.fault()
	if before != nil {
		return nil, before
	}
	return s.Table.Scan(prefix, after, limit), lost
}

// Commit implements port.TableService.
func (s *Service) Commit(_ context.Context, transaction port.Transaction) ([]port.Row, error) {
	before, lost := s.fault()
	if before != nil {
		return nil, before
	}
	rows, committed := s.Table.Commit(transaction)
	switch {
	case lost != nil:
		return nil, lost
	case !committed:
		return nil, &port.ConflictError{Current: rows}
	default:
		return rows, nil
	}
}
