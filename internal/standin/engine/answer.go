package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
)

// chunk is one event of a streamed answer, or the whole of one that is not.
type chunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   identity.ModelName `json:"model"`
	Choices []choice           `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

// choice is the only choice of a chunk. Which field is set depends on the
// interface and on streaming.
type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// message is a chat message or a part of one.
type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// usage is the token counts of a whole answer. They are the same whether the
// answer was resumed or not, but for the cached tokens.
type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

// promptDetails tells how much of the prompt came from the cache.
type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// answerWriter writes an answer as a stream of events, or as one JSON body.
type answerWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	asked      *completion
	template   chunk
	usage      usage
	whole      strings.Builder
}

func newAnswerWriter(writer http.ResponseWriter, asked *completion, cachedTokens int) *answerWriter {
	promptTokens := prefix.Tokens(len(asked.prompt))
	return &answerWriter{
		writer:     writer,
		controller: http.NewResponseController(writer),
		asked:      asked,
		template: chunk{
			ID:      "cmpl-" + string(asked.request.Key.RequestID),
			Object:  objectOf(asked),
			Created: time.Now().Unix(),
			Model:   asked.body.Model,
		},
		usage: usage{
			PromptTokens:        promptTokens,
			CompletionTokens:    asked.outputTokens,
			TotalTokens:         promptTokens + asked.outputTokens,
			PromptTokensDetails: promptDetails{CachedTokens: cachedTokens},
		},
	}
}

func objectOf(asked *completion) string {
	switch {
	case asked.chat && asked.body.Stream:
		return "chat.completion.chunk"
	case asked.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// begin sends the headers of a stream. The headers of a whole answer go with it.
func (a *answerWriter) begin() {
	if !a.asked.body.Stream {
		return
	}
	a.writer.Header().Set("Content-Type", "text/event-stream")
	a.writer.Header().Set("Cache-Control", "no-cache")
	a.writer.WriteHeader(http.StatusOK)
	_ = a.controller.Flush()
}

// token gives the token at an offset; the last one carries the finish reason.
func (a *answerWriter) token(offset int) {
	text := a.asked.answer.Token(offset)
	if !a.asked.body.Stream {
		a.whole.WriteString(text)
		return
	}
	part := a.choiceOf(text)
	if part.Delta != nil && offset == 0 {
		part.Delta.Role = "assistant"
	}
	if offset+1 == a.asked.outputTokens {
		part.FinishReason = &a.asked.finishReason
	}
	a.event(fmt.Sprint(offset), []choice{part}, nil)
}

// finishWithoutToken gives the finish reason alone.
func (a *answerWriter) finishWithoutToken() {
	if !a.asked.body.Stream {
		return
	}
	part := a.choiceOf("")
	part.FinishReason = &a.asked.finishReason
	a.event(fmt.Sprintf("%d+0", a.asked.outputTokens), []choice{part}, nil)
}

// end gives what follows the last token.
func (a *answerWriter) end() {
	if !a.asked.body.Stream {
		a.endWhole()
		return
	}
	if a.asked.body.StreamOptions.IncludeUsage {
		a.event("", []choice{}, &a.usage)
	}
	_, _ = fmt.Fprint(a.writer, "data: [DONE]\n\n")
	_ = a.controller.Flush()
}

func (a *answerWriter) endWhole() {
	part := choice{FinishReason: &a.asked.finishReason}
	text := a.whole.String()
	if a.asked.chat {
		part.Message = &message{Role: "assistant", Content: text}
	} else {
		part.Text = &text
	}
	body := a.template
	body.Choices = []choice{part}
	body.Usage = &a.usage
	a.writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.writer).Encode(body)
}

func (a *answerWriter) choiceOf(text string) choice {
	if a.asked.chat {
		return choice{Delta: &message{Content: text}}
	}
	return choice{Text: &text}
}

// event writes one server-sent event.
func (a *answerWriter) event(id string, choices []choice, counts *usage) {
	body := a.template
	body.Choices = choices
	body.Usage = counts
	data, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if id != "" {
		_, _ = fmt.Fprintf(a.writer, "id: %s\n", id)
	}
	_, _ = fmt.Fprintf(a.writer, "data: %s\n\n", data)
	_ = a.controller.Flush()
}
