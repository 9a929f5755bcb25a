package directory

import (
	"sync"
	"time"
)

// Times and numbers of turns.
const (
	// ownReadingInterval is how often a daemon reads though another one tells it, so
	// that its idea of the store's clock stays true: usual steady clocks differ by less than
	// 100 parts in a million, which is 60 ms in this time and within clockSlack.
	ownReadingInterval = 10 * time.Minute
	// maxRoleCheck bounds how long a daemon that isn't reading waits until it looks
	// again.
	maxRoleCheck = time.Second
	// capacityAdvantage is how many times the other's capacity a reader must have to stay whatever
	// their addresses are. Daemons that don't know another's capacity yet take it for a small
	// machine's.
	capacityAdvantage = 2
	// minRoleCheck bounds how often it looks.
	minRoleCheck = 10 * time.Millisecond
)

// task is what a daemon is to do about a table.
type task int

const (
	taskNone task = iota
	taskRead
	// taskReadWhole: what was told may have gaps that nobody noticed.
	taskReadWhole
)

// readerRoleOptions are what a turn works with.
type readerRoleOptions struct {
	// self is this daemon's address; of two readers the one with the lesser address
	// stays.
	self string
	// alone is set when there is nobody to tell or to hear.
	alone bool
	// interval is how often the reader tells news at least.
	interval time.Duration
	// newsBound is how old news may become at any daemon; zero is a default.
	newsBound time.Duration
	// others returns the addresses of the other daemons, and capacity the room of one's machine
	// relative to others'; nil takes all for equal.
	others   func() []string
	capacity func(address string) float64
	// storeTime returns how long this daemon's calls of the store take; nil is no time.
	storeTime func() time.Duration
}

// readerRole decides whether this daemon reads the store, or leaves that to another one that
// tells what it reads. There is no election: a daemon without news reads and tells. Of two that
// do, one stops: the one whose calls fail, or that with clearly less capacity, or else that with
// the greater address. It is safe for use by several goroutines.
type readerRole struct {
	options readerRoleOptions

	mutex sync.Mutex
	// opened is set once the daemon may read the store at all.
	opened bool
	// reads is set while this daemon reads for all, and epoch counts how often it began.
	reads bool
	epoch uint64
	// newsAt is when news last came, read or told, and newsFrom who told it.
	newsAt   time.Time
	newsFrom string
	// newsTimeout is how long this daemon waits after newsAt before it reads itself; it was
	// drawn for the news of patienceFor.
	newsTimeout    time.Duration
	newsTimeoutFor time.Time
	// triedAt is when another daemon last told that its call of the store failed, and
	// extended is set once this one has waited longer because of it.
	triedAt  time.Time
	extended bool
	// ownAt is when this daemon last read a table, and wanted is set where what others
	// told cannot be taken in without reading it.
	ownAt  map[table]time.Time
	wanted map[table]bool
	// changed is closed when a waiting goroutine has to look again.
	changed chan struct{}
}

func newReaderRole(options readerRoleOptions) *readerRole {
	if options.newsBound == 0 {
		options.newsBound = defaultNewsIntervals * options.interval
	}
	if options.others == nil {
		options.others = func() []string { return nil }
	}
	if options.capacity == nil {
		options.capacity = func(string) float64 { return 1 }
	}
	if options.storeTime == nil {
		options.storeTime = func() time.Duration { return 0 }
	}
	return &readerRole{
		options: options, opened: options.alone,
		ownAt: map[table]time.Time{}, wanted: map[table]bool{}, changed: make(chan struct{}),
	}
}

// open lets the daemon read the store.
func (t *readerRole) open() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.opened = true
	t.wake()
}

