package enginehttp

import (
	"bytes"

	"github.com/lotusward/lotusward/internal/core/stream"
)

// The names that the scan of a chunk looks for. A quote inside a JSON string is
// escaped, so a name with both of its quotes bare is a name and never text.
var (
	doneMarker       = []byte("[DONE]")
	nameFinishReason = []byte(`"finish_reason"`)
	nameChoices      = []byte(`"choices"`)
	nameDelta        = []byte(`"delta"`)
	nameContent      = []byte(`"content"`)
	nameText         = []byte(`"text"`)
	nameError        = []byte(`"error"`)
	nameLogprobs     = []byte(`"logprobs"`)
	valueNull        = []byte("null")
	emptyList        = []byte("[]")
)

// opaqueNames are parts of an answer that its text does not hold.
var opaqueNames = [][]byte{
	[]byte(`"tool_calls"`),
	[]byte(`"function_call"`),
	[]byte(`"reasoning_content"`),
	[]byte(`"refusal"`),
}

// classify tells what an event is and finds its text, without decoding it: this
// runs for each token that is relayed.
func classify(frame *stream.Frame) {
	if bytes.Equal(frame.Data, doneMarker) {
		frame.Kind = stream.KindDone
		return
	}
	choices, found := valueOf(frame.Data, nameChoices)
	if !found {
		frame.Kind = stream.KindError
		return
	}
	if _, failed := valueOf(frame.Data[:len(frame.Data)-len(choices)], nameError); failed {
		frame.Kind = stream.KindError
		return
	}
	if bytes.HasPrefix(choices, emptyList) {
		frame.Kind = stream.KindUsage
		return
	}
	findText(frame, choices)
	if finishReason, present := valueOf(choices, nameFinishReason); present && !bytes.HasPrefix(finishReason, valueNull) {
		frame.Kind = stream.KindFinish
	}
}

// findText finds the text of a chat chunk's delta or of a completion chunk.
func findText(frame *stream.Frame, choices []byte) {
	name, scope := nameText, choices
	if delta, isChat := valueOf(choices, nameDelta); isChat {
		name, scope = nameContent, delta
		frame.Opaque = hasOpaque(delta)
	}
	if logprobs, present := valueOf(choices, nameLogprobs); present && !bytes.HasPrefix(logprobs, valueNull) {
		frame.Opaque = true
	}
	value, found := valueOf(scope, name)
	if found {
		frame.Text = stringBody(value)
	}
}

func hasOpaque(delta []byte) bool {
	for _, name := range opaqueNames {
		if value, found := valueOf(delta, name); found && !bytes.HasPrefix(value, valueNull) {
			return true
		}
	}
	return false
}

// valueOf returns what follows the colon after a quoted name, to the end of data.
func valueOf(data, quotedName []byte) ([]byte, bool) {
	for {
		at := bytes.Index(data, quotedName)
		if at < 0 {
			return nil, false
		}
		rest := skipSpace(data[at+len(quotedName):])
		if len(rest) > 0 && rest[0] == ':' {
			return skipSpace(rest[1:]), true
		}
		data = data[at+len(quotedName):]
	}
}

func skipSpace(data []byte) []byte {
	for len(data) > 0 && (data[0] == ' ' || data[0] == '\t' || data[0] == '\n' || data[0] == '\r') {
		data = data[1:]
	}
	return data
}

// stringBody returns what stands between the quotes of the JSON string that data
// starts with, still escaped; it is empty if data starts with no whole string.
func stringBody(data []byte) []byte {
	if len(data) == 0 || data[0] != '"' {
		return nil
	}
	for index := 1; index < len(data); index++ {
		switch data[index] {
		case '\\':
			index++
		case '"':
			return data[1:index]
		}
	}
	return nil
}
