package enginehttp

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/stream"
)

const fuzzMaxBytes = 1 << 16

// readAll reads all events and copies them.
func readAll(source io.Reader) ([]stream.Frame, error) {
	reader := newSSEReader(source, fuzzMaxBytes)
	defer reader.release()
	var frames []stream.Frame
	for {
		frame, err := reader.next()
		if err != nil {
			return frames, err
		}
		frame.Data = bytes.Clone(frame.Data)
		frame.Text = bytes.Clone(frame.Text)
		frames = append(frames, frame)
	}
}

// FuzzSSEReader demands that the events do not depend on how the bytes arrive,
// and that no offset is out of range.
func FuzzSSEReader(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\\\"b\"},\"finish_reason\":null}]}\n\n"))
	f.Add([]byte("id:3+2\r\ndata:{\"choices\" : [ {\"text\": \"x\"}]}\r\n\r\n: ping\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id: 18446744073709551615+1\ndata: {}\n\n"))
	f.Add([]byte("data: {\"choices\":[],\"usage\":{}}\ndata: x\n\ndata: cut"))
	f.Fuzz(func(t *testing.T, input []byte) {
		whole, wholeErr := readAll(bytes.NewReader(input))
		pieces, piecesErr := readAll(iotest.OneByteReader(bytes.NewReader(input)))
		assert.DeepEqual(t, whole, pieces)
		assert.Equal(t, wholeErr.Error(), piecesErr.Error())
		for _, frame := range whole {
			assert.Assert(t, frame.Offset >= stream.NoOffset && frame.Offset <= maxCount)
			assert.Assert(t, frame.Tokens >= 0 && frame.Tokens <= maxCount)
		}
	})
}

// chatChunk is a chunk as an engine writes it.
type chatChunk struct {
	ID      string       `json:"id"`
	Choices []chatChoice `json:"choices"`
	Usage   *int         `json:"usage"`
}

type chatChoice struct {
	Delta        map[string]any `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	Logprobs     *string        `json:"logprobs"`
	FinishReason *string        `json:"finish_reason"`
}

// TestTextIsFoundAsJSONHasIt compares the scan with what encoding/json reads,
// for texts that try to look like the names that the scan looks for.
func TestTextIsFoundAsJSONHasIt(t *testing.T) {
	hostile := rapid.SampledFrom([]string{
		`"content":"x"`, `"finish_reason":"stop"`, `\"`, `"choices":[]`, `"error":{}`, "é😀", "\n\t", "data: [DONE]", `\`, "",
	})
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(hostile, 0, 4).Draw(t, "text"), rapid.String().Draw(t, "between"))
		choice := chatChoice{Text: &text}
		if rapid.Bool().Draw(t, "chat") {
			choice = chatChoice{Delta: map[string]any{"content": text, "role": "assistant"}}
		}
		if rapid.Bool().Draw(t, "finish") {
			choice.FinishReason = &text
		}
		data, err := json.Marshal(chatChunk{ID: text, Choices: []chatChoice{choice}})
		assert.NilError(t, err)
		if rapid.Bool().Draw(t, "indented") {
			var indented bytes.Buffer
			assert.NilError(t, json.Indent(&indented, data, "", " "))
			data = indented.Bytes()
		}
		event := "id: 4\ndata: " + strings.ReplaceAll(string(data), "\n", "\ndata: ") + "\n\n"
		frames, _ := readAll(strings.NewReader(event))
		assert.Equal(t, len(frames), 1)
		var decoded string
		assert.NilError(t, json.Unmarshal([]byte(`"`+string(frames[0].Text)+`"`), &decoded))
		var want string
		raw, _ := json.Marshal(text)
		assert.NilError(t, json.Unmarshal(raw, &want))
		assert.Equal(t, decoded, want)
		assert.Equal(t, frames[0].Kind == stream.KindFinish, choice.FinishReason != nil)
		assert.Assert(t, !frames[0].Opaque)
	})
}

// BenchmarkSSEReader gives the cost of one event of usual size.
func BenchmarkSSEReader(b *testing.B) {
	event := []byte("id: 1234\ndata: {\"id\":\"cmpl-0189\",\"object\":\"chat.completion.chunk\",\"created\":1700000000," +
		"\"model\":\"coach\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" lap\"},\"finish_reason\":null}]}\n\n")
	source := &endless{event: event}
	reader := newSSEReader(source, fuzzMaxBytes)
	defer reader.release()
	b.ReportAllocs()
	b.SetBytes(int64(len(event)))
	for b.Loop() {
		if _, err := reader.next(); err != nil {
			b.Fatal(err)
		}
	}
}

// endless repeats an event for ever.
type endless struct {
	event []byte
	at    int
}

func (e *endless) Read(buffer []byte) (int, error) {
	count := copy(buffer, e.event[e.at:])
	e.at = (e.at + count) % len(e.event)
	return count, nil
}
