package httpexchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/outcome"
)

// framing is how the end of a body is told.
type framing string

const (
	framingLength framing = "length"
	framingChunks framing = "chunks"
	framingEnd    framing = "end of the connection"
)

// drawnAnswer is what a peer sends, and what is to become of it.
type drawnAnswer struct {
	text, body string
	framing    framing
	// malformed is set where the bytes form no answer, and cut where they end before the answer does.
	malformed, cut bool
	// early is set if the answer comes while the request is being written, of which the peer then reads the rest or nothing.
	early, readsRest bool
	// resets is set if the peer resets the connection after its last byte.
	resets bool
	// pieces are the sizes in which the bytes are written, over and over.
	pieces []int
}

// mustFail reports whether the answer must not count as whole, and mustSucceed whether it must.
func (d *drawnAnswer) mustFail() bool {
	return d.malformed || d.cut || (d.resets && d.framing == framingEnd)
}

func (d *drawnAnswer) mustSucceed() bool {
	return !d.mustFail() && !d.resets && (!d.early || d.readsRest)
}

// drawAnswer draws a sound answer, and perhaps what breaks it.
func drawAnswer(t *rapid.T) *drawnAnswer {
	drawn := &drawnAnswer{
		framing:   rapid.SampledFrom([]framing{framingLength, framingChunks, framingEnd}).Draw(t, "framing"),
		body:      rapid.SampledFrom([]string{"", "one", whole, imitation, strings.Repeat("long ", 3000)}).Draw(t, "body"),
		early:     rapid.Bool().Draw(t, "early"),
		readsRest: rapid.Bool().Draw(t, "reads the rest"),
		resets:    rapid.IntRange(0, 3).Draw(t, "resets") == 0,
		pieces:    rapid.SliceOfN(rapid.IntRange(1, 3000), 1, 4).Draw(t, "pieces"),
	}
	head := drawHead(t, drawn.framing)
	drawn.malformed = head.breakOnce(t)
	text := head.render(t)
	drawn.text = text + drawn.framed()
	drawn.drawCut(t, len(text))
	return drawn
}

// framed returns the fields that delimit the body, and the body.
func (d *drawnAnswer) framed() string {
	switch {
	case d.framing == framingLength:
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(d.body), d.body)
	case d.framing == framingEnd:
		return "\r\n" + d.body
	case d.body == "":
		return "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	default:
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(d.body), d.body)
	}
}

// drawnHead is a head without the fields that delimit the body.
type drawnHead struct {
	interim, version, status, phrase string
	fields                           []string
}

// drawHead draws a sound head.
func drawHead(t *rapid.T, framed framing) *drawnHead {
	head := &drawnHead{
		interim: strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", rapid.IntRange(0, 2).Draw(t, "interim")),
		version: rapid.SampledFrom([]string{"HTTP/1.0", "HTTP/1.1", "HTTP/1.2"}).Draw(t, "version"),
		status:  rapid.SampledFrom([]string{"200", "201", "299", "400", "500", "599"}).Draw(t, "status"),
		phrase:  rapid.SampledFrom([]string{"", " ", " OK"}).Draw(t, "phrase"),
		fields:  []string{"Id: 1"},
	}
	if framed == framingChunks && head.version == "HTTP/1.0" {
		head.version = "HTTP/1.1"
	}
	for range rapid.IntRange(0, 5).Draw(t, "fields") {
		name := rapid.StringMatching("[A-Za-z!#$%&'*+.^_`|~0-9-]{1,20}").Draw(t, "name")
		value := rapid.SampledFrom([]string{"", "x", "a\tb", "\xe8", "a: b", strings.Repeat("x", 9000)}).Draw(t, "value")
		head.fields = append(head.fields, "X-"+name+": "+value)
	}
	return head
}

// breakOnce may make the head malformed, and reports whether it did.
func (h *drawnHead) breakOnce(t *rapid.T) bool {
	switch rapid.SampledFrom([]string{"", "", "", "", "status", "version", "name", "coding", "phrase", "interim"}).Draw(t, "fault") {
	case "status":
		h.status = rapid.SampledFrom([]string{"000", "001", "020", "099", "+20", "600", "601", "999"}).Draw(t, "odd status")
	case "version":
		h.version = rapid.SampledFrom([]string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.0"}).Draw(t, "odd version")
	case "name":
		names := []string{"Odd Name", "Odd ", "Content-Length ", "Transfer Encoding", "Transfer-Encoding ", "Odd\t", "O(d", "\x7f", ""}
		h.fields = append(h.fields, rapid.SampledFrom(names).Draw(t, "odd name")+": 6")
	case "coding":
		h.version, h.fields = "HTTP/1.0", append(h.fields, "Transfer-Encoding: chunked")
	case "phrase":
		h.phrase = " O\x00K"
	case "interim":
		h.interim += "HTTP/1.1 102 Processing\r\nContent-Length: 9\r\n\r\n"
	default:
		return false
	}
	return true
}

// render returns the head, its fields in any order.
func (h *drawnHead) render(t *rapid.T) string {
	fields := rapid.Permutation(h.fields).Draw(t, "order")
	return h.interim + h.version + " " + h.status + h.phrase + "\r\n" + strings.Join(fields, "\r\n") + "\r\n"
}

// drawCut ends the bytes early, in the head alone where nothing but the end of the connection ends the body.
func (d *drawnAnswer) drawCut(t *rapid.T, head int) {
	if rapid.IntRange(0, 3).Draw(t, "is cut") > 0 {
		return
	}
	last := len(d.text) - 1
	if d.framing == framingEnd {
		last = head
	}
	d.text, d.cut = d.text[:rapid.IntRange(0, last).Draw(t, "cut")], true
}

// serve sends the answer and ends the connection.
func (d *drawnAnswer) serve(_ int, socket net.Conn) {
	reader := bufio.NewReader(socket)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if !d.early {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	for number, rest := 0, d.text; rest != ""; number++ {
		size := min(len(rest), d.pieces[number%len(d.pieces)])
		if _, err := io.WriteString(socket, rest[:size]); err != nil {
			return
		}
		rest = rest[size:]
	}
	connection := socket.(*net.TCPConn)
	switch {
	case d.resets:
		_ = connection.SetLinger(0)
	case d.early && d.readsRest:
		_ = connection.CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	}
}

// TestDrawnAnswersAreJudged compares which answers count as whole with which were sent whole, well formed and on a connection that
// ended in order.
func TestDrawnAnswersAreJudged(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		drawn := drawAnswer(rt)
		pool := NewPool(Options{})
		defer pool.Close()
		sent := request("1")
		if drawn.early {
			sent = upload(300 << 10)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var content []byte
		answer, err := pool.Do(ctx, serveRaw(t, drawn.serve), sent)
		if err == nil {
			content, err = io.ReadAll(answer)
			answer.Close()
		}
		var malformed *outcome.MalformedError
		switch {
		case err == nil:
			assert.Assert(rt, !drawn.mustFail(), "%q counts as whole, as %q", drawn.text, content)
			assert.Equal(rt, string(content), drawn.body)
		case errors.As(err, &malformed):
			assert.Assert(rt, drawn.malformed, "%q: %v", drawn.text, err)
		default:
			assert.Assert(rt, !drawn.mustSucceed(), "%q: %v", drawn.text, err)
			assert.Assert(rt, !errors.Is(err, context.DeadlineExceeded), "%q: %v", drawn.text, err)
		}
	})
}
