// Package promptcache remembers which back ends the shared parts of prompts went
// to, from this daemon and from others, and which parts this daemon asked to be
// saved, so that a part is moved rather than read again, and not moved needlessly.
// It is bounded, does no I/O and reads no clock.
package promptcache

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Bounds of what is remembered and saved.
const (
	defaultCapacity = 8192
	maximumHolders  = 3
	// maximumUntold bounds the facts that wait to be told to other daemons.
	maximumUntold = 128
	// leastSharedShare of a prompt must be shared for it to be saved: a save moves
	// the prompt's own part as well.
	leastSharedShare = 0.5
	// saveAgainAfter is after how long a part is saved anew if the store doesn't have
	// it: the save may not have been begun, or the part was dropped since.
	saveAgainAfter = 3 * time.Second
	// holderTime is how long a back end is believed to hold a part that nobody asks for.
	holderTime = 25 * time.Second
)

// Key is the hash of a shared part and its salt.
type Key uint64

// KeyOf hashes a part's ID and its salt.
func KeyOf(salt, part string) Key { return Key(rendezvous.Key(salt + "\x00" + part)) }

// Fact says that a request with a part went to a back end.
type Fact struct {
	Part Key
	// Backend is the hash of the back end's ID.
	Backend uint64
}

type holder struct {
	backend uint64
	at      time.Time
}

type record struct {
	key Key
	// holders are the back ends of the last requests, newest first.
	holders []holder
	savedAt time.Time
}

// Memory is safe for use by several goroutines.
type Memory struct {
	mutex    sync.Mutex
	capacity int
	records  map[Key]*list.Element
	order    *list.List // most recently used first
	untold   []Fact
}

// New makes an empty memory.
func New() *Memory {
	return &Memory{capacity: defaultCapacity, records: map[Key]*list.Element{}, order: list.New()}
}

// Holders returns the hashes of the back ends that most likely hold a part, the
// likeliest first.
func (m *Memory) Holders(now time.Time, key Key) []uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	element := m.records[key]
	if element == nil {
		return nil
	}
	var backends []uint64
	for _, known := range element.Value.(*record).holders {
		if now.Sub(known.at) <= holderTime {
			backends = append(backends, known.backend)
		}
	}
	return backends
}

// Sent notes that this daemon sends a request with the part to a back end. It
// returns true when the part should be saved if the store lacks it: its tokens are
// most of the prompt's, and it was not saved lately.
func (m *Memory) Sent(now time.Time, fact Fact, sharedTokens, promptTokens int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := m.note(now, fact)
	if len(m.untold) < maximumUntold {
		m.untold = append(m.untold, fact)
	}
	if float64(sharedTokens) < leastSharedShare*float64(promptTokens) {
		return false
	}
	if !found.savedAt.IsZero() && now.Sub(found.savedAt) < saveAgainAfter {
		return false
	}
	found.savedAt = now
	return true
}

// Heard notes what another daemon has sent.
func (m *Memory) Heard(now time.Time, facts []Fact) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, fact := range facts {
		m.note(now, fact)
	}
}

// Untold returns the facts that other daemons were not told of yet, and counts
// them as told.
func (m *Memory) Untold() []Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	facts := m.untold
	m.untold = nil
	return facts
}

// note makes a back end the newest holder of a part.
func (m *Memory) note(now time.Time, fact Fact) *record {
	found := m.touch(fact.Part)
	found.holders = slices.DeleteFunc(found.holders, func(known holder) bool { return known.backend == fact.Backend })
	found.holders = slices.Insert(found.holders, 0, holder{backend: fact.Backend, at: now})
	found.holders = found.holders[:min(len(found.holders), maximumHolders)]
	return found
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
