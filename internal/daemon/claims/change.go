package claims

import (
	"slices"
	"sync"
	"sync/atomic"
)

// The states of a change.
const (
	changePending int32 = iota
	changeFinished
	changeAbandoned
)

// change is one row to write. A conditional change is written only when the row
// has the expected version; zero means that there is no row.
type change struct {
	key         string
	value       []byte
	conditional bool
	expected    uint64
	// results takes the end of a conditional change.
	results chan changeResult
	// submitted is set once the change may have reached the table.
	submitted atomic.Bool
	// state decides between the end and the giving up of who waits for it.
	state atomic.Int32
}

// changeResult is the end of a conditional change.
type changeResult struct {
	written bool
	// version is that of the row as written, or as it is.
	version uint64
	// present is the row that stood against the change.
	present row
}

func (c *change) finish(result changeResult) {
	if c.conditional && c.state.CompareAndSwap(changePending, changeFinished) {
		c.results <- result
	}
}

// noLimit is for queues that are bounded by who waits for the changes.
const noLimit = int(^uint(0) >> 1)

// changeQueue is a queue of changes that is safe for concurrent use.
type changeQueue struct {
	mutex   sync.Mutex
	waiting []*change
	// taken is how many changes are being tried, from take until putBack.
	taken int
}

// add returns false when the queue already holds limit changes.
func (q *changeQueue) add(changed *change, limit int) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.waiting) >= limit {
		return false
	}
	q.waiting = append(q.waiting, changed)
	return true
}

// putBack ends the try that take began. The changes are those to be tried again.
func (q *changeQueue) putBack(changes []*change) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.waiting = append(changes, q.waiting...)
	q.taken = 0
}

// idle tells whether no change waits or is being tried.
func (q *changeQueue) idle() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.waiting) == 0 && q.taken == 0
}

func (q *changeQueue) empty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.waiting) == 0
}

// take removes up to limit changes of different keys, oldest first. Abandoned
// ones are dropped.
func (q *changeQueue) take(limit int) []*change {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := make([]*change, 0, min(limit, len(q.waiting)))
	keys := make(map[string]bool, min(limit, len(q.waiting)))
	q.waiting = slices.DeleteFunc(q.waiting, func(changed *change) bool {
		if changed.state.Load() == changeAbandoned {
			return true
		}
		if len(taken) == limit || keys[changed.key] {
			return false
		}
		keys[changed.key] = true
		changed.submitted.Store(true)
		taken = append(taken, changed)
		return true
	})
	q.taken = len(taken)
	return taken
}
