package httpexchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/outcome"
)

// imitation is a body that looks like an answer.
const imitation = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nforged"

// checkMalformed holds that bytes form no answer, that the error names the part, and that their connection is not used again.
func checkMalformed(t *testing.T, text, part string) {
	t.Helper()
	address := serveRaw(t, func(number int, socket net.Conn) {
		reader := bufio.NewReader(socket)
		_, _ = readRequest(reader)
		if number > 0 {
			_, _ = io.WriteString(socket, whole)
			return
		}
		_, _ = io.WriteString(socket, text)
		_, _ = readRequest(reader)
	})
	pool := NewPool(Options{})
	t.Cleanup(pool.Close)
	body, err := exchange(t, pool, address, "1")
	var malformed *outcome.MalformedError
	assert.Assert(t, errors.As(err, &malformed), "%q, %v", body, err)
	assert.Equal(t, malformed.Part, part)
	var failed *Error
	assert.Assert(t, !errors.As(err, &failed) || failed.Stage == StageSent)
	body, err = exchange(t, pool, address, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
	assert.Equal(t, pool.Opened(), uint64(2))
}

// TestImpossibleStatusIsNoAnswer guards against an answer whose status HTTP doesn't have, and against a body that is read as the next
// head because its own head counts as an interim one.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "001", "020", "099", "+20", "+99", "600", "999"} {
		for name, rest := range map[string]string{
			"with a length":          " Odd\r\nId: 1\r\nContent-Length: 58\r\n\r\n" + imitation,
			"without a length":       " Odd\r\nId: 1\r\n\r\n" + imitation,
			"in chunks":              " Odd\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + imitation,
			"without a phrase":       "\r\nId: 1\r\n\r\n" + imitation,
			"after an interim one":   "",
			"of another's exchange":  " Odd\r\nId: 2\r\nContent-Length: 0\r\n\r\n" + imitation,
			"without a body":         " Odd\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
			"with other bytes after": " Odd\r\nId: 1\r\n\r\nforged",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				text := "HTTP/1.1 " + status + rest
				if rest == "" {
					text = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " + status + " Odd\r\n\r\n" + imitation
				}
				checkMalformed(t, text, partStatus)
			})
		}
	}
}

// TestInterimAnswerHasNoBody guards against a body that is read as the next head because its own head is an interim one.
func TestInterimAnswerHasNoBody(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"length":       "HTTP/1.1 103 Early Hints\r\nContent-Length: 48\r\n\r\n" + imitation,
		"chunks":       "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + imitation,
		"other status": "HTTP/1.1 199 Odd\r\nContent-Length: 48\r\n\r\n" + imitation,
		"second":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nContent-Length: 48\r\n\r\n" + imitation,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkMalformed(t, text, partInterim)
		})
	}
}

// TestInterimAnswersArePassedOver guards against refusing answers that follow interim ones.
func TestInterimAnswersArePassedOver(t *testing.T) {
	t.Parallel()
	address := serveRaw(t, func(_ int, socket net.Conn) {
		_, _ = readRequest(bufio.NewReader(socket))
		_, _ = io.WriteString(socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 0\r\n\r\n"+whole)
	})
	pool := NewPool(Options{})
	t.Cleanup(pool.Close)
	body, err := exchange(t, pool, address, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
}

// TestOtherProtocolIsNoAnswer guards against an answer whose first line names another protocol's version, or holds control bytes.
func TestOtherProtocolIsNoAnswer(t *testing.T) {
	t.Parallel()
	fields := "\r\nId: 1\r\nContent-Length: 6\r\n\r\nforged"
	for line, part := range map[string]string{
		"HTTP/0.0 200 OK": partVersion, "HTTP/0.9 200 OK": partVersion, "HTTP/2.0 200 OK": partVersion, "HTTP/2.1 200 OK": partVersion,
		"HTTP/3.0 200 OK": partVersion, "HTTP/9.9 200 OK": partVersion, "HTTP/2.0 103 Hints": partVersion,
		"HTTP/1.1 200 O\x00K": partPhrase, "HTTP/1.1 200 O\rId: 2": partPhrase, "HTTP/1.1 200 O\x7fK": partPhrase, "HTTP/1.0 200 \x1b[2J": partPhrase,
		"HTTP/2 200 OK": partHead, "HTTP/1 200 OK": partHead, "HTTP/1.10 200 OK": partHead, "HTTP/1.x 200 OK": partHead, "HTTP/+1.1 200 OK": partHead,
		"http/1.1 200 OK": partHead, "ICY 200 OK": partHead, "RTSP/1.0 200 OK": partHead, "SIP/2.0 200 OK": partHead, "HTTP/1.1\t200 OK": partHead, "200 OK": partHead,
	} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			checkMalformed(t, line+fields, part)
		})
	}
}

