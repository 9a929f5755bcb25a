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
	// readAheadBytes is the most that is held of one answer whose caller reads slowly.
	readAheadBytes = 64 << 10
	// readAheadPiece is how much is read at a time.
	readAheadPiece = 4 << 10
	// readAheadPause is how long it waits for room, where others hold all there is.
	readAheadPause = 100 * time.Millisecond
	// writtenPiece is how much is written at a time, so that it shows how fast a caller reads.
	writtenPiece = 16 << 10
)

// readAhead is the body of an answer. While the caller keeps the daemon waiting to write, it reads on in the background,
// up to a bound: a back end ends an answer that isn't read for some seconds, which a caller that pauses for a moment
// would otherwise lose.
type readAhead struct {
	body    io.ReadCloser
	account *buffers.Exchange
	now     func() time.Time
	// interrupt ends a reading that is under way.
	interrupt func()

	mutex sync.Mutex
	// changed is told of each change below.
	changed sync.Cond
	// reading is set while the owner reads the body itself, and ahead once it is read in the background.
	reading, ahead bool
	// held is what was read ahead, and err how the body ended.
	held bytes.Buffer
	err  error
	// closed is set at the end, and done once nothing reads in the background any more.
	closed, done bool
}

// newReadAhead reads a body ahead where the account notices that the caller is slow.
func (r *run) newReadAhead(body io.ReadCloser, cancel context.CancelCauseFunc) *readAhead {
	made := &readAhead{body: body, account: r.admitted.request.Account, now: r.now, interrupt: func() { cancel(nil) }, done: true}
	made.changed.L = &made.mutex
	made.account.OnStall(made.begin)
	return made
}

// Read implements io.Reader.
func (a *readAhead) Read(into []byte) (int, error) {
	a.mutex.Lock()
	if a.ahead {
		defer a.mutex.Unlock()
		return a.take(into)
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

// take returns what was read ahead. The caller holds the mutex.
func (a *readAhead) take(into []byte) (int, error) {
	for a.held.Len() == 0 && a.err == nil {
		a.changed.Wait()
	}
	if a.held.Len() == 0 {
		return 0, a.err
	}
	count, err := a.held.Read(into)
	a.account.Release(int64(count))
	a.changed.Broadcast()
	return count, err
}

// begin starts to read in the background, unless the owner reads.
func (a *readAhead) begin() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ahead || a.reading || a.closed {
		return
	}
	a.ahead, a.done = true, false
	go a.run()
}

// run reads until the body or the owner ends.
func (a *readAhead) run() {
	defer func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.done = true
		a.changed.Broadcast()
	}()
	piece := make([]byte, readAheadPiece)
	for a.awaitRoom() {
		count, err := a.body.Read(piece)
		a.put(piece[:count], err)
		if err != nil {
			return
		}
	}
}

// awaitRoom waits until a piece more may be held, and accounts for it. It returns false at the end.
func (a *readAhead) awaitRoom() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for !a.closed {
		switch {
		case a.held.Len() > readAheadBytes-readAheadPiece:
			a.changed.Wait()
		case a.hold():
			return true
		default:
			wake := time.AfterFunc(readAheadPause, a.changed.Broadcast)
			a.changed.Wait()
			wake.Stop()
		}
	}
	return false
}

// hold accounts for a piece. The caller holds the mutex, which is given up meanwhile: others may be ended for room.
func (a *readAhead) hold() bool {
	a.mutex.Unlock()
	defer a.mutex.Lock()
	return a.account.Reserve(a.now(), readAheadPiece) == nil
}

// put takes in a piece for which there is room.
func (a *readAhead) put(piece []byte, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.account.Release(int64(readAheadPiece - len(piece)))
	a.held.Write(piece)
	a.err = err
	a.changed.Broadcast()
}

// Close implements io.Closer. Nothing reads the body any more when it returns.
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

// write gives the caller a piece of the answer, and notes how fast it takes it.
func (r *run) write(piece []byte) error {
	account := r.admitted.request.Account
	account.StartWaiting(r.now())
	defer account.StopWaiting()
	for len(piece) > 0 {
		part := piece[:min(len(piece), writtenPiece)]
		if err := r.caller.Write(part); err != nil {
			return err
		}
		account.RecordProgress(int64(len(part)))
		piece = piece[len(part):]
	}
	return nil
}

// flush hands what was written to the network, and notes how long that takes.
func (r *run) flush() error {
	account := r.admitted.request.Account
	account.StartWaiting(r.now())
	defer account.StopWaiting()
	return r.caller.Flush()
}

// reasonSlowCaller is the reason of answers that were ended since the caller read too slowly for what the daemon may
// hold, or beyond its time.
const reasonSlowCaller = "slow_caller"

// left is the end of an answer that can't be written to the caller.
func (r *run) left() string {
	if r.admitted.request.Account.Evicted() {
		return reasonSlowCaller
	}
	return reasonCallerLeft
}
