package openai

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"strings"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/relay"
)

// answering is a caller that the relay answers.
type answering interface {
	relay.Caller
	// finish sends what is left once the relay has returned. It returns true when the
	// connection has to be closed, so that nobody takes the answer for whole.
	finish() (cut bool)
}

var (
	dataField = []byte("data:")
	endMarker = []byte("[DONE]")
)

// eventData returns the data of one whole event of a stream.
func eventData(event []byte) []byte {
	var data []byte
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		value, found := bytes.CutPrefix(line, dataField)
		if !found {
			continue
		}
		if data != nil {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	return data
}

// streamCaller sends an answer as server-sent events.
type streamCaller struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// failed is set while a back end's own failure is passed on as it is.
	failed   bool
	aborted  bool
	identity chunkIdentity
}

func newStreamCaller(writer http.ResponseWriter) *streamCaller {
	return &streamCaller{writer: writer, controller: http.NewResponseController(writer)}
}

// Begin implements relay.Caller.
func (c *streamCaller) Begin(head relay.Head) error {
	header := c.writer.Header()
	if head.Status >= http.StatusMultipleChoices {
		c.failed = true
		passFailure(c.writer, head)
		return nil
	}
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	c.writer.WriteHeader(http.StatusOK)
	return nil
}

// passFailure sends the head of a back end's own failure.
func passFailure(writer http.ResponseWriter, head relay.Head) {
	maps.Copy(writer.Header(), http.Header{"Content-Type": head.Header["Content-Type"]})
	writer.Header().Set(headerRunState, string(identity.RunStateRan))
	writer.Header().Set(headerShouldRetry, "false")
	writer.WriteHeader(head.Status)
}

// Write implements relay.Caller. A piece of a stream is one whole event.
func (c *streamCaller) Write(piece []byte) error {
	if c.failed {
		_, err := c.writer.Write(piece)
		return err
	}
	data := eventData(piece)
	if len(data) == 0 {
		return nil
	}
	return c.send("", c.identity.apply(data))
}

func (c *streamCaller) send(name string, data []byte) error {
	var event bytes.Buffer
	if name != "" {
		event.WriteString("event: " + name + "\n")
	}
	event.WriteString("data: ")
	event.Write(bytes.ReplaceAll(data, []byte("\n"), []byte("\ndata: ")))
	event.WriteString("\n\n")
	_, err := c.writer.Write(event.Bytes())
	return err
}

// Flush implements relay.Caller.
func (c *streamCaller) Flush() error { return c.controller.Flush() }

// Abort implements relay.Caller: the last event is an error, and the connection is closed
// without the end marker.
func (c *streamCaller) Abort() {
	c.aborted = true
	failed := brokenAnswer()
	failed.Message = "the answer broke off and cannot go on"
	if c.send("error", failed.body()) == nil {
		_ = c.controller.Flush() // the connection is closed next
	}
}

// Refuse implements relay.Caller.
func (c *streamCaller) Refuse(refusal relay.Refusal) { failureOf(refusal).write(c.writer) }

func (c *streamCaller) finish() bool { return c.aborted }

// wholeCaller gathers an answer and sends it as one JSON body.
type wholeCaller struct {
	writer http.ResponseWriter
	chat   bool
	head   relay.Head
	failed bytes.Buffer
	answer wholeAnswer
	text   strings.Builder
	// finished is set once the back end has said why the answer ended.
	finished bool
	// broken is set when the answer cannot be read.
	broken  bool
	sent    bool
	message wholeMessage
}

func newWholeCaller(writer http.ResponseWriter, chat bool) *wholeCaller {
	return &wholeCaller{writer: writer, chat: chat, message: wholeMessage{Role: assistantRole}}
}

// Begin implements relay.Caller.
func (c *wholeCaller) Begin(head relay.Head) error {
	c.head = head
	return nil
}

// Write implements relay.Caller. A piece of a stream is one whole event.
func (c *wholeCaller) Write(piece []byte) error {
	if c.head.Status >= http.StatusMultipleChoices {
		c.failed.Write(piece)
		return nil
	}
	data := eventData(piece)
	if len(data) == 0 || bytes.Equal(data, endMarker) {
		return nil
	}
	var decoded chunk
	if err := json.Unmarshal(data, &decoded); err != nil {
		c.broken = true
		return nil
	}
	c.add(decoded)
	return nil
}

// Flush implements relay.Caller. The relay flushes at the end of an answer too, but also
// before; the answer is sent by finish.
func (c *wholeCaller) Flush() error { return nil }

// Abort implements relay.Caller.
func (c *wholeCaller) Abort() { c.broken = true }

// Refuse implements relay.Caller.
func (c *wholeCaller) Refuse(refusal relay.Refusal) {
	c.sent = true
	failureOf(refusal).write(c.writer)
}

// finish sends what was gathered. Nothing was sent before, so that nothing is ever cut.
func (c *wholeCaller) finish() bool {
	switch {
	case c.sent:
	case c.head.Status >= http.StatusMultipleChoices:
		passFailure(c.writer, c.head)
		_, _ = c.writer.Write(c.failed.Bytes())
	case c.broken, !c.finished:
		brokenAnswer().write(c.writer)
	default:
		c.sendWhole()
	}
	return false
}
