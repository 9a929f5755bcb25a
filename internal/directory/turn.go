package directory

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Times and numbers of turns.
const (
	// wantedReaders is how many daemons read a table at a time, for all others.
	wantedReaders = 2
	// tellerTime is how long a daemon that told something counts as a reader.
	tellerTime = 1100 * time.Millisecond
	// patience is how long a daemon goes without news before it reads itself. News,
	// the call and the spread together stay far below the shortest bound of the
	// platform in which a change must be heeded (two seconds).
	patience       = 700 * time.Millisecond
	patienceSpread = 250 * time.Millisecond
	// joinSpread is the time over which daemons join that find too few readers.
	joinSpread = 1500 * time.Millisecond
	// ownReadingInterval is how often a daemon reads though others tell it: what
	// was lost on the way is found, and its idea of the store's clock stays true.
	ownReadingInterval = 40 * time.Second
	// turnCheck is how often a daemon that isn't reading looks again.
	turnCheck = 100 * time.Millisecond
)

// task is what a daemon is to do about a table.
type task int

const (
	taskNone task = iota
	taskRead
	// taskReadWhole: what was told may have gaps that nobody noticed.
	taskReadWhole
)

// turn decides for one table whether this daemon reads the store, or leaves that
// to others who tell what they read. There is no election: a daemon without news
// reads and tells, and one that hears enough others stops. It is safe for use by
// several goroutines.
type turn struct {
	mutex sync.Mutex
	// self is this daemon's address; of too many readers those with the least
	// addresses stay.
	self string
	// alone is set when there is nobody to tell or to hear.
	alone bool
	// told holds when other daemons last told news, by address.
	told map[string]time.Time
	// newsAt is when news last came, read or told.
	newsAt   time.Time
	patience time.Duration
	// reads is set while this daemon reads for all.
	reads bool
	// joinAt is when this daemon joins the readers, if they are still too few then.
	joinAt time.Time
	// ownAt is when this daemon last read.
	ownAt time.Time
	// wanted is set when what others told cannot be taken in without reading.
	wanted bool
}

func newTurn(self string, alone bool) *turn {
	made := &turn{self: self, alone: alone, told: map[string]time.Time{}, reads: true}
	made.drawPatience()
	return made
}

// heard notes news from another daemon.
func (t *turn) heard(now time.Time, from string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.told[from] = now
	t.newsAt = now
}

// readItself notes news that this daemon read. It returns true when it reads for
// all, so that the others are to be told.
func (t *turn) readItself(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.newsAt = now
	t.ownAt = now
	t.wanted = false
	t.drawPatience()
	return t.reads && !t.alone
}

// want makes this daemon read now.
func (t *turn) want() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wanted = true
}

func (t *turn) drawPatience() { t.patience = patience + rand.N(patienceSpread) }

// due says whether this daemon is to read now, and how much.
func (t *turn) due(now time.Time) task {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	tellers, before := t.tellers(now)
	if t.reads && before >= wantedReaders {
		t.reads = false
	}
	switch {
	case t.alone, t.reads, t.wanted:
		return taskRead
	case now.Sub(t.newsAt) >= t.patience, t.joins(now, tellers):
		t.reads = true
		return taskRead
	case now.Sub(t.ownAt) >= ownReadingInterval:
		return taskReadWhole
	default:
		return taskNone
	}
}

// readsForAll tells whether this daemon reads for all.
func (t *turn) readsForAll() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reads || t.alone
}

// tellers counts the daemons that told news lately, and those of them whose
// address is before the own.
func (t *turn) tellers(now time.Time) (all, before int) {
	for from, at := range t.told {
		if now.Sub(at) > tellerTime {
			delete(t.told, from)
			continue
		}
		all++
		if from < t.self {
			before++
		}
	}
	return all, before
}

// joins tells whether this daemon becomes a reader since there are too few.
func (t *turn) joins(now time.Time, tellers int) bool {
	if tellers >= wantedReaders {
		t.joinAt = time.Time{}
		return false
	}
	if t.joinAt.IsZero() {
		t.joinAt = now.Add(rand.N(joinSpread))
	}
	return !now.Before(t.joinAt)
}
