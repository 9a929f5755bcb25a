// Package callerio carries callers' connections and requests within what the daemon may hold for them: it accounts for
// connections and bodies in a buffers.Tracker, keeps the kernel's buffers small, and breaks off who is ended there.
package callerio

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/buffers"
)

const (
	// firstBodyBytes is how much of a body is held before any of it has come. A caller may announce megabytes and send
	// nothing.
	firstBodyBytes = 4 << 10
	// bodyTime is how long the body of a request may take whose caller doesn't say how long it waits.
	bodyTime = time.Minute
)

// Exchange is one request of a caller with its answer.
type Exchange struct {
	// Account accounts for what is held for it.
	Account *buffers.Exchange

	mutex      sync.Mutex
	controller *http.ResponseController
	closed     bool
}

// Open begins to account for a request. Close must follow before its handler returns. Without a ledger nothing is
// accounted for.
func Open(ledger *buffers.Tracker, writer http.ResponseWriter) *Exchange {
	made := &Exchange{controller: http.NewResponseController(writer)}
	if ledger != nil {
		made.Account = ledger.Open(made.breakOff)
	}
	return made
}

// breakOff ends reading and writing. The handler's next one of either fails.
func (e *Exchange) breakOff() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.closed {
		return // the connection may carry another request by now
	}
	over := time.Unix(1, 0)
	_ = e.controller.SetReadDeadline(over)
	_ = e.controller.SetWriteDeadline(over)
}

// Close ends the account.
func (e *Exchange) Close() {
	e.Account.Close()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.closed = true
}

// ReadBody reads the body of a request of at most a number of bytes. A slow caller has until its patience ends, zero is
// not known. It fails with *http.MaxBytesError where the body is longer, and with *buffers.FullError where it can't be
// held now.
func (e *Exchange) ReadBody(writer http.ResponseWriter, incoming *http.Request, most int64, patience time.Duration) ([]byte, error) {
	if incoming.ContentLength == 0 {
		return nil, nil
	}
	if incoming.ContentLength > most {
		return nil, &http.MaxBytesError{Limit: most}
	}
	if patience == 0 {
		patience = bodyTime
	}
	now := clock.Now()
	e.Account.SetDeadline(now.Add(patience))
	e.Account.StartWaiting(now)
	defer e.Account.StopWaiting()
	return e.readAll(http.MaxBytesReader(writer, incoming.Body, most), incoming.ContentLength)
}

// readAll reads a body of a length that may be unknown, -1. Room is made as it comes.
func (e *Exchange) readAll(reader io.Reader, length int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := e.grow(body, length)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		e.Account.RecordProgress(int64(count))
		if err == io.EOF && length > int64(len(body)) {
			return nil, io.ErrUnexpectedEOF
		}
		if err == io.EOF || (length >= 0 && int64(len(body)) == length) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a body with more room.
func (e *Exchange) grow(body []byte, length int64) ([]byte, error) {
	size := max(2*int64(cap(body)), firstBodyBytes)
	if length >= 0 {
		size = min(size, length)
	}
	if err := e.Account.Reserve(clock.Now(), size-int64(cap(body))); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}