// TestLaterMinorVersionIsAnswered guards against refusing answers that HTTP lets a recipient read as HTTP/1.1.
func TestLaterMinorVersionIsAnswered(t *testing.T) {
	t.Parallel()
	for _, line := range []string{"HTTP/1.0 200 OK", "HTTP/1.1 200 OK", "HTTP/1.2 200 OK", "HTTP/1.9 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 T\tr\xe8s bien"} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, func(_ int, socket net.Conn) {
				_, _ = readRequest(bufio.NewReader(socket))
				_, _ = io.WriteString(socket, line+"\r\nId: 1\r\nFolded: a\r\n b\r\nContent-Length: 3\r\n\r\none")
			})
			pool := NewPool(Options{})
			t.Cleanup(pool.Close)
			body, err := exchange(t, pool, address, "1")
			assert.NilError(t, err)
			assert.Equal(t, body, "one")
		})
	}
}

// TestFieldNameWithBlankIsNoAnswer guards against passing on a field whose name is none, and against a body that is not the peer's
// because a field of that kind was meant to delimit it.
func TestFieldNameWithBlankIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, field := range []string{
		"Odd Name: x", "Odd : x", "Content-Length : 6", "Content Length: 6", "Content-Length  : 6", "Transfer-Encoding : chunked",
		"Transfer Encoding: chunked", "Id : 1", "Lotusward-Not-Executed : 1", "Connection : close", "Set-Cookie : a=b",
	} {
		for name, text := range map[string]string{
			"without a length": answerHead + field + "\r\n\r\n" + imitation,
			"with a length":    answerHead + field + "\r\nContent-Length: 6\r\n\r\nforged",
			"first":            "HTTP/1.1 200 OK\r\nOdd Name: x\r\n" + field + "\r\nContent-Length: 6\r\n\r\nforged",
			"interim":          "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + whole,
			"of another":       "HTTP/1.1 200 OK\r\nId: 2\r\n" + field + "\r\nContent-Length: 0\r\n\r\n" + whole,
			"HTTP 1.0":         "HTTP/1.0 200 OK\r\nId: 1\r\n" + field + "\r\n\r\nforged",
			"trailer":          answerHead + "Transfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n0\r\n" + field + "\r\n\r\n",
		} {
			t.Run(field+" "+name, func(t *testing.T) {
				t.Parallel()
				checkMalformed(t, text, partFieldName)
			})
		}
	}
}

// TestCodingOfEarlierVersionIsNoAnswer guards against a body in chunks that is passed on with its chunk sizes, since HTTP/1.0 has no
// Transfer-Encoding, and against one that ends within a chunk.
func TestCodingOfEarlierVersionIsNoAnswer(t *testing.T) {
	t.Parallel()
	const head, body = "HTTP/1.0 200 OK\r\nId: 1\r\n", "\r\n6\r\nforged\r\n0\r\n\r\n"
	long := "Long: " + strings.Repeat("x", 3*readBufferBytes) + "\r\n"
	for name, text := range map[string]string{
		"without a length":       head + "Transfer-Encoding: chunked\r\n" + body,
		"with a length":          head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" + body,
		"other coding":           head + "Transfer-Encoding: gzip\r\n" + body,
		"other case":             head + "tRANSFER-eNCODING: identity\r\n" + body,
		"kept":                   head + "Connection: keep-alive\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n" + body,
		"after a long field":     head + long + "Transfer-Encoding: chunked\r\n" + body,
		"before a long field":    head + "Transfer-Encoding: chunked\r\n" + long + body,
		"after an interim one":   "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n" + body,
		"after long interim one": "HTTP/1.1 103 Early Hints\r\n" + long + "\r\n" + head + "Transfer-Encoding: chunked\r\n" + body,
		"of another's exchange":  "HTTP/1.0 200 OK\r\nId: 2\r\nConnection: keep-alive\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n" + whole,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkMalformed(t, text, partCoding)
		})
	}
}

