// Package httpexchange sends single HTTP/1.1 requests over kept connections and
// always tells whether a byte of a request can have reached the other side. It
// exists because net/http's Transport repeats requests by itself and hides on
// which connection an answer came; the messages themselves are written and read
// by net/http.
//
// A connection is kept only after an answer that was whole, that was asked for,
// and that came after the whole request was written. An answer that belongs to
// an earlier request is dropped and the next one read.
package httpexchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/lotusward/lotusward/internal/core/outcome"
)

// Sizes and times.
const (
	readBufferBytes = 4 << 10
	// inlineBodyBytes is the largest body that is written before the answer is
	// read; the peer's window holds it.
	inlineBodyBytes = 8 << 10
	// maximumStaleAnswers bounds how many answers of earlier requests are dropped.
	maximumStaleAnswers = 2
	// maximumStaleBytes bounds the body of such an answer.
	maximumStaleBytes = 1 << 20
)

// Stage tells how far a failed exchange came.
type Stage int

// The stages.
const (
	// StageUnreached means that no byte of the request was given to the network.
	StageUnreached Stage = iota
	// StageSent means that bytes left and no answer came.
	StageSent
)

// Error is a failed exchange.
type Error struct {
	Address string
	Stage   Stage
	// Reused is set when the connection had carried an exchange before.
	Reused bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	stage := "no answer"
	if e.Stage == StageUnreached {
		stage = "not reached"
	}
	return fmt.Sprintf("exchange with %s: %s: %v", e.Address, stage, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ErrStaleAnswers says that only answers of earlier requests came.
var ErrStaleAnswers = errors.New("only answers that belong to other requests came")

// Request is one request.
type Request struct {
	Method string
	// Target is the path and query, sent byte for byte.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Stands is asked once there is a connection, which may take as long as a dial: an error ends the exchange
	// before a byte is sent. Nil is none.
	Stands func() error
	// Belongs tells whether an answer is this request's; nil means any is.
	Belongs func(http.Header) bool
	// Identify makes the process at the other end tell who it is before the request is sent; nil asks for nothing.
	Identify *Identification
}

// Answer is the head of an answer with its body. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1.
	Length int64
	// Delimited is false when only the end of the connection ends the body.
	Delimited bool
	// Closing is set when the other side will close the connection.
	Closing bool
	// Peer is the identity that the process at the other end of the connection has told; zero if it was not asked, or didn't tell.
	Peer uint64

	response   *http.Response
	connection *connection
	stop       func() bool
	sent       *transmission
	whole      bool
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (a *Answer) Read(buffer []byte) (int, error) {
	count, err := a.response.Body.Read(buffer)
	if err == io.EOF {
		err = a.end()
	}
	return count, err
}

// end returns io.EOF if the body is whole, now that nothing more of it follows.
func (a *Answer) end() error {
	if a.whole {
		return io.EOF
	}
	if err := checkFields(a.response.Trailer); err != nil {
		return err
	}
	if !a.Delimited {
		if err := a.connection.checkEnd(a.sent); err != nil {
			return err
		}
	}
	a.whole = true
	return io.EOF
}

// ReadAll reads a whole body of at most limit bytes. It fails with *outcome.TooLongError where the body, which part names, is longer.
func (a *Answer) ReadAll(part string, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err == nil && int64(len(content)) > limit {
		return nil, &outcome.TooLongError{Part: part, Limit: limit}
	}
	return content, err
}

// Close ends the exchange. The connection is kept if the answer was read to its
// end and nothing follows, and closed at once otherwise, which cancels the
// request at the other side.
func (a *Answer) Close() {
	uncancelled := a.stop()
	if !uncancelled || !a.whole || a.Closing || !a.Delimited || !a.sent.complete() {
		a.connection.close()
		return
	}
	a.connection.keep(keepAliveTime(a.Header))
}

// Do sends a request and reads the head of its answer. The context bounds the
// whole exchange: when it ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Answer, error) {
	taken, err := p.connect(ctx, address, request)
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Address: address, Stage: StageUnreached, Cause: err}
	}
	stop := context.AfterFunc(ctx, taken.close)
	answer, err := taken.exchange(request)
	if err != nil {
		stop()
		taken.close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Address: address, Stage: taken.stage(), Reused: taken.reused, Cause: err}
	}
	answer.stop, answer.Peer = stop, taken.peer
	return answer, nil
}

// connect returns a connection on which the request may be sent. One that may not carry it is kept.
func (p *Pool) connect(ctx context.Context, address string, request *Request) (*connection, error) {
	taken, err := p.take(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := request.stands(); err != nil {
		taken.keep(0)
		return nil, err
	}
	if request.Identify == nil {
		return taken, nil
	}
	return p.connectIdentified(ctx, taken, request)
}

// stands tells why the request is not to be sent any more; nil if it is.
func (r *Request) stands() error {
	if r.Stands == nil {
		return nil
	}
	return r.Stands()
}

// exchange writes the request and reads the head of its answer. A long body is
// written while the answer is awaited, since the other side may answer early.
func (c *connection) exchange(request *Request) (*Answer, error) {
	message := request.message()
	sent := newTransmission()
	write := func() error {
		err := message.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		sent.end(err)
		return err
	}
	c.written.Store(0)
	if len(request.Body) > inlineBodyBytes {
		go func() { _ = write() }()
	} else if err := write(); err != nil {
		return nil, err
	}
	response, err := c.awaitOwn(message, request.Belongs)
	if err != nil {
		return nil, err
	}
	return &Answer{
		Status:     response.StatusCode,
		Header:     response.Header,
		Length:     response.ContentLength,
		Delimited:  delimited(response),
		Closing:    response.Close,
		response:   response,
		connection: c,
		sent:       sent,
	}, nil
}

// message renders the request for net/http. An empty User-Agent keeps the library
// from adding one.
func (r *Request) message() *http.Request {
	header := r.Header
	if _, found := header["User-Agent"]; !found {
		header["User-Agent"] = []string{""}
	}
	message := &http.Request{
		Method:        r.Method,
		URL:           r.url(),
		Host:          r.Host,
		Header:        header,
		ContentLength: int64(len(r.Body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(r.Body) > 0 {
		message.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return message
}

// url returns a URL that net/http writes as the target, byte for byte. Before an
// opaque URL with two leading slashes it would write a scheme.
func (r *Request) url() *url.URL {
	target := &url.URL{Scheme: "http", Host: r.Host}
	if !strings.HasPrefix(r.Target, "//") {
		target.Opaque = r.Target
		return target
	}
	path, query, found := strings.Cut(r.Target, "?")
	target.Path, target.RawPath, target.RawQuery, target.ForceQuery = path, path, query, found
	if decoded, err := url.PathUnescape(path); err == nil {
		target.Path = decoded
	}
	return target
}
