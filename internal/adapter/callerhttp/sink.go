package callerhttp

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/stream"
)

// answerSink takes an answer on its way to the caller.
type answerSink interface {
	// write takes one frame. It fails with errCallerGone.
	write(frame stream.Frame, flush bool) error
	// settle sends what write held back, at the end of an attempt that broke.
	settle() error
	// complete ends a whole answer.
	complete(answer *stream.Assembler) error
	// started tells whether the caller was sent anything.
	started() bool
	// fail ends an answer that was begun and cannot be completed.
	fail(failed *failure)
}

// deadlineStep is how often the write deadline is moved on: it costs a lock.
const deadlineStep = time.Second

// eventBufferBytes holds some events of usual size.
const eventBufferBytes = 4 << 10

var eventBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, eventBufferBytes)
	return &buffer
}}

// eventSink sends an answer as server-sent events.
type eventSink struct {
	writer       http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	includeUsage bool
	headersSent  bool
	deadlineSet  time.Time
	pending      *[]byte
	identity     chunkIdentity
}

func newEventSink(exchange *exchange, includeUsage bool) *eventSink {
	return &eventSink{
		writer: exchange.writer, control: http.NewResponseController(exchange.writer),
		writeTimeout: exchange.handler.options.Limits.WriteTimeout, includeUsage: includeUsage,
	}
}

func (s *eventSink) started() bool { return s.headersSent }

func (s *eventSink) write(frame stream.Frame, flush bool) error {
	if frame.Kind == stream.KindUsage && !s.includeUsage {
		return nil
	}
	s.append(s.identity.apply(frame.Data))
	if !flush {
		return nil
	}
	return s.flush()
}

// settle sends the pending events, unless the headers are still open for a
// failure's status.
func (s *eventSink) settle() error {
	if !s.headersSent || s.pending == nil || len(*s.pending) == 0 {
		return nil
	}
	return s.flush()
}

// append adds an event to the pending ones.
func (s *eventSink) append(data []byte) {
	s.ensurePending()
	buffer := append(*s.pending, "data: "...)
	if bytes.IndexByte(data, '\n') < 0 {
		buffer = append(buffer, data...)
	} else {
		buffer = append(buffer, bytes.ReplaceAll(data, []byte("\n"), []byte("\ndata: "))...)
	}
	*s.pending = append(buffer, "\n\n"...)
}

func (s *eventSink) ensurePending() {
	if s.pending == nil {
		s.pending = eventBuffers.Get().(*[]byte)
		*s.pending = (*s.pending)[:0]
	}
}

// flush sends the pending events with one write.
func (s *eventSink) flush() error {
	if s.pending == nil {
		return nil
	}
	s.sendHeaders()
	s.moveDeadline()
	_, err := s.writer.Write(*s.pending)
	*s.pending = (*s.pending)[:0]
	if err == nil {
		err = s.control.Flush()
	}
	if err != nil {
		return errCallerGone
	}
	return nil
}

func (s *eventSink) sendHeaders() {
	if s.headersSent {
		return
	}
	s.headersSent = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.writer.WriteHeader(http.StatusOK)
}

func (s *eventSink) moveDeadline() {
	now := time.Now()
	if now.Sub(s.deadlineSet) < deadlineStep {
		return
	}
	s.deadlineSet = now
	// Without a connection (in tests) there is no deadline to set.
	_ = s.control.SetWriteDeadline(now.Add(s.writeTimeout))
}

func (s *eventSink) complete(*stream.Assembler) error {
	s.append([]byte("[DONE]"))
	err := s.flush()
	s.release()
	return err
}

// fail sends the failure as the last event, without the end marker. The
// connection is closed so that no client takes the answer for whole.
func (s *eventSink) fail(failed *failure) {
	s.ensurePending()
	*s.pending = append(*s.pending, "event: error\n"...)
	s.append(failed.body())
	_ = s.flush()
	s.release()
	panic(http.ErrAbortHandler)
}

func (s *eventSink) release() {
	_ = s.control.SetWriteDeadline(time.Time{})
	if s.pending != nil {
		eventBuffers.Put(s.pending)
		s.pending = nil
	}
}
