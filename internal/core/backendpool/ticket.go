package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Ticket is one request's place at a back end. Release ends it.
type Ticket struct {
	Backend Backend
	// Version is the version of the model's weights that the back end is believed
	// to hold; zero without a model.
	Version uint64
	// Key is the hash of the back end's ID.
	Key uint64
	// Candidates is how many back ends would have done, and Waiting the cost of what
	// was under way at this one, in tokens.
	Candidates int
	Waiting    float64
	// Source is where what the back end lacks of the prompt can be taken from.
	Source Source
	// Limit is what was known of the requests that the back end takes.
	Limit RequestLimit
	// pickedAt is when the place was taken.
	pickedAt time.Time
	// grantedAt is when the request was granted a part of the limit; zero is not.
	grantedAt time.Time
	entry     *entry
	pool      *Pool
	// work is what the request adds to the load until its first byte, in tokens.
	work float64
	// tokens is the length of the prompt.
	tokens int
	// mostTokens is what the prompts under way at the back end may come to; zero is no bound.
	mostTokens float64
	// reading is set until the first byte.
	reading bool
	// onLost is called when the back end can no longer be reached; it may be nil.
	onLost func()
}

// WorkTokens is what the back end has to do before the answer's first byte, in tokens to be
// read: what is taken from elsewhere counts for less.
func (t *Ticket) WorkTokens() int { return int(t.work) }

// RecordActivity notes that something arrived from the ticket's back end.
func (t *Ticket) RecordActivity(now time.Time) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.entry.heardAt = now
	t.entry.suspicion.quietSince = now
}

// RecordFirstByte notes that the answer's first byte arrived: the prompt was read.
func (t *Ticket) RecordFirstByte() {
	defer t.pool.freed()
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.endReading()
}

func (t *Ticket) endReading() {
	if !t.reading {
		return
	}
	t.reading = false
	t.entry.reading = max(t.entry.reading-t.work, 0)
	t.pool.touch(t.entry)
}

// SilentSince tells whether nothing at all has arrived from the back end, on any
// request, since a time.
func (t *Ticket) SilentSince(since time.Time) bool {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	return t.entry.heardAt.Before(since)
}

// LearnVersion notes the version of the weights that an answer told.
func (t *Ticket) LearnVersion(model identity.ModelName, version uint64) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.pool.learn(t.entry, model, version)
}

// Release ends the request's place. It returns true when the back end is taken
// out because of the result.
func (t *Ticket) Release(now time.Time, result Result) bool {
	defer t.pool.freed()
	if result == ResultUnreachable || result == ResultReplaced {
		defer t.pool.checked(t.Backend.ID, false)
	}
	if result == ResultConnectionLost {
		defer t.pool.suspected()
	}
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.entry.inFlight--
	if t.entry.inFlight == 0 {
		delete(t.pool.departed, t.entry)
	}
	delete(t.entry.tickets, t)
	t.endTrial(now, false)
	t.endRefusalTrial()
	t.entry.tokens -= t.tokens
	t.pool.touch(t.entry)
	t.endReading()
	ejected := t.entry.record(now, result)
	if ejected {
		t.pool.noteDoubt(t.entry, result)
	}
	return ejected
}
