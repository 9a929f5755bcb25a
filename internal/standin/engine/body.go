package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 64 << 20

// completionBody is what the stand-in reads of a completion's body. Sampling
// parameters are ignored.
type completionBody struct {
	Model               identity.ModelName   `json:"model"`
	Prompt              promptText           `json:"prompt"`
	Messages            []prefix.ChatMessage `json:"messages"`
	MaxTokens           *int                 `json:"max_tokens"`
	MaxCompletionTokens *int                 `json:"max_completion_tokens"`
	Stream              bool                 `json:"stream"`
	StreamOptions       streamOptions        `json:"stream_options"`
	Resume              *enginewire.Resume   `json:"resume"`
}

// streamOptions are the options of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// promptText is a prompt that JSON writes as a string or an array of one string.
type promptText string

// UnmarshalJSON implements json.Unmarshaler.
func (p *promptText) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*p = promptText(text)
		return nil
	}
	var list []string
	if err := json.Unmarshal(data, &list); err != nil || len(list) != 1 {
		return fmt.Errorf("prompt is neither a string nor an array of one string")
	}
	*p = promptText(list[0])
	return nil
}

// decodeBody reads a completion's body.
func decodeBody(writer http.ResponseWriter, request *http.Request) (*completionBody, error) {
	var body completionBody
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes)).Decode(&body)
	if err != nil {
		return nil, err
	}
	return &body, nil
}

// outputTokens is how many tokens the whole answer has, and whether the caller's
// limit ends it.
func (b *completionBody) outputTokens() (int, bool) {
	switch {
	case b.MaxCompletionTokens != nil:
		return *b.MaxCompletionTokens, true
	case b.MaxTokens != nil:
		return *b.MaxTokens, true
	default:
		return DefaultOutputTokens, false
	}
}
