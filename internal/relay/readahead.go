package relay

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/buffers"
)

const (
	// readAheadBytes bounds the bytes buffered of one answer whose caller reads slowly.
	readAheadBytes = 64 << 10
	// readAheadChunk is the size of one read.
	readAheadChunk = 4 << 10
	// capacityRetryInterval is how long a read waits before it asks again for buffer space, if
	// other requests occupy all of it.
	capacityRetryInterval = 100 * time.Millisecond
	// writeChunk is the size of one write, small enough to measure how fast a caller reads.
	writeChunk = 16 << 10
)

// readAhead is the body of an answer. While a write to the caller blocks, it continues reading in
// the background, up to a bound: a backend ends an answer that is not read for some seconds, so a
// caller that pauses briefly would lose the rest.
type readAhead struct {
	body    io.ReadCloser
	account *buffers.Exchange
	now     func() time.Time
	// interrupt cancels a pending read.
	interrupt func()

	mutex sync.Mutex
	// changed is signaled on each change of the fields below.
	changed sync.Cond
	// reading is set while the owner reads the body itself. background is set once the body is
	// read in the background.
	reading, background bool
	// buffered holds the bytes read ahead, and err how the body ended.
	buffered bytes.Buffer
	err      error
	// closed is set by Close. done is set while nothing reads in the background.
	closed, done bool
}

// newReadAhead wraps a body that is read ahead once the account detects a slow caller.
func (r *run) newReadAhead(body io.ReadCloser, cancel context.CancelCauseFunc) *readAhead {
	made := &readAhead{body: body, account: r.admitted.request.Account, now: r.now, interrupt: func() { cancel(nil) }, done: true}
	made.changed.L = &made.mutex
	made.account.OnStall(made.startBackground)
	return made
}

// Read implements io.Reader.
func (a *readAhead) Read(into []byte) (int, error) {
	a.mutex.Lock()
	if a.background {
		defer a.mutex.Unlock()
		return a.takeBuffered(into)
	}
	a.reading = true
	a.mutex.Unlock()
	defer func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.reading = false
	}()
	return a.body.Read(into)
}

// takeBuffered returns bytes that were read ahead. The caller holds the mutex.
func (a *readAhead) takeBuffered(into []byte) (int, error) {
	for a.buffered.Len() == 0 && a.err == nil {
		a.changed.Wait()
	}
	if a.buffered.Len() == 0 {
		return 0, a.err
	}
	count, err := a.buffered.Read(into)
	a.account.Release(int64(count))
	a.changed.Broadcast()
	return count, err
}

// startBackground starts reading in the background, unless the owner is reading.
func (a *readAhead) startBackground() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.background || a.reading || a.closed {
		return
	}
	a.background, a.done = true, false
	go a.readBackground()
}

// readBackground reads until the body ends or is closed.
func (a *readAhead) readBackground() {
	defer func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.done = true
		a.changed.Broadcast()
	}()
	piece := make([]byte, readAheadChunk)
	for a.awaitCapacity() {
		count, err := a.body.Read(piece)
		a.appendBuffered(piece[:count], err)
		if err != nil {
			return
		}
	}
}

// awaitCapacity waits until another chunk may be buffered, and accounts for it. It returns false
// once the body is closed.
func (a *readAhead) awaitCapacity() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for !a.closed {
		switch {
		case a.buffered.Len() > readAheadBytes-readAheadChunk:
			a.changed.Wait()
		case a.reserve():
			return true
		default:
			wake := time.AfterFunc(capacityRetryInterval, a.changed.Broadcast)
			a.changed.Wait()
			wake.Stop()
		}
	}
	return false
}

// reserve accounts for one chunk. The caller holds the mutex, which is released meanwhile because
// the account may end other requests to free space.
func (a *readAhead) reserve() bool {
	a.mutex.Unlock()
	defer a.mutex.Lock()
	return a.account.Reserve(a.now(), readAheadChunk) == nil
}

// appendBuffered appends bytes for which space is reserved, and returns the unused part of the
// reservation.
func (a *readAhead) appendBuffered(piece []byte, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.account.Release(int64(readAheadChunk - len(piece)))
	a.buffered.Write(piece)
	a.err = err
	a.changed.Broadcast()
}

// Close implements io.Closer. After it returns, nothing reads the body any more.
func (a *readAhead) Close() error {
	a.account.OnStall(nil)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.closed = true
	a.changed.Broadcast()
	for !a.done {
		a.interrupt()
		a.changed.Wait()
	}
	return a.body.Close()
}

// write writes part of the answer to the caller and reports its progress to the account, which
// measures how fast the caller reads.
func (r *run) write(piece []byte) error {
	account := r.admitted.request.Account
	account.StartWaiting(r.now())
	defer account.StopWaiting()
	for len(piece) > 0 {
		part := piece[:min(len(piece), writeChunk)]
		if err := r.caller.Write(part); err != nil {
			return err
		}
		account.RecordProgress(int64(len(part)))
		piece = piece[len(part):]
	}
	return nil
}

// flush flushes written data to the network and reports to the account how long that takes.
func (r *run) flush() error {
	account := r.admitted.request.Account
	account.StartWaiting(r.now())
	defer account.StopWaiting()
	return r.caller.Flush()
}

// reasonSlowCaller is the reason of answers that were ended because the caller read too slowly for
// the daemon's buffer space, or longer than permitted.
const reasonSlowCaller = "slow_caller"

// abandonReason returns the reason why an answer can't be written to the caller.
func (r *run) abandonReason() string {
	if r.admitted.request.Account.Evicted() {
		return reasonSlowCaller
	}
	return reasonCallerLeft
}