// TestHeadInPiecesIsReadAsOne guards against a verdict that depends on how the bytes of a head arrive.
func TestHeadInPiecesIsReadAsOne(t *testing.T) {
	t.Parallel()
	const chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"
	for text, part := range map[string]string{
		answerHead + chunks: "",
		"HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none": "",
		"HTTP/1.0 200 OK\r\nId: 1\r\n" + chunks:                    partCoding,
		answerHead + "Odd Name: x\r\n" + chunks:                    partFieldName,
		"HTTP/1.1 000 Odd\r\n\r\n" + whole:                         partStatus,
	} {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, func(_ int, socket net.Conn) {
				reader := bufio.NewReader(socket)
				_, _ = readRequest(reader)
				for _, one := range []byte(text) {
					_, _ = socket.Write([]byte{one})
					time.Sleep(100 * time.Microsecond)
				}
				_, _ = readRequest(reader)
			})
			pool := NewPool(Options{})
			t.Cleanup(pool.Close)
			body, err := exchange(t, pool, address, "1")
			if part == "" {
				assert.NilError(t, err)
				assert.Equal(t, body, "one")
				return
			}
			var malformed *outcome.MalformedError
			assert.Assert(t, errors.As(err, &malformed), "%v", err)
			assert.Equal(t, malformed.Part, part)
		})
	}
}

// TestEarlierVersionIsAnswered guards against refusing sound answers of HTTP/1.0.
func TestEarlierVersionIsAnswered(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 3*readBufferBytes)
	for name, fields := range map[string]string{
		"with a length": "Content-Length: 3\r\n", "until closed": "", "named in a value": "Odd: Transfer-Encoding: chunked\r\n",
		"named in a phrase": "Odd: x\r\n Transfer-Encoding: chunked\r\n", "long": "Long: " + long + "\r\nContent-Length: 3\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, func(_ int, socket net.Conn) {
				_, _ = readRequest(bufio.NewReader(socket))
				_, _ = io.WriteString(socket, "HTTP/1.0 200 Transfer-Encoding: chunked\r\nId: 1\r\n"+fields+"\r\none")
			})
			pool := NewPool(Options{})
			t.Cleanup(pool.Close)
			body, err := exchange(t, pool, address, "1")
			assert.NilError(t, err)
			assert.Equal(t, body, "one")
		})
	}
}

