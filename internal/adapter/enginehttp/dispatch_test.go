package enginehttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/stream"
	"github.com/lotusward/lotusward/internal/port"
)

// TestNothingIsReplayed keeps a connection that dies under the second request.
// The transport would send a request without a body again on its own.
func TestNothingIsReplayed(t *testing.T) {
	requests := []port.PageCall{
		{Method: http.MethodGet, URI: "/"},
		{Method: http.MethodDelete, URI: "/"},
		{Method: http.MethodPost, URI: "/", Header: http.Header{"Idempotency-Key": {"k"}}},
		{Method: http.MethodPost, URI: "/", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("{}")},
	}
	for _, request := range requests {
		arrived := &atomic.Int32{}
		listener := serveOnceThenDie(t, arrived)
		client := New(Options{})
		request.Address = listener.Addr().String()
		answer, err := client.Page(t.Context(), request)
		assert.NilError(t, err)
		_, err = io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())

		_, err = client.Page(t.Context(), request)
		var failed *port.AttemptError
		assert.Assert(t, errors.As(err, &failed), "%v", err)
		assert.Equal(t, failed.Evidence, outcome.Sent)
		assert.Assert(t, failed.Unreachable)
		assert.Equal(t, arrived.Load(), int32(2), "%s %v", request.Method, request.Header)
		client.CloseIdle()
	}
}

// serveOnceThenDie answers the first request of all and closes the connection
// under each other one.
func serveOnceThenDie(t *testing.T, arrived *atomic.Int32) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if arrived.Add(1) > 1 {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener
}

// recordingConn counts what reaches the network.
type recordingConn struct {
	net.Conn
	written int
	fail    bool
}

func (c *recordingConn) Write(data []byte) (int, error) {
	c.written++
	if c.fail {
		return 0, io.ErrClosedPipe
	}
	return len(data), nil
}

// TestEvidenceIsCertain writes before, during and after a request, and demands
// that a request called unreached never wrote, neither before nor afterwards.
func TestEvidenceIsCertain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := &recordingConn{fail: rapid.Bool().Draw(t, "failing")}
		conn := &countedConn{Conn: network}
		write := func(times int) {
			for range times {
				_, _ = conn.Write([]byte("x"))
			}
		}
		write(rapid.IntRange(0, 2).Draw(t, "earlier requests"))
		before := network.written
		var sent dispatch
		if rapid.Bool().Draw(t, "connected") {
			httptrace.ContextClientTrace(sent.trace(context.Background())).GotConn(httptrace.GotConnInfo{Conn: conn})
			write(rapid.IntRange(0, 2).Draw(t, "during"))
		}
		evidence := sent.evidence()
		if network.written > before {
			assert.Equal(t, evidence, outcome.Sent)
			return
		}
		assert.Equal(t, evidence, outcome.Unreached)
		if sent.conn != nil {
			write(1)
			assert.Equal(t, network.written, before, "a sealed connection writes nothing more")
		}
	})
}

// TestCancelledAnswerReachesNobodyElse gives up an answer that goes on being sent
// and makes another request at once.
func TestCancelledAnswerReachesNobodyElse(t *testing.T) {
	var connections atomic.Int32
	endResponse := make(chan struct{}, 3)
	engine := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Content-Type", contentTypeEvents)
		id := request.Header.Get("X-Request-Id")
		for offset := range 3 {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"choices\":[{\"text\":\"%s\"}]}\n\n", offset, id)
			_ = http.NewResponseController(writer).Flush()
		}
		if id == "abandoned" {
			<-request.Context().Done() // an engine that has not noticed yet
			return
		}
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
		_ = http.NewResponseController(writer).Flush()
		<-endResponse
	}))
	engine.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	engine.Start()
	t.Cleanup(engine.Close)
	client := New(Options{})
	open := func(id identity.RequestID) port.TokenStream {
		target := port.Target{Address: engine.Listener.Addr().String(), RequestID: id, Attempt: 1}
		source, err := client.Generate(t.Context(), port.Generation{Target: target, Path: "/", Body: []byte("{}")})
		assert.NilError(t, err)
		return source
	}
	abandoned := open("abandoned")
	_, err := abandoned.Next()
	assert.NilError(t, err)
	abandoned.Close()
	for range 3 {
		source := open("own")
		for range 3 {
			frame, err := source.Next()
			assert.NilError(t, err)
			assert.Equal(t, string(frame.Text), "own")
		}
		frame, err := source.Next()
		assert.NilError(t, err)
		assert.Equal(t, frame.Kind, stream.KindDone)
		endResponse <- struct{}{}
		source.Close()
	}
	assert.Equal(t, connections.Load(), int32(2), "an abandoned connection is not used again, a finished one is")
	client.CloseIdle()
}
