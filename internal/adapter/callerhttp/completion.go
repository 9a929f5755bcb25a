package callerhttp

import (
	"net/http"
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// completionClaims is the service name under which model requests are claimed.
const completionClaims identity.ServiceName = "openai"

// serveCompletion serves /v1/completions and /v1/chat/completions.
func (h *Handler) serveCompletion(exchange *exchange) *failure {
	parsed, failed := exchange.readCompletion()
	if failed != nil {
		return failed
	}
	options, failed := exchange.readOptions(identity.ClassStandard)
	if failed != nil {
		return failed
	}
	notRepeatable := options.NotRepeatable || exchange.completionNotRepeatable(parsed.Model)
	attempts, ctx := exchange.begin(options, !notRepeatable)
	defer attempts.finish()
	settle := func(identity.RunState) {}
	if notRepeatable {
		if settle, failed = exchange.claim(ctx, completionClaims, options); failed != nil {
			return failed
		}
	}
	// A panic between here and the end leaves the outcome unknown.
	state := identity.RunStateUnknown
	defer func() { settle(state) }()
	generation := newGeneration(attempts, parsed)
	failed = generation.run(ctx)
	state = attempts.history.RunState()
	return generation.conclude(ctx, failed)
}

// readCompletion reads and checks the body against the configuration.
func (e *exchange) readCompletion() (*completionRequest, *failure) {
	if failed := e.checkJSON(); failed != nil {
		return nil, failed
	}
	body, failed := e.readBody()
	if failed != nil {
		return nil, failed
	}
	parsed, failed := parseCompletion(body, e.request.URL.Path == enginewire.PathChatCompletions)
	if failed != nil {
		return nil, failed
	}
	model := e.view.Model(parsed.Model)
	if model == nil {
		return nil, invalid(codeModelNotFound, fieldModel, "the model %q does not exist", parsed.Model).
			withStatus(http.StatusNotFound)
	}
	tokens := prefix.Tokens(len(parsed.Prompt)) + parsed.MaxTokens
	if model.ContextTokens > 0 && tokens > model.ContextTokens {
		return nil, invalid(codeContextLength, parsed.promptField(),
			"prompt and answer take %d tokens; the model has %d", tokens, model.ContextTokens)
	}
	return parsed, nil
}

// completionNotRepeatable tells whether the configuration lets a model's requests
// run only once, by any service that has the model.
func (e *exchange) completionNotRepeatable(model identity.ModelName) bool {
	for _, service := range e.view.Document.Services {
		if !slices.Contains(service.Models, model) {
			continue
		}
		if e.view.NotRepeatable(e.tenant.Name, service.Name, e.request.URL.Path, e.arrived) {
			return true
		}
	}
	return false
}
