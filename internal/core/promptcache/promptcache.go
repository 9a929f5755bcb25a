// Package promptcache tracks which backends hold the shared parts of prompts in their caches, from
// this daemon's requests and from those of others, and which parts this daemon asked to be saved.
// A cached part is then transferred instead of computed again, and not transferred needlessly. The
// index is bounded, performs no I/O and reads no clock.
package promptcache

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Bounds of what is tracked and saved.
const (
	defaultCapacity = 8192
	// maxHolders bounds the backends tracked for a part. Parts that begin many prompts are held by
	// most backends.
	maxHolders = 96
	// maxPending bounds the facts waiting to be sent to other daemons.
	maxPending = 128
	// minSharedFraction is the fraction of a prompt that must be shared for it to be saved, because a
	// save transfers the prompt's private part as well.
	minSharedFraction = 0.5
	// resaveInterval is the time after which a part is saved again if the store doesn't have it: the
	// save may not have started, or the part was evicted since.
	resaveInterval = 3 * time.Second
	// holderTTL is how long a backend is assumed to hold a part that nobody requests.
	holderTTL = 25 * time.Second
	// LargeTokens is the size in tokens from which all daemons are notified of a part, and queried for
	// it.
	LargeTokens = 512
	// reannounceInterval is the time after which it is announced again that a backend holds a part.
	reannounceInterval = 8 * time.Second
	// maxDropDelay is the maximum delay of the notification that a backend has dropped a part.
	maxDropDelay = 300 * time.Millisecond
	// readingTTL is how long a backend is assumed to be about to read a part.
	readingTTL = 3 * time.Second
)

// Key is the hash of a shared part and its salt.
type Key uint64

// KeyOf hashes a part's ID and its salt.
func KeyOf(salt, part string) Key { return Key(rendezvous.Key(salt + "\x00" + part)) }

// Fact reports that a request with a part was sent to a backend, or that the backend has read or
// dropped the part.
type Fact struct {
	Part Key
	// Backend is the hash of the backend's ID.
	Backend uint64
	// Read is set once the backend has read the part.
	Read bool
	// Dropped is set if the backend no longer holds the part.
	Dropped bool
	// Tokens is the size of the part including everything before it. It is not sent to other daemons.
	Tokens int
}

// IsBroadcast reports whether the fact is sent to all daemons.
func (f Fact) IsBroadcast() bool { return f.Tokens >= LargeTokens }

type holder struct {
	backend uint64
	at      time.Time
	read    bool
	// announcedAt is when all daemons were last notified that the backend has read the part.
	announcedAt time.Time
}

type record struct {
	key Key
	// holders are the backends of the latest requests, newest first.
	holders []holder
	savedAt time.Time
	// tokens is the known size of the part.
	tokens int
}

// Index records which backends hold which parts. It is safe for concurrent use.
type Index struct {
	mutex    sync.Mutex
	capacity int
	records  map[Key]*list.Element
	order    *list.List // most recently used first
	pending  []Fact
}

// New returns an empty index.
func New() *Index {
	return &Index{capacity: defaultCapacity, records: map[Key]*list.Element{}, order: list.New()}
}

// Holders are the backends that most likely hold a part, the most recent first.
type Holders struct {
	// Read have read the part; Reading are about to.
	Read, Reading []uint64
}

// Holders returns the presumed holders of a part.
func (m *Index) Holders(now time.Time, key Key) Holders {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var holders Holders
	element := m.records[key]
	if element == nil {
		return holders
	}
	for _, known := range element.Value.(*record).holders {
		age := now.Sub(known.at)
		switch {
		case known.read && age <= holderTTL:
			holders.Read = append(holders.Read, known.backend)
		case !known.read && age <= readingTTL:
			holders.Reading = append(holders.Reading, known.backend)
		}
	}
	return holders
}

// RecordDispatch records that this daemon sends a request with the part to a backend. It returns
// true if the part should be saved unless the store has it: the shared tokens are most of the
// prompt, and it was not saved recently.
func (m *Index) RecordDispatch(now time.Time, fact Fact, sharedTokens, promptTokens int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := m.recordHolder(now, fact)
	m.enqueue(now, found, fact)
	if float64(sharedTokens) < minSharedFraction*float64(promptTokens) {
		return false
	}
	if !found.savedAt.IsZero() && now.Sub(found.savedAt) < resaveInterval {
		return false
	}
	found.savedAt = now
	return true
}

// RecordRead records that a backend has read a part that this daemon sent to it.
func (m *Index) RecordRead(now time.Time, fact Fact) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	fact.Read = true
	m.enqueue(now, m.recordHolder(now, fact), fact)
}

// enqueue queues a fact for other daemons, unless they were recently notified of the holder.
func (m *Index) enqueue(now time.Time, found *record, fact Fact) {
	newest := &found.holders[0]
	if newest.read && !newest.announcedAt.IsZero() && now.Sub(newest.announcedAt) < reannounceInterval {
		return
	}
	if fact.Read {
		newest.announcedAt = now
	}
	if len(m.pending) < maxPending {
		m.pending = append(m.pending, fact)
	}
}

// Merge records the facts received from another daemon.
func (m *Index) Merge(now time.Time, facts []Fact) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, fact := range facts {
		if fact.Dropped {
			m.drop(now, fact)
			continue
		}
		found := m.recordHolder(now, fact)
		if fact.Read {
			found.holders[0].announcedAt = now
		}
	}
}

// DrainPending returns the facts to send to other daemons, and clears the queue.
func (m *Index) DrainPending() []Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	facts := m.pending
	m.pending = nil
	return facts
}

// RecordDrop records that a backend no longer holds a part. It is sent to other daemons if the
// part is in this index, since they then have it too.
func (m *Index) RecordDrop(now time.Time, fact Fact) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	fact.Dropped = true
	if element := m.records[fact.Part]; element != nil {
		fact.Tokens = element.Value.(*record).tokens
	}
	if m.drop(now, fact) && len(m.pending) < maxPending {
		m.pending = append(m.pending, fact)
	}
}

// RecordHeld records that a backend holds a part, without notifying other daemons.
func (m *Index) RecordHeld(now time.Time, fact Fact) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	fact.Read = true
	m.recordHolder(now, fact)
}

// drop removes a holder of a part, unless a request has just brought the part there again. It
// returns true if the backend was a known holder.
func (m *Index) drop(now time.Time, fact Fact) bool {
	element := m.records[fact.Part]
	if element == nil {
		return false
	}
	found := element.Value.(*record)
	before := len(found.holders)
	found.holders = slices.DeleteFunc(found.holders, func(known holder) bool {
		return known.backend == fact.Backend && now.Sub(known.at) > maxDropDelay
	})
	return len(found.holders) < before
}

// recordHolder makes a backend the newest holder of a part. A part that it has read before stays
// marked as read.
func (m *Index) recordHolder(now time.Time, fact Fact) *record {
	found := m.getOrCreate(fact.Part)
	found.tokens = max(found.tokens, fact.Tokens)
	newest := holder{backend: fact.Backend, at: now, read: fact.Read}
	found.holders = slices.DeleteFunc(found.holders, func(known holder) bool {
		if known.backend != fact.Backend {
			return false
		}
		newest.read = newest.read || (known.read && now.Sub(known.at) <= holderTTL)
		newest.announcedAt = known.announcedAt
		return true
	})
	found.holders = slices.Insert(found.holders, 0, newest)
	found.holders = found.holders[:min(len(found.holders), maxHolders)]
	return found
}

// getOrCreate returns the record of a key, creating it if necessary, and marks it as most recently
// used.
func (m *Index) getOrCreate(key Key) *record {
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
