package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/outcome"
)

const (
	eventBufferBytes = 2 << 10
	maxEventBytes    = 1 << 20
)

var (
	idField         = []byte("id:")
	errEventTooLong = &outcome.TooLongError{Part: "event of the stream", Limit: maxEventBytes}
)

// event is one complete event of a stream, including its terminating blank line.
type event struct {
	bytes []byte
	// id is empty if the event has none.
	id string
}

// eventReader splits a stream into complete events.
type eventReader struct {
	reader  *bufio.Reader
	pending []byte
	id      string
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes)}
}

// next returns the next complete event; its bytes are valid until the next call. At the end of the
// body it returns io.EOF together with the bytes after the last event. Any other error interrupted
// the stream.
func (e *eventReader) next() (event, error) {
	e.pending = e.pending[:0]
	e.id = ""
	lineStart := 0
	for {
		fragment, err := e.reader.ReadSlice('\n')
		e.pending = append(e.pending, fragment...)
		if len(e.pending) > maxEventBytes {
			return event{}, errEventTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return event{bytes: e.pending}, err
		}
		line := bytes.TrimRight(e.pending[lineStart:], "\r\n")
		lineStart = len(e.pending)
		if len(line) == 0 {
			return event{bytes: e.pending, id: e.id}, nil
		}
		if bytes.HasPrefix(line, idField) {
			e.id = string(bytes.TrimSpace(line[len(idField):]))
		}
	}
}

// more reports whether bytes of further events are buffered.
func (e *eventReader) more() bool { return e.reader.Buffered() > 0 }

// forwardStream forwards the events of a stream as they arrive. If the stream breaks, the request
// may be resumed at another backend after the last forwarded event.
func (r *run) forwardStream(ctx context.Context, cancel context.CancelCauseFunc, ticket *backendpool.Ticket, answer *Answer) (step, failure) {
	body := r.newReadAhead(answer.Body, cancel)
	answer.Body = body
	events := newEventReader(body)
	watch := r.watchStall(ticket, cancel)
	defer watch.stop()
	for first := true; ; first = false {
		got, err := events.next()
		if err == io.EOF {
			return r.endStream(ctx, answer, got.bytes)
		}
		if err != nil {
			return r.handleBrokenStream(ctx, r.noteBroken(err, "cut_stream"))
		}
		watch.reset()
		ticket.RecordActivity(r.now())
		if first {
			ticket.RecordFirstByte()
			if reason := r.reasonUnaccepted(answer, ticket); reason != "" {
				return stepRetry, failure{evidence: outcome.Answered, result: backendpool.ResultAbandoned, reason: reason}
			}
			r.keepVersion(ticket, answer.Incarnation)
			r.recordReplaced(true)
			r.recordFirstByte()
			r.startWatch.stop()
			r.relay.startLatencies.record(r.admitted.match.Route.Name, r.now().Sub(r.sentAt))
			r.relay.recordRead(r.admitted, ticket, r.attempt.SaveTo)
		}
		watch.pause() // a blocked caller must not count as a silent backend
		err = r.forwardEvent(answer, got, events.more())
		watch.reset()
		if err != nil {
			return stepDone, failure{result: backendpool.ResultAbandoned, reason: r.abandonReason()}
		}
	}
}

// forwardEvent sends one event, preceded by the head if it is the first.
func (r *run) forwardEvent(answer *Answer, got event, more bool) error {
	if err := r.sendHead(answer); err != nil {
		return err
	}
	if err := r.write(got.bytes); err != nil {
		return err
	}
	if got.id != "" {
		r.lastEvent = got.id
	}
	if more {
		return nil
	}
	return r.flush()
}

// sendHead sends the head once. A resumed stream keeps the head of the first attempt.
func (r *run) sendHead(answer *Answer) error {
	if r.headSent {
		return nil
	}
	r.headSent = true
	r.firstByte = r.now().Sub(r.admitted.request.ArrivedAt)
	return r.caller.Begin(Head{Status: answer.Head.Status, Header: answer.Head.Header, Length: -1})
}

// endStream finishes a stream whose body ended without an error. Bytes after the last event are an
// event that was cut, even if the body's framing is complete.
func (r *run) endStream(ctx context.Context, answer *Answer, rest []byte) (step, failure) {
	if len(rest) > 0 {
		return r.handleBrokenStream(ctx, "cut_stream")
	}
	if err := r.sendHead(answer); err != nil {
		return stepDone, failure{result: backendpool.ResultAbandoned, reason: r.abandonReason()}
	}
	_ = r.flush()
	return stepDone, failure{result: backendpool.ResultServed}
}

// handleBrokenStream hands the stream over to another backend if the route allows it.
func (r *run) handleBrokenStream(ctx context.Context, reason string) (step, failure) {
	failed := r.adjustForCancel(ctx, failure{
		evidence: outcome.Answered,
		result:   brokenResult(reason),
		reason:   cancelReason(ctx, reason),
	})
	if r.headSent {
		r.resumed++
	}
	return stepRetry, failed
}
