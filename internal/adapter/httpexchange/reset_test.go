package httpexchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	resetRepeats = 20
	// earlyAnswerTimeout bounds the time until an early answer is whole whose peer reads nothing more of the request. The
	// request's own deadline is later.
	earlyAnswerTimeout = time.Second
)

// upload is a request that takes longer to write than a peer takes to answer it.
func upload(size int) *Request {
	sent := request("1")
	sent.Body = []byte(strings.Repeat("x", size))
	return sent
}

// answerUpload sends an upload and reads the answer's body.
func answerUpload(t *testing.T, address string, size int) (string, error) {
	t.Helper()
	pool := NewPool(Options{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	answer, err := pool.Do(ctx, address, upload(size))
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

// serveEarly answers each request once its head was read, and then calls end, which ends the connection.
func serveEarly(t *testing.T, answer string, end func(reader *bufio.Reader, socket *net.TCPConn)) string {
	t.Helper()
	return serveRaw(t, func(_ int, socket net.Conn) {
		reader := bufio.NewReader(socket)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(socket, answer)
		end(reader, socket.(*net.TCPConn))
	})
}

func reset(_ *bufio.Reader, socket *net.TCPConn) {
	_ = socket.SetLinger(0)
	_ = socket.Close()
}

// TestResetDuringUploadIsNoEnd guards against an answer that only the end of the connection delimits and that counts as whole although
// the connection was reset: the kernel reports the reset to the goroutine that writes the request, and an end to the one that reads.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"without a length": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"closing":          "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
		"HTTP 1.0":         "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
		"failure":          "HTTP/1.1 500 Failed\r\nId: 1\r\n\r\n",
		"without a body":   "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	} {
		part := "part of the body"
		if name == "without a body" {
			part = ""
		}
		for _, size := range []int{300 << 10, 1 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				t.Parallel()
				address := serveEarly(t, head+part, reset)
				for range resetRepeats {
					body, err := answerUpload(t, address, size)
					assert.Assert(t, err != nil, "%q counts as whole", body)
				}
			})
		}
	}
}

// TestResetAfterHalfCloseIsNoEnd guards against an answer that counts as whole because a peer that ends during the upload closes its
// direction first.
func TestResetAfterHalfCloseIsNoEnd(t *testing.T) {
	t.Parallel()
	address := serveEarly(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", func(reader *bufio.Reader, socket *net.TCPConn) {
		_ = socket.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		reset(reader, socket)
	})
	for range resetRepeats {
		body, err := answerUpload(t, address, 16<<20)
		assert.Assert(t, err != nil, "%q counts as whole", body)
	}
}

// TestHalfClosedEarlyAnswerIsWhole guards against refusing an early answer of a peer that closes its direction in order, and against
// holding it until the deadline if the peer never reads the rest of the request.
func TestHalfClosedEarlyAnswerIsWhole(t *testing.T) {
	t.Parallel()
	for name, rest := range map[string]func(*bufio.Reader){
		"reads the rest": func(reader *bufio.Reader) { _, _ = io.Copy(io.Discard, reader) },
		"reads it slowly": func(reader *bufio.Reader) {
			for range 40 {
				_, _ = io.CopyN(io.Discard, reader, 16<<10)
				time.Sleep(20 * time.Millisecond)
			}
		},
		"never reads it": func(*bufio.Reader) { time.Sleep(2 * earlyAnswerTimeout) },
	} {
		for _, size := range []int{300 << 10, 1 << 20, 32 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				t.Parallel()
				address := serveEarly(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nthe whole answer", func(reader *bufio.Reader, socket *net.TCPConn) {
					_ = socket.CloseWrite()
					rest(reader)
				})
				for range 4 {
					began := time.Now()
					body, err := answerUpload(t, address, size)
					assert.NilError(t, err)
					assert.Equal(t, body, "the whole answer")
					assert.Assert(t, time.Since(began) < earlyAnswerTimeout, "it took %s", time.Since(began))
				}
			})
		}
	}
}