// TestBytesThatAreNoHeadAreNamed guards against a back end that sends other bytes and counts as one that lost its connection.
func TestBytesThatAreNoHeadAreNamed(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"no answer":             "no answer at all\r\n\r\n",
		"negative status":       "HTTP/1.1 -20 Odd\r\nId: 1\r\n\r\n" + imitation,
		"long status":           "HTTP/1.1 2000 Odd\r\nId: 1\r\n\r\n" + imitation,
		"status in letters":     "HTTP/1.1 20x Odd\r\nId: 1\r\n\r\n" + imitation,
		"contradictory lengths": answerHead + "Content-Length: 3\r\nContent-Length: 6\r\n\r\nforged",
		"list of lengths":       answerHead + "Content-Length: 3, 6\r\n\r\nforged",
		"signed length":         answerHead + "Content-Length: +6\r\n\r\nforged",
		"negative length":       answerHead + "Content-Length: -1\r\n\r\nforged",
		"empty length":          answerHead + "Content-Length: \r\n\r\nforged",
		"unknown coding":        answerHead + "Transfer-Encoding: other\r\n\r\nforged",
		"two codings":           answerHead + "Transfer-Encoding: gzip, chunked\r\n\r\nforged",
		"control byte in name":  answerHead + "Od\x01d: x\r\nContent-Length: 6\r\n\r\nforged",
		"tab in name":           answerHead + "Od\td: x\r\nContent-Length: 6\r\n\r\nforged",
		"byte over 127 in name": answerHead + "Od\xffd: x\r\nContent-Length: 6\r\n\r\nforged",
		"DEL in name":           answerHead + "Od\x7fd: x\r\nContent-Length: 6\r\n\r\nforged",
		"parenthesis in name":   answerHead + "Od(d: x\r\nContent-Length: 6\r\n\r\nforged",
		"no name":               answerHead + ": x\r\nContent-Length: 6\r\n\r\nforged",
		"no colon":              answerHead + "Odd\r\nContent-Length: 6\r\n\r\nforged",
		"NUL in value":          answerHead + "Odd: \x00\r\nContent-Length: 6\r\n\r\nforged",
		"CR in value":           answerHead + "Odd: a\rb\r\nContent-Length: 6\r\n\r\nforged",
		"control byte in value": answerHead + "Odd: a\x01b\r\nContent-Length: 6\r\n\r\nforged",
		"blank before a name":   "HTTP/1.1 200 OK\r\n Id: 1\r\nContent-Length: 6\r\n\r\nforged",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkMalformed(t, text, partHead)
		})
	}
}

// TestHeadThatIsCutIsNoAnswer guards against an answer with an empty or short body whose head or chunks were cut, and against one that
// counts as malformed although its connection was lost.
func TestHeadThatIsCutIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"length":          answerHead + "Content-Length: 3\r\n\r\none",
		"chunks":          answerHead + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
		"no length, head": answerHead + "Odd: x\r\n\r\n",
	} {
		cuts := len(text)
		for end := range cuts {
			for _, resets := range []bool{false, true} {
				address := serveRaw(t, func(_ int, socket net.Conn) {
					_, _ = readRequest(bufio.NewReader(socket))
					_, _ = io.WriteString(socket, text[:end])
					if resets {
						time.Sleep(time.Millisecond)
						_ = socket.(*net.TCPConn).SetLinger(0)
					}
				})
				body, err := exchange(t, NewPool(Options{}), address, "1")
				assert.Assert(t, err != nil, "%s, cut after %q: %q", name, text[:end], body)
				var malformed *outcome.MalformedError
				assert.Assert(t, !errors.As(err, &malformed), "%s, cut after %q: %v", name, strings.TrimSpace(text[:end]), err)
			}
		}
	}
}

// TestMalformedPartIsQuotedAsSent guards against log lines that name another value than the one that came.
func TestMalformedPartIsQuotedAsSent(t *testing.T) {
	t.Parallel()
	for text, detail := range map[string]string{
		"HTTP/1.1 000 Odd\r\n\r\n":                                    "000 Odd",
		"HTTP/1.1 +20 Odd\r\n\r\n":                                    "+20 Odd",
		"HTTP/1.1 101 Switch\r\n\r\n":                                 "101 Switch",
		"HTTP/1.1 103 Hints\r\nContent-Length: 48\r\n\r\n":            "103 Hints, Content-Length: 48",
		"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n": "100 Continue, Transfer-Encoding: chunked",
		"HTTP/2.0 200 OK\r\n\r\n":                                     "HTTP/2.0",
		answerHead + "Odd Name: x\r\n\r\n":                            "Odd Name",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n": "gzip, chunked",
	} {
		t.Run(detail, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, func(_ int, socket net.Conn) {
				reader := bufio.NewReader(socket)
				_, _ = readRequest(reader)
				_, _ = io.WriteString(socket, text)
				_, _ = readRequest(reader)
			})
			pool := NewPool(Options{})
			t.Cleanup(pool.Close)
			_, err := exchange(t, pool, address, "1")
			var malformed *outcome.MalformedError
			assert.Assert(t, errors.As(err, &malformed), "%v", err)
			assert.Equal(t, malformed.Detail, detail)
		})
	}
}
