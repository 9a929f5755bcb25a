// Package promptcache remembers where this daemon last sent each shared part of
// prompts and which of them it asked to be saved, so that a part is moved rather
// than read again, and not moved needlessly. It is bounded, does no I/O and reads
// no clock.
package promptcache

import (
	"container/list"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Bounds of what is remembered and saved.
const (
	defaultCapacity = 4096
	// leastSharedShare of a prompt must be shared for it to be saved: a save moves
	// the prompt's own part as well.
	leastSharedShare = 0.5
	// saveAgainAfter is after how long a part is saved anew if the store doesn't have
	// it: the save may not have been begun, or the part was dropped since.
	saveAgainAfter = 3 * time.Second
)

// Key names a shared part under its salt.
type Key struct {
	Salt string
	Part string
}

type record struct {
	key     Key
	holder  identity.BackendID
	savedAt time.Time
}

// Memory is safe for use by several goroutines.
type Memory struct {
	mutex    sync.Mutex
	capacity int
	records  map[Key]*list.Element
	order    *list.List // most recently used first
}

// New makes an empty memory.
func New() *Memory {
	return &Memory{capacity: defaultCapacity, records: map[Key]*list.Element{}, order: list.New()}
}

// Holder returns the back end that a request with the part last went to, or an
// empty ID.
func (m *Memory) Holder(key Key) identity.BackendID {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if found := m.records[key]; found != nil {
		return found.Value.(*record).holder
	}
	return ""
}

// Sent notes that a request with the part goes to a back end. It returns true
// when the part should be saved: its tokens are most of the prompt's, and it was
// not saved lately.
func (m *Memory) Sent(now time.Time, key Key, holder identity.BackendID, sharedTokens, promptTokens int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := m.touch(key)
	found.holder = holder
	if float64(sharedTokens) < leastSharedShare*float64(promptTokens) {
		return false
	}
	if !found.savedAt.IsZero() && now.Sub(found.savedAt) < saveAgainAfter {
		return false
	}
	found.savedAt = now
	return true
}

// touch returns the key's record, made if there is none, as the newest.
func (m *Memory) touch(key Key) *record {
	if element := m.records[key]; element != nil {
		m.order.MoveToFront(element)
		return element.Value.(*record)
	}
	if m.order.Len() >= m.capacity {
		oldest := m.order.Back()
		m.order.Remove(oldest)
		delete(m.records, oldest.Value.(*record).key)
	}
	made := &record{key: key}
	m.records[key] = m.order.PushFront(made)
	return made
}
