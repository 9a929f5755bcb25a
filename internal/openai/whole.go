package openai

import (
	"encoding/json"
	"net/http"
)

// chunkHead is what an answer takes over from its first chunk.
type chunkHead struct {
	ID                string          `json:"id"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
}

// chunk is an event of an engine's stream, as far as an answer is made of it.
type chunk struct {
	chunkHead
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Delta chunkDelta `json:"delta"`
	// Text is of answers that are no chat.
	Text         string          `json:"text"`
	FinishReason json.RawMessage `json:"finish_reason"`
	Logprobs     *chunkLogprobs  `json:"logprobs"`
}

type chunkDelta struct {
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls"`
	Refusal   string     `json:"refusal"`
	Reasoning string     `json:"reasoning_content"`
}

type chunkLogprobs struct {
	Content []json.RawMessage `json:"content"`
}

// toolCall is a tool call, or a part of one that its index names.
type toolCall struct {
	Index    *int         `json:"index,omitempty"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// The object names of whole answers.
const (
	objectChat       = "chat.completion"
	objectCompletion = "text_completion"
)

// wholeAnswer is the JSON of an answer that is not streamed.
type wholeAnswer struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// SystemFingerprint stands as the engine wrote it.
	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
	Choices           []wholeChoice   `json:"choices"`
	Usage             json.RawMessage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index        int             `json:"index"`
	Message      *wholeMessage   `json:"message,omitempty"`
	Text         *string         `json:"text,omitempty"`
	Logprobs     *chunkLogprobs  `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type wholeMessage struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal"`
	Reasoning string     `json:"reasoning_content,omitempty"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

// add takes in one chunk of the answer.
func (c *wholeCaller) add(decoded chunk) {
	if c.answer.ID == "" {
		c.answer.ID, c.answer.Created = decoded.ID, decoded.Created
		c.answer.Model, c.answer.SystemFingerprint = decoded.Model, decoded.SystemFingerprint
	}
	if len(decoded.Usage) > 0 && string(decoded.Usage) != "null" {
		c.answer.Usage = decoded.Usage
	}
	for _, choice := range decoded.Choices {
		c.addChoice(choice)
	}
}

func (c *wholeCaller) addChoice(choice chunkChoice) {
	c.text.WriteString(choice.Delta.Content)
	c.text.WriteString(choice.Text)
	c.message.Reasoning += choice.Delta.Reasoning
	if refused := choice.Delta.Refusal; refused != "" {
		if c.message.Refusal != nil {
			refused = *c.message.Refusal + refused
		}
		c.message.Refusal = &refused
	}
	for _, part := range choice.Delta.ToolCalls {
		c.addToolCall(part)
	}
	whole := c.choice()
	if choice.Logprobs != nil {
		if whole.Logprobs == nil {
			whole.Logprobs = &chunkLogprobs{}
		}
		whole.Logprobs.Content = append(whole.Logprobs.Content, choice.Logprobs.Content...)
	}
	if reason := string(choice.FinishReason); reason != "" && reason != "null" {
		whole.FinishReason = choice.FinishReason
		c.finished = true
	}
}

// choice is the answer's only choice.
func (c *wholeCaller) choice() *wholeChoice {
	if len(c.answer.Choices) == 0 {
		c.answer.Choices = []wholeChoice{{}}
	}
	return &c.answer.Choices[0]
}

// addToolCall adds a part to the tool call that its index names.
func (c *wholeCaller) addToolCall(part toolCall) {
	calls := c.message.ToolCalls
	if part.Index == nil || *part.Index < 0 || *part.Index >= len(calls) {
		part.Index = nil
		c.message.ToolCalls = append(calls, part)
		return
	}
	call := &calls[*part.Index]
	call.ID += part.ID
	call.Function.Name += part.Function.Name
	call.Function.Arguments += part.Function.Arguments
}

// sendWhole sends the gathered answer.
func (c *wholeCaller) sendWhole() {
	text := c.text.String()
	c.answer.Object = objectCompletion
	if c.chat {
		c.answer.Object = objectChat
		if text != "" || len(c.message.ToolCalls) == 0 {
			c.message.Content = &text
		}
		c.choice().Message = &c.message
	} else {
		c.choice().Text = &text
	}
	c.writer.Header().Set("Content-Type", "application/json")
	c.writer.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(c.writer).Encode(c.answer) // a caller that has left needs no answer
}
