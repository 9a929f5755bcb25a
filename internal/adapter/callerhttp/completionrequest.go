package callerhttp

import (
	"bytes"
	"strconv"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/stream"
)

// Names of the fields of a completion request that the router reads. All others
// go to the engine as they stand.
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
	fieldLogprobs            = "logprobs"
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
	// base is the engine's body without the fields that the router sets and
	// without the closing brace.
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
			c.Prompt = prefix.RenderChat(messages)
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

// engineBase writes the fields that go to the engine as they stand.
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

// engineBody makes the body of one attempt. The engine always streams and always
// counts tokens; a later attempt resumes where the answer stands.
func (c *completionRequest) engineBody(answer *stream.Assembler) []byte {
	const streaming = `"stream":true,"stream_options":{"include_usage":true}`
	body := make([]byte, 0, len(c.base)+len(streaming)+len(answer.Text())+64)
	body = append(body, c.base...)
	body = append(body, streaming...)
	if answer.Offset() > 0 {
		body = append(body, `,"resume":{"offset":`...)
		body = strconv.AppendInt(body, int64(answer.Offset()), 10)
		body = append(body, `,"text":"`...)
		body = append(body, answer.Text()...)
		body = append(body, `"}`...)
	}
	return append(body, '}')
}
