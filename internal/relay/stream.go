package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/outcome"
)

const (
	eventBufferBytes  = 2 << 10
	maximumEventBytes = 1 << 20
)

var (
	idField         = []byte("id:")
	errEventTooLong = errors.New("an event of the stream is too long")
)

// event is one whole event of a stream with its ending blank line.
type event struct {
	bytes []byte
	// id is empty when the event has none.
	id string
}

// eventReader cuts a stream into whole events.
type eventReader struct {
	reader  *bufio.Reader
	pending []byte
	id      string
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes)}
}

// next returns the next whole event; its bytes are valid until the next call. At
// the end of the body it returns io.EOF and what follows the last event, and
// otherwise the error that cut the stream.
func (e *eventReader) next() (event, error) {
	e.pending = e.pending[:0]
	e.id = ""
	lineStart := 0
	for {
		fragment, err := e.reader.ReadSlice('\n')
		e.pending = append(e.pending, fragment...)
		if err == bufio.ErrBufferFull {
			if len(e.pending) > maximumEventBytes {
				return event{}, errEventTooLong
			}
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

// more tells whether bytes of further events were already read.
func (e *eventReader) more() bool { return e.reader.Buffered() > 0 }

// passStream passes the events of a stream on as they arrive. When the stream
// breaks, the request may go on elsewhere after the last event that was passed on.
func (r *run) passStream(ctx context.Context, cancel context.CancelCauseFunc, ticket *backendpool.Ticket, answer *Answer) (step, failure) {
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
			return r.brokenStream(ctx, "cut_stream")
		}
		watch.heard()
		ticket.RecordActivity(r.now())
		if first {
			ticket.RecordFirstByte()
			r.noteReplaced(true)
			r.noteFirstByte()
			r.begin.stop()
			r.relay.begins.note(r.admitted.match.Route.Name, r.now().Sub(r.sentAt))
			r.relay.hasRead(r.admitted, ticket, r.attempt.SaveTo)
		}
		watch.pause() // while the caller is written to, the back end is not waited for
		err = r.passEvent(answer, got, events.more())
		watch.heard()
		if err != nil {
			return stepEnd, failure{result: backendpool.ResultAbandoned, reason: r.left()}
		}
	}
}

// passEvent sends one event, and the head before the first.
func (r *run) passEvent(answer *Answer, got event, more bool) error {
	if err := r.beginStream(answer); err != nil {
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

// beginStream sends the head once. A resumed stream keeps the first one's.
func (r *run) beginStream(answer *Answer) error {
	if r.begun {
		return nil
	}
	r.begun = true
	r.firstByte = r.now().Sub(r.admitted.request.ArrivedAt)
	return r.caller.Begin(Head{Status: answer.Head.Status, Header: answer.Head.Header, Length: -1})
}

// endStream ends a stream whose body is whole. Bytes after the last event are an
// event that was cut where only the connection's end ended the body.
func (r *run) endStream(ctx context.Context, answer *Answer, rest []byte) (step, failure) {
	if len(rest) > 0 && !answer.Delimited {
		return r.brokenStream(ctx, "cut_stream")
	}
	if err := r.beginStream(answer); err != nil {
		return stepEnd, failure{result: backendpool.ResultAbandoned, reason: r.left()}
	}
	if len(rest) > 0 {
		_ = r.write(rest)
	}
	_ = r.flush()
	return stepEnd, failure{result: backendpool.ResultServed}
}

// brokenStream leaves the stream to another back end if the route allows.
func (r *run) brokenStream(ctx context.Context, reason string) (step, failure) {
	failed := r.interrupted(ctx, failure{
		evidence: outcome.Answered,
		result:   backendpool.ResultConnectionLost,
		reason:   reasonOf(ctx, reason),
	})
	if r.begun {
		r.resumed++
	}
	return stepAgain, failed
}