// wake makes waiting goroutines look again. The caller holds the mutex.
func (t *readerRole) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// noteNewsFrom notes news from another daemon, which is of a time. It returns true when this daemon
// stops reading for all because of it. What is no newer than the known news is none.
func (t *readerRole) noteNewsFrom(now, at time.Time, from string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.noteNews(at, from)
	lately := 2 * t.options.interval
	failing := now.Sub(t.ownAt[tableDeclared]) > lately
	stops := t.reads && now.Sub(at) <= lately && (failing || t.yieldsTo(from))
	if stops {
		t.reads = false
	}
	return stops
}

// yieldsTo tells whether of two readers another one stays: the one with clearly more room, else the
// one with the lesser address.
func (t *readerRole) yieldsTo(other string) bool {
	own, others := t.options.capacity(t.options.self), t.options.capacity(other)
	switch {
	case others >= capacityAdvantage*own:
		return true
	case own >= capacityAdvantage*others:
		return false
	default:
		return other < t.options.self
	}
}

// adopted notes that another daemon's belief was taken in, which was the newest at a time.
func (t *readerRole) adopted(confirmed time.Time, from string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.noteNews(confirmed, from)
}

// noteNews keeps the newest news. The caller holds the mutex.
func (t *readerRole) noteNews(at time.Time, from string) {
	if at.After(t.newsAt) {
		t.newsAt = at
		t.newsFrom = from
	}
}

// noteFailedTry notes that another daemon's call of the store failed: the store may be away for all,
// and not all need to find that out.
func (t *readerRole) noteFailedTry(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.triedAt = now
}

// noteOwnNews notes news that this daemon read itself. It returns true when it reads for
// all, so that the others are to be told.
func (t *readerRole) noteOwnNews(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.newsAt = later(t.newsAt, now)
	t.newsFrom = t.options.self
	return t.noteRead(now, tableDeclared)
}

// noteOwnRead notes that this daemon read a list. It returns true when the others are to be
// told.
func (t *readerRole) noteOwnRead(now time.Time, which table) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.noteRead(now, which)
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// noteRead returns true when the others are to be told. The caller holds the mutex.
func (t *readerRole) noteRead(now time.Time, which table) bool {
	t.ownAt[which] = now
	t.wanted[which] = false
	return t.reads && !t.options.alone
}

// requestRead makes this daemon read a table now.
func (t *readerRole) requestRead(which table) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wanted[which] = true
	t.wake()
}

// readsForAll tells whether this daemon reads for all.
func (t *readerRole) readsForAll() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reads || t.options.alone
}

// readerTerm counts how often this daemon began to read for all.
func (t *readerRole) readerTerm() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.epoch
}

// decision is what a daemon is to do about a table now. Where that is nothing, it has to
// look again after a time, or when changed is closed.
type decision struct {
	task task
	// begins is set when this daemon begins to read for all now; overdue is how long it
	// has had no news then, and zero if it never had any.
	begins     bool
	overdue    time.Duration
	checkAfter time.Duration
	changed    <-chan struct{}
}

// decide says whether this daemon is to read a table now, and how much.
func (t *readerRole) decide(now time.Time, which table) decision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	waiting := decision{checkAfter: maxRoleCheck, changed: t.changed}
	if !t.opened {
		return waiting
	}
	if !t.reads && !t.options.alone {
		left := t.newsTimeoutLeft(now)
		if left <= 0 {
			return t.begin(now)
		}
		waiting.checkAfter = min(max(left, minRoleCheck), maxRoleCheck)
	}
	switch {
	case t.options.alone, t.reads, t.wanted[which]:
		return decision{task: taskRead}
	case !t.ownAt[which].IsZero() && now.Sub(t.ownAt[which]) >= ownReadingInterval:
		return decision{task: taskReadWhole}
	default:
		return waiting
	}
}

// begin lets this daemon read for all. The caller holds the mutex.
func (t *readerRole) begin(now time.Time) decision {
	t.reads = true
	t.epoch++
	t.wake()
	begun := decision{task: taskRead, begins: true}
	if !t.newsAt.IsZero() {
		begun.overdue = now.Sub(t.newsAt)
	}
	return begun
}
