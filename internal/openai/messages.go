package openai

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode/utf8"
)

// Names of the fields of a chat message that make the prompt.
const (
	fieldRole    = "role"
	fieldContent = "content"
)

// decodeMessages reads the messages field. Long prompts are the usual case, so
// plain messages are read without encoding/json, which scans each text four
// times. All others, and all errors, are left to it.
func decodeMessages(member field, body []byte) ([]chatMessage, *failure) {
	if messages, plain := plainMessages(member.raw); plain {
		return messages, nil
	}
	var messages []chatMessage
	failed := member.decode(body, &messages)
	return messages, failed
}

// plainMessages reads an array of messages whose content is a string. The second
// result is false for anything else. The JSON must be valid.
func plainMessages(raw []byte) ([]chatMessage, bool) {
	if raw[0] != '[' {
		return nil, false
	}
	var messages []chatMessage
	at := skipJSONSpace(raw, 1)
	for raw[at] != ']' {
		end := skipValue(raw, at)
		message, plain := plainMessage(raw[at:end])
		if !plain {
			return nil, false
		}
		messages = append(messages, message)
		at = skipJSONSpace(raw, end)
		if raw[at] == ',' {
			at = skipJSONSpace(raw, at+1)
		}
	}
	return messages, true
}

func plainMessage(raw []byte) (chatMessage, bool) {
	var message chatMessage
	if raw[0] != '{' {
		return message, false
	}
	members, failed := members(raw)
	if failed != nil {
		return message, false
	}
	for _, member := range members {
		plain := true
		switch {
		case member.name == fieldRole:
			message.Role, plain = unquote(member.raw)
		case member.name == fieldContent:
			var text string
			text, plain = unquote(member.raw)
			message.Content = chatContent(text)
		case strings.EqualFold(member.name, fieldRole), strings.EqualFold(member.name, fieldContent):
			plain = false // encoding/json takes these names as well
		}
		if !plain {
			return message, false
		}
	}
	return message, true
}

// simpleEscapes are the escapes of one character, and what they stand for.
var simpleEscapes = [256]byte{
	'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t',
}

// unquote reads a valid JSON string. The second result is false for another kind
// of value.
func unquote(raw []byte) (string, bool) {
	if raw[0] != '"' {
		return "", false
	}
	if !utf8.Valid(raw) || bytes.Contains(raw, []byte(`\u`)) {
		var text string
		err := json.Unmarshal(raw, &text)
		return text, err == nil
	}
	rest := raw[1 : len(raw)-1]
	var text strings.Builder
	text.Grow(len(rest))
	for {
		escape := bytes.IndexByte(rest, '\\')
		if escape < 0 {
			text.Write(rest)
			return text.String(), true
		}
		text.Write(rest[:escape])
		text.WriteByte(simpleEscapes[rest[escape+1]])
		rest = rest[escape+2:]
	}
}
