package openai

import (
	"bytes"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Names of the fields of a completion request that are read here. All others go to the
// back end as they stand.
const (
	fieldModel               = "model"
	fieldMessages            = "messages"
	fieldPrompt              = "prompt"
	fieldStream              = "stream"
	fieldStreamOptions       = "stream_options"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldChoices             = "n"
	fieldBestOf              = "best_of"
	fieldResume              = "resume"
)

// streamOptions is the stream_options field.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// completionRequest is a checked body of /v1/completions or /v1/chat/completions.
type completionRequest struct {
	Chat   bool
	Model  identity.ModelName
	Stream bool
	// IncludeUsage is set when the caller wants the token counts in the stream.
	IncludeUsage bool
	// Prompt is the rendered prompt.
	Prompt []byte
	// MaxTokens is the caller's limit for the answer; zero when there is none.
	MaxTokens int
	// base is the back end's body without the fields that are set here and without the
	// closing brace.
	base []byte
}

// parseCompletion reads and checks a body.
func parseCompletion(body []byte, chat bool) (*completionRequest, *failure) {
	fields, failed := splitObject(body)
	if failed != nil {
		return nil, failed
	}
	parsed := &completionRequest{Chat: chat}
	for _, member := range fields {
		if failed := parsed.take(member, body); failed != nil {
			return nil, failed
		}
	}
	if parsed.Model == "" {
		return nil, invalid(codeInvalidValue, fieldModel, "the field %q is missing", fieldModel)
	}
	if parsed.Prompt == nil {
		name := parsed.promptField()
		return nil, invalid(codeInvalidValue, name, "the field %q is missing or empty", name)
	}
	parsed.base = engineBase(fields, len(body))
	return parsed, nil
}

func (c *completionRequest) promptField() string {
	if c.Chat {
		return fieldMessages
	}
	return fieldPrompt
}

// take reads one field of the body.
func (c *completionRequest) take(member field, body []byte) *failure {
	switch member.name {
	case fieldModel:
		return member.decode(body, &c.Model)
	case fieldStream:
		return member.decode(body, &c.Stream)
	case fieldStreamOptions:
		var options streamOptions
		failed := member.decode(body, &options)
		c.IncludeUsage = options.IncludeUsage
		return failed
	case fieldMaxTokens, fieldMaxCompletionTokens:
		return c.takeMaxTokens(member, body)
	case fieldChoices, fieldBestOf:
		return takeOne(member, body)
	case fieldResume:
		return invalid(codeInvalidValue, member.name, "the field %q is not for callers", member.name)
	case c.promptField():
		return c.takePrompt(member, body)
	default:
		return nil
	}
}

func (c *completionRequest) takeMaxTokens(member field, body []byte) *failure {
	var limit *int
	if failed := member.decode(body, &limit); failed != nil || limit == nil {
		return failed
	}
	if *limit < 1 {
		return invalid(codeInvalidValue, member.name, "the field %q must be at least 1", member.name)
	}
	c.MaxTokens = *limit
	return nil
}

// takeOne refuses several answers to one request: only one can be resumed.
func takeOne(member field, body []byte) *failure {
	var count *int
	if failed := member.decode(body, &count); failed != nil {
		return failed
	}
	if count != nil && *count != 1 {
		return invalid(codeInvalidValue, member.name, "the field %q must be 1", member.name)
	}
	return nil
}

func (c *completionRequest) takePrompt(member field, body []byte) *failure {
	if c.Chat {
		messages, failed := decodeMessages(member, body)
		if failed != nil {
			return failed
		}
		if len(messages) > 0 {
			c.Prompt = renderChat(messages)
		}
		return nil
	}
	if bytes.HasPrefix(member.raw, []byte{'['}) {
		return c.takePromptList(member, body)
	}
	prompt, isText := unquote(member.raw)
	if !isText {
		return member.decode(body, &prompt)
	}
	if prompt != "" {
		c.Prompt = []byte(prompt)
	}
	return nil
}

func (c *completionRequest) takePromptList(member field, body []byte) *failure {
	var prompts []string
	if failed := member.decode(body, &prompts); failed != nil {
		return failed
	}
	if len(prompts) != 1 {
		return invalid(codeInvalidValue, member.name, "the field %q must hold one prompt", member.name)
	}
	if prompts[0] != "" {
		c.Prompt = []byte(prompts[0])
	}
	return nil
}

// engineBase writes the fields that go to the back end as they stand.
func engineBase(fields []field, size int) []byte {
	base := make([]byte, 0, size)
	base = append(base, '{')
	for _, member := range fields {
		if member.name == fieldStream || member.name == fieldStreamOptions {
			continue
		}
		base = append(base, member.rawName...)
		base = append(base, ':')
		base = append(base, member.raw...)
		base = append(base, ',')
	}
	return base
}

// engineBody is the body that goes to the back end. A back end always streams, so that an
// answer can go on at another one; the counts are for whole answers.
func (c *completionRequest) engineBody() []byte {
	const streaming = `"stream":true`
	const counted = `,"stream_options":{"include_usage":true}`
	body := append(append([]byte(nil), c.base...), streaming...)
	if !c.Stream || c.IncludeUsage {
		body = append(body, counted...)
	}
	return append(body, '}')
}
