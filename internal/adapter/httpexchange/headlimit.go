package httpexchange

import (
	"bytes"
	"io"

	"github.com/lotusward/lotusward/internal/core/outcome"
)

const (
	// maxHeadBytes bounds the head of an answer, with the interim answers before it. net/http reads lines of any length.
	maxHeadBytes = 64 << 10
	// headPart names the head in errors.
	headPart = "head of the answer"
)

// headLimiter bounds what is read from a connection while the head of an answer is awaited. Only one goroutine may use it.
type headLimiter struct {
	socket io.Reader
	// limited is set while a head is read, of which at most left bytes may follow.
	limited bool
	left    int
	// failed is why no more bytes of the head came, or nil.
	failed error
	// copied holds the bytes of the head, and perhaps some of its body; nil where none are copied.
	copied *bytes.Buffer
}

// start begins a head of which some bytes are buffered already.
func (l *headLimiter) start(buffered int) {
	l.limited, l.left, l.failed = true, maxHeadBytes-buffered, nil
}

// stop lifts the limit for the body.
func (l *headLimiter) stop() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(into []byte) (int, error) {
	if !l.limited {
		return l.socket.Read(into)
	}
	if l.left <= 0 {
		l.failed = &outcome.TooLongError{Part: headPart, Limit: maxHeadBytes}
		return 0, l.failed
	}
	count, err := l.socket.Read(into[:min(len(into), l.left)])
	l.left -= count
	l.failed = err
	if l.copied != nil {
		l.copied.Write(into[:count])
	}
	return count, err
}

// cause returns why a head was not read to its end. net/http may say instead that its last line, which is cut, is malformed.
func (l *headLimiter) cause() error {
	if l.failed == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return l.failed
}

// takeCopy returns what was copied, if anything, and ends the copying.
func (l *headLimiter) takeCopy() *bytes.Buffer {
	copied := l.copied
	l.copied = nil
	return copied
}
