package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Ticket is one request's reservation at a back end. Release ends it.
type Ticket struct {
	Backend Backend
	// Version is the version of the model's weights that the back end is believed to hold; zero without a model.
	Version uint64
	// Key is the hash of the back end's ID.
	Key uint64
	// Candidates is the number of suitable back ends, and Waiting the cost of the picked one's load, in tokens.
	Candidates int
	Waiting    float64
	// Source tells where the missing prefix of the prompt can be transferred from.
	Source Source
	// Limit is the back end's request limit as known at the time of the pick.
	Limit RequestLimit
	// pickedAt is the time of the pick.
	pickedAt time.Time
	// grantedAt is when the request was granted a share of the limit; zero if it wasn't.
	grantedAt time.Time
	entry     *entry
	pool      *Pool
	// work is the request's prefill work until its first byte, in tokens.
	work float64
	// tokens is the length of the prompt.
	tokens int
	// maxTokens bounds the total prompt length of the requests in flight at the back end; zero means no bound.
	maxTokens float64
	// reading is set until the first byte of the response.
	reading bool
	// onLost is called when the back end becomes unreachable; it may be nil.
	onLost func(silent bool)
	// suspended is set while the request counts as no load.
	suspended bool
}

// WorkTokens returns the work of the back end before the first byte of the response, in tokens to be computed;
// transferred tokens count for less.
func (t *Ticket) WorkTokens() int { return int(t.work) }

// RecordActivity records that data arrived from the back end.
func (t *Ticket) RecordActivity(now time.Time) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.entry.lastActivityAt = now
	t.entry.probeState.silentSince = now
	t.resume()
}

// Suspend excludes the request from the load of the back end until data arrives or the reservation ends. It is for a request
// whose network link has failed, which the back end does not run as far as is known. It may be called at any time.
func (t *Ticket) Suspend() {
	defer t.pool.onCapacityFreed()
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	if t.suspended || !t.entry.tickets[t] {
		return
	}
	t.suspended = true
	t.entry.suspended++
	t.entry.inFlight--
	t.entry.tokens -= t.tokens
	if t.reading {
		t.entry.reading = max(t.entry.reading-t.work, 0)
	}
	t.pool.markLoadChanged(t.entry)
}

// resume ends a suspension. The caller holds the mutex.
func (t *Ticket) resume() {
	if !t.suspended {
		return
	}
	t.suspended = false
	t.entry.suspended--
	t.entry.inFlight++
	t.entry.tokens += t.tokens
	if t.reading {
		t.entry.reading += t.work
	}
	t.pool.markLoadChanged(t.entry)
}

// RecordFirstByte records the first byte of the response, which ends the prefill.
func (t *Ticket) RecordFirstByte() {
	defer t.pool.onCapacityFreed()
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
	t.pool.markLoadChanged(t.entry)
}

// SilentSince reports whether nothing has arrived from the back end on any request since a time.
func (t *Ticket) SilentSince(since time.Time) bool {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	return t.entry.lastActivityAt.Before(since)
}

// LearnVersion records the version of the weights that a response reported.
func (t *Ticket) LearnVersion(model identity.ModelName, version uint64) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.pool.learn(t.entry, model, version)
}

// Release ends the reservation. It returns true if the back end is ejected because of the result.
func (t *Ticket) Release(now time.Time, result Result) bool {
	defer t.pool.onCapacityFreed()
	if result == ResultUnreachable || result == ResultReplaced {
		defer t.pool.onReachability(t.Backend.ID, false)
	}
	if result == ResultConnectionLost {
		defer t.pool.onProbeRequested()
	}
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.resume()
	t.entry.inFlight--
	if t.entry.requests() == 0 {
		delete(t.pool.departed, t.entry)
	}
	delete(t.entry.tickets, t)
	t.endTrial(now, false)
	t.endRefusalTrial()
	t.entry.tokens -= t.tokens
	t.pool.markLoadChanged(t.entry)
	t.endReading()
	ejected := t.entry.record(now, result)
	if ejected {
		t.pool.queueFailureReport(t.entry, result)
	}
	return ejected
}
