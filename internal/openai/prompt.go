package openai

import (
	"encoding/json"
	"fmt"
	"strings"
)

// assistantRole is the role of the answer that a chat prompt asks for.
const assistantRole = "assistant"

// chatMessage is one message of a chat prompt.
type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a chat message. In JSON it is a string, or an array
// of parts of type "text" whose texts are joined.
type chatContent string

// chatContentPart is one part of a message's content.
type chatContentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler. It fails on parts that are not text.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []chatContentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content is neither a string nor an array of text parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported", part.Type)
		}
		joined.WriteString(part.Text)
	}
	*c = chatContent(joined.String())
	return nil
}

// renderChat renders the messages of a chat as one text. Each message is its role, a
// newline, its content and a newline. The text ends with the role of the answer, so
// that a later turn of the same chat begins with all of it.
func renderChat(messages []chatMessage) []byte {
	var rendered []byte
	for _, message := range messages {
		rendered = append(rendered, message.Role...)
		rendered = append(rendered, '\n')
		rendered = append(rendered, message.Content...)
		rendered = append(rendered, '\n')
	}
	rendered = append(rendered, assistantRole...)
	return append(rendered, '\n')
}
