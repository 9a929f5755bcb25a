package prefix

import (
	"encoding/json"
	"fmt"
	"strings"
)

// assistantRole is the role of the answer that a chat prompt asks for.
const assistantRole = "assistant"

// ChatMessage is one message of a chat prompt.
type ChatMessage struct {
	Role    string      `json:"role"`
	Content ChatContent `json:"content"`
}

// ChatContent is the text of a chat message. In JSON it is a string, or an array
// of parts of type "text" whose texts are joined.
type ChatContent string

// chatContentPart is one part of a message's content.
type chatContentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler. It fails on parts that are not text.
func (c *ChatContent) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = ChatContent(text)
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
	*c = ChatContent(joined.String())
	return nil
}

// RenderChat renders the messages of a chat into the prompt that the engine
// computes. Each message is its role, a newline, its content and a newline. The
// prompt ends with the role of the answer, so that the answer continues it and a
// later turn of the same chat shares both.
func RenderChat(messages []ChatMessage) []byte {
	size := len(assistantRole) + 1
	for _, message := range messages {
		size += len(message.Role) + len(message.Content) + 2
	}
	rendered := make([]byte, 0, size)
	for _, message := range messages {
		rendered = append(rendered, message.Role...)
		rendered = append(rendered, '\n')
		rendered = append(rendered, message.Content...)
		rendered = append(rendered, '\n')
	}
	rendered = append(rendered, assistantRole...)
	return append(rendered, '\n')
}
