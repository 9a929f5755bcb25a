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
	// maximumHolders bounds the back ends remembered for a part. Parts that begin many
	// prompts are held by most of them.
	maximumHolders = 96
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
	// LargeTokens is from how many tokens on other daemons are told of a part, and asked for it.
	LargeTokens = 512
	// retellAfter is after how long it is told again that a back end holds a part.
	retellAfter = 8 * time.Second
	// eventTime is how late it is told that a back end has dropped a part.
	eventTime = 300 * time.Millisecond
	// readingTime is how long a back end is believed to be about to read a part.
	readingTime = 3 * time.Second
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
	// Read is set once the back end has read the part.
	Read bool
	// Dropped is set when the back end holds the part no longer.
	Dropped bool
	// Tokens is how large the part is with all before it. It is not told to others.
	Tokens int
}

// IsBroadcast tells whether the fact is worth telling all daemons.
func (f Fact) IsBroadcast() bool { return f.Tokens >= LargeTokens }

type holder struct {
	backend uint64
	at      time.Time
	read    bool
	// toldAt is when all daemons were last told that it was read.
	toldAt time.Time
}

type record struct {
	key Key
	// holders are the back ends of the last requests, newest first.
	holders []holder
	savedAt time.Time
	// tokens is how large the part is known to be.
	tokens int
}

// Index is safe for use by several goroutines.
type Index struct {
	mutex    sync.Mutex
	capacity int
	records  map[Key]*list.Element
	order    *list.List // most recently used first
	untold   []Fact
}

// New makes an empty memory.
func New() *Index {
	return &Index{capacity: defaultCapacity, records: map[Key]*list.Element{}, order: list.New()}
}

// Holders are the back ends that most likely hold a part, the likeliest first.
type Holders struct {
	// Read have read it; Reading are about to.
	Read, Reading []uint64
}

// Holders returns what is believed of a part.
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
		case known.read && age <= holderTime:
			holders.Read = append(holders.Read, known.backend)
		case !known.read && age <= readingTime:
			holders.Reading = append(holders.Reading, known.backend)
		}
	}
	return holders
}

// RecordDispatch notes that this daemon sends a request with the part to a back end. It
// returns true when the part should be saved if the store lacks it: its tokens are
// most of the prompt's, and it was not saved lately.
func (m *Index) RecordDispatch(now time.Time, fact Fact, sharedTokens, promptTokens int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := m.note(now, fact)
	m.tell(now, found, fact)
	if float64(sharedTokens) < leastSharedShare*float64(promptTokens) {
		return false
	}
	if !found.savedAt.IsZero() && now.Sub(found.savedAt) < saveAgainAfter {
		return false
	}
	found.savedAt = now
	return true
}

// RecordRead notes that a back end has read a part that this daemon sent there.
func (m *Index) RecordRead(now time.Time, fact Fact) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	fact.Read = true
	m.tell(now, m.note(now, fact), fact)
}

// tell leaves a fact to be told, unless the others know of the holder already.
func (m *Index) tell(now time.Time, found *record, fact Fact) {
	told := &found.holders[0]
	if told.read && !told.toldAt.IsZero() && now.Sub(told.toldAt) < retellAfter {
		return
	}
	if fact.Read {
		told.toldAt = now
	}
	if len(m.untold) < maximumUntold {
		m.untold = append(m.untold, fact)
	}
}

// Merge notes what another daemon has sent.
func (m *Index) Merge(now time.Time, facts []Fact) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, fact := range facts {
		if fact.Dropped {
			m.drop(now, fact)
			continue
		}
		found := m.note(now, fact)
		if fact.Read {
			found.holders[0].toldAt = now
		}
	}
}

// DrainPending returns the facts that other daemons were not told of yet, and counts
// them as told.
func (m *Index) DrainPending() []Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	facts := m.untold
	m.untold = nil
	return facts
}

// RecordDrop notes that a back end holds a part no longer, and leaves it to be told if
// the part is known here, since others know it then too.
func (m *Index) RecordDrop(now time.Time, fact Fact) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	fact.Dropped = true
	if element := m.records[fact.Part]; element != nil {
		fact.Tokens = element.Value.(*record).tokens
	}
	if m.drop(now, fact) && len(m.untold) < maximumUntold {
		m.untold = append(m.untold, fact)
	}
}

// RecordHeld notes that a back end holds a part, which need not be told.
func (m *Index) RecordHeld(now time.Time, fact Fact) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	fact.Read = true
	m.note(now, fact)
}

// drop forgets that a back end holds a part, unless a request has just brought it
// there again. It returns true when the back end was known to hold it.
func (m *Index) drop(now time.Time, fact Fact) bool {
	element := m.records[fact.Part]
	if element == nil {
		return false
	}
	found := element.Value.(*record)
	before := len(found.holders)
	found.holders = slices.DeleteFunc(found.holders, func(known holder) bool {
		return known.backend == fact.Backend && now.Sub(known.at) > eventTime
	})
	return len(found.holders) < before
}

// note makes a back end the newest holder of a part. What it has read once it is
// believed to hold.
func (m *Index) note(now time.Time, fact Fact) *record {
	found := m.touch(fact.Part)
	found.tokens = max(found.tokens, fact.Tokens)
	newest := holder{backend: fact.Backend, at: now, read: fact.Read}
	found.holders = slices.DeleteFunc(found.holders, func(known holder) bool {
		if known.backend != fact.Backend {
			return false
		}
		newest.read = newest.read || (known.read && now.Sub(known.at) <= holderTime)
		newest.toldAt = known.toldAt
		return true
	})
	found.holders = slices.Insert(found.holders, 0, newest)
	found.holders = found.holders[:min(len(found.holders), maximumHolders)]
	return found
}

// touch returns the key's record, made if there is none, as the newest.
func (m *Index) touch(key Key) *record {
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
