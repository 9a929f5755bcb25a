package callerhttp

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/lotusward/lotusward/internal/core/stream"
)

// wholeSink gathers an answer and sends it as one JSON body.
type wholeSink struct {
	writer http.ResponseWriter
	chat   bool
	head   chunkHead
	// finishReason and usage stand as the engine wrote them.
	finishReason json.RawMessage
	usage        json.RawMessage
	toolCalls    []toolCall
	refusal      strings.Builder
	reasoning    strings.Builder
	logprobs     []json.RawMessage
	sent         bool
}

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
	Delta        chunkDelta      `json:"delta"`
	FinishReason json.RawMessage `json:"finish_reason"`
	Logprobs     *chunkLogprobs  `json:"logprobs"`
}

type chunkDelta struct {
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

func newWholeSink(exchange *exchange, chat bool) *wholeSink {
	return &wholeSink{writer: exchange.writer, chat: chat}
}

func (s *wholeSink) started() bool { return s.sent }

// write decodes only the frames that hold more than text. The text itself is
// gathered by the assembler.
func (s *wholeSink) write(frame stream.Frame, _ bool) error {
	plain := frame.Kind == stream.KindTokens && !frame.Opaque
	if plain && s.head.ID != "" {
		return nil
	}
	var decoded chunk
	if err := json.Unmarshal(frame.Data, &decoded); err != nil {
		return &errBrokenStream{stream.ReasonEngineError}
	}
	if s.head.ID == "" {
		s.head = decoded.chunkHead
	}
	if frame.Kind == stream.KindUsage {
		s.usage = decoded.Usage
	}
	for _, choice := range decoded.Choices {
		s.addChoice(choice, frame.Kind)
	}
	return nil
}

func (s *wholeSink) addChoice(choice chunkChoice, kind stream.Kind) {
	if kind == stream.KindFinish {
		s.finishReason = choice.FinishReason
	}
	s.refusal.WriteString(choice.Delta.Refusal)
	s.reasoning.WriteString(choice.Delta.Reasoning)
	for _, part := range choice.Delta.ToolCalls {
		s.addToolCall(part)
	}
	if choice.Logprobs != nil {
		s.logprobs = append(s.logprobs, choice.Logprobs.Content...)
	}
}

// addToolCall adds a part to the tool call that its index names.
func (s *wholeSink) addToolCall(part toolCall) {
	index := len(s.toolCalls)
	if part.Index != nil && *part.Index >= 0 && *part.Index < index {
		index = *part.Index
	}
	if index == len(s.toolCalls) {
		part.Index = nil
		s.toolCalls = append(s.toolCalls, part)
		return
	}
	call := &s.toolCalls[index]
	call.ID += part.ID
	call.Function.Name += part.Function.Name
	call.Function.Arguments += part.Function.Arguments
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
	Text         json.RawMessage `json:"text,omitempty"`
	Logprobs     *chunkLogprobs  `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type wholeMessage struct {
	Role      string          `json:"role"`
	Content   json.RawMessage `json:"content"`
	Refusal   *string         `json:"refusal"`
	Reasoning string          `json:"reasoning_content,omitempty"`
	ToolCalls []toolCall      `json:"tool_calls,omitempty"`
}

func (s *wholeSink) complete(answer *stream.Assembler) error {
	text := json.RawMessage(`"` + string(answer.Text()) + `"`)
	choice := wholeChoice{FinishReason: s.finishReason}
	if len(s.logprobs) > 0 {
		choice.Logprobs = &chunkLogprobs{Content: s.logprobs}
	}
	object := objectCompletion
	if s.chat {
		object = objectChat
		choice.Message = s.message(text, len(answer.Text()) == 0)
	} else {
		choice.Text = text
	}
	body, err := json.Marshal(wholeAnswer{
		ID: s.head.ID, Object: object, Created: s.head.Created, Model: s.head.Model,
		SystemFingerprint: s.head.SystemFingerprint, Choices: []wholeChoice{choice}, Usage: s.usage,
	})
	if err != nil {
		return &errBrokenStream{stream.ReasonEngineError}
	}
	s.sent = true
	s.writer.Header().Set("Content-Type", "application/json")
	s.writer.WriteHeader(http.StatusOK)
	if _, err := s.writer.Write(body); err != nil {
		return errCallerGone
	}
	return nil
}

func (s *wholeSink) message(text json.RawMessage, empty bool) *wholeMessage {
	message := &wholeMessage{Role: "assistant", Content: text, Reasoning: s.reasoning.String(), ToolCalls: s.toolCalls}
	if refusal := s.refusal.String(); refusal != "" {
		message.Refusal = &refusal
	}
	if empty && len(s.toolCalls) > 0 {
		message.Content = json.RawMessage("null")
	}
	return message
}

// settle has nothing to do: nothing is sent before the answer is whole.
func (s *wholeSink) settle() error { return nil }

// fail has nothing to do: nothing is sent before the answer is whole.
func (s *wholeSink) fail(*failure) {}
