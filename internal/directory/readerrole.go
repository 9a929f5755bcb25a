package directory

import (
	"sync"
	"time"
)

// Timing and limits of the reader role.
const (
	// ownReadingInterval is how often a daemon reads the store although it receives bulletins, to keep its estimate
	// of the store's clock accurate: usual monotonic clocks differ by less than 100 parts in a million, which is 60
	// ms in this time and within clockSlack.
	ownReadingInterval = 10 * time.Minute
	// maxRoleCheck bounds the time after which a daemon that isn't reading checks its role again.
	maxRoleCheck = time.Second
	// capacityAdvantage is how many times the other's capacity a reader must have to stay regardless of their
	// addresses. Daemons that don't know another's capacity yet assume that of a small machine.
	capacityAdvantage = 2
	// minRoleCheck is the shortest time between such checks.
	minRoleCheck = 10 * time.Millisecond
)

// task is what a daemon has to do about a table.
type task int

const (
	taskNone task = iota
	taskRead
	// taskReadWhole is to read the table in full: bulletins may have left gaps that went unnoticed.
	taskReadWhole
)

// readerRoleOptions configure a readerRole.
type readerRoleOptions struct {
	// self is this daemon's address; of two readers the one with the lower address stays.
	self string
	// alone is set if there are no other daemons to exchange bulletins with.
	alone bool
	// interval is how often the reader broadcasts news at least.
	interval time.Duration
	// newsBound is the maximum age of news at any daemon; zero selects the default.
	newsBound time.Duration
	// others returns the addresses of the other daemons. capacity returns the relative capacity of a daemon's
	// machine; nil means that all are equal.
	others   func() []string
	capacity func(address string) float64
	// storeTime returns how long this daemon's calls to the store take; nil means no time.
	storeTime func() time.Duration
}

// readerRole decides whether this daemon reads the store, or relies on the bulletins of another one. There is no
// election: a daemon without news reads and broadcasts. Of two that do, one stops: the one whose calls fail, else
// the one with clearly less capacity, else the one with the higher address. It is safe for use by several
// goroutines.
type readerRole struct {
	options readerRoleOptions

	mutex sync.Mutex
	// opened is set once the daemon may read the store at all.
	opened bool
	// reads is set while this daemon is the reader, and epoch counts how often it became so.
	reads bool
	epoch uint64
	// newsAt is the time of the newest news, read here or received, and newsFrom its sender.
	newsAt   time.Time
	newsFrom string
	// newsTimeout is how long after newsAt this daemon starts to read; it was computed for the news of
	// newsTimeoutFor.
	newsTimeout    time.Duration
	newsTimeoutFor time.Time
	// failedTryAt is when another daemon last announced that its call to the store failed, and extended is set once
	// newsTimeout was extended because of it.
	failedTryAt time.Time
	extended    bool
	// lastReadAt is when this daemon last read each table. readRequested is set if data from others can't be applied
	// without reading the table here.
	lastReadAt    map[table]time.Time
	readRequested map[table]bool
	// changed is closed when waiting goroutines have to check again.
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
		lastReadAt: map[table]time.Time{}, readRequested: map[table]bool{}, changed: make(chan struct{}),
	}
}

// open allows this daemon to read the store.
func (t *readerRole) open() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.opened = true
	t.wake()
}

// wake makes waiting goroutines check again. The caller holds the mutex.
func (t *readerRole) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// noteNewsFrom records news from another daemon as of a time. It returns true if this daemon stops being the reader
// because of it. News no newer than the known one has no effect on newsAt.
func (t *readerRole) noteNewsFrom(now, at time.Time, from string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.noteNews(at, from)
	lately := 2 * t.options.interval
	failing := now.Sub(t.lastReadAt[tableDeclared]) > lately
	stops := t.reads && now.Sub(at) <= lately && (failing || t.yieldsTo(from))
	if stops {
		t.reads = false
	}
	return stops
}

// yieldsTo reports whether this daemon stops if both it and another one are readers: the one with clearly more
// capacity stays, else the one with the lower address.
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

// adopted records that another daemon's data was adopted, which was the newest at a time.
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

// noteFailedTry records that another daemon's call to the store failed: the store may be unreachable for all, and
// not all daemons need to find that out.
func (t *readerRole) noteFailedTry(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failedTryAt = now
}

// noteOwnNews records news that this daemon read itself. It returns true if this daemon is the reader and has to
// broadcast it.
func (t *readerRole) noteOwnNews(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.newsAt = later(t.newsAt, now)
	t.newsFrom = t.options.self
	return t.noteRead(now, tableDeclared)
}

// noteOwnRead records that this daemon read a table. It returns true if it has to broadcast the result.
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

// noteRead records a read of a table. It returns true if the result has to be broadcast. The caller holds the
// mutex.
func (t *readerRole) noteRead(now time.Time, which table) bool {
	t.lastReadAt[which] = now
	t.readRequested[which] = false
	return t.reads && !t.options.alone
}

// requestRead makes this daemon read a table now.
func (t *readerRole) requestRead(which table) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.readRequested[which] = true
	t.wake()
}

// isReader reports whether this daemon is the reader.
func (t *readerRole) isReader() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reads || t.options.alone
}

// readerTerm returns how often this daemon has become the reader.
func (t *readerRole) readerTerm() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.epoch
}

// decision is what a daemon has to do about a table now. If that is nothing, it has to check again after
// checkAfter, or when changed is closed.
type decision struct {
	task task
	// begins is set if this daemon becomes the reader now. overdue is then the age of the last news; zero if there
	// never was any.
	begins     bool
	overdue    time.Duration
	checkAfter time.Duration
	changed    <-chan struct{}
}

// decide returns whether and how this daemon is to read a table now.
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
	case t.options.alone, t.reads, t.readRequested[which]:
		return decision{task: taskRead}
	case !t.lastReadAt[which].IsZero() && now.Sub(t.lastReadAt[which]) >= ownReadingInterval:
		return decision{task: taskReadWhole}
	default:
		return waiting
	}
}

// begin makes this daemon the reader. The caller holds the mutex.
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
