package openai

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/relay"
)

// The types of error, as the OpenAI API names them.
const (
	typeInvalidRequest = "invalid_request_error"
	typeServer         = "server_error"
	typeRateLimit      = "rate_limit_error"
)

// The codes of errors that callers get from lotusward itself.
const (
	codeInvalidKey       = "invalid_api_key"
	codeInvalidJSON      = "invalid_json"
	codeInvalidValue     = "invalid_value"
	codeBodyTooLarge     = "body_too_large"
	codeContentType      = "unsupported_content_type"
	codeModelNotFound    = "model_not_found"
	codeNotFound         = "not_found"
	codeMethodNotAllowed = "method_not_allowed"
	codeContextLength    = "context_length_exceeded"
	codeDeadline         = "deadline_exceeded"
	codeBackendFailed    = "backend_failed"
	codeRateLimit        = "rate_limit_exceeded"
)

const (
	// headerRequestID names the request for logs; headerRunState says whether a request
	// that got no answer ran.
	headerRequestID = "X-Request-Id"
	headerRunState  = "X-Run-State"
	// headerShouldRetry tells client libraries of the OpenAI API whether they may repeat
	// the request on their own.
	headerShouldRetry = "X-Should-Retry"
	// headerRetryAfterMs is understood by these libraries beside the whole seconds of
	// Retry-After.
	headerRetryAfterMs = "Retry-After-Ms"
)

// failure is the final answer to a request that did not get what it asked for.
type failure struct {
	Status     int
	Type       string
	Code       string
	Message    string
	Param      string
	RunState   identity.RunState
	RetryAfter time.Duration
}

// Error implements error.
func (f *failure) Error() string { return fmt.Sprintf("%s (%s): %s", f.Code, f.RunState, f.Message) }

// failureBody is the JSON of a failure: the OpenAI shape and the run state.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message  string            `json:"message"`
	Type     string            `json:"type"`
	Param    *string           `json:"param"`
	Code     string            `json:"code"`
	RunState identity.RunState `json:"run_state"`
}

// invalid is a failure of a request that is wrong in itself.
func invalid(code, param, format string, arguments ...any) *failure {
	return &failure{
		Status: http.StatusBadRequest, Type: typeInvalidRequest, Code: code, Param: param,
		Message: fmt.Sprintf(format, arguments...), RunState: identity.RunStateNotRun,
	}
}

func (f *failure) withStatus(status int) *failure {
	f.Status = status
	return f
}

// failureOf says what a refusal of the relay means to a caller.
func failureOf(refusal relay.Refusal) *failure {
	made := &failure{
		Type: typeServer, Code: refusal.Reason, Message: "the request was refused: " + refusal.Reason,
		RunState: identity.RunStateNotRun, RetryAfter: refusal.RetryAfter,
	}
	switch refusal.Kind {
	case relay.RefusalNoRoute:
		return invalid(codeNotFound, "", "no route takes requests of this host and path").withStatus(http.StatusNotFound)
	case relay.RefusalUnknownKey:
		return invalid(codeInvalidKey, "", "the bearer key is missing or unknown").withStatus(http.StatusUnauthorized)
	case relay.RefusalNotRun:
		made.Status = http.StatusServiceUnavailable
	case relay.RefusalOverLimit:
		made.Status, made.Type, made.Code = http.StatusTooManyRequests, typeRateLimit, codeRateLimit
		made.Message = "the tenant is beyond its limit"
	case relay.RefusalTimeout:
		made.Status, made.Code, made.RunState = http.StatusGatewayTimeout, codeDeadline, identity.RunStateUnknown
	default:
		made.Status, made.Code, made.RunState = http.StatusBadGateway, codeBackendFailed, identity.RunStateUnknown
	}
	return made
}

// brokenAnswer is a failure after the request ran: its answer cannot be passed on whole.
func brokenAnswer() *failure {
	made := failureOf(relay.Refusal{Kind: relay.RefusalUnknown, Reason: codeBackendFailed})
	made.RunState = identity.RunStateRan
	return made
}

func (f *failure) body() []byte {
	detail := failureDetail{Message: f.Message, Type: f.Type, Code: f.Code, RunState: f.RunState}
	if f.Param != "" {
		detail.Param = &f.Param
	}
	body, err := json.Marshal(failureBody{Error: detail})
	if err != nil { // texts always marshal
		return nil
	}
	return body
}

// write sends the failure as the whole response.
func (f *failure) write(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerRunState, string(f.RunState))
	if f.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
		header.Set(headerRetryAfterMs, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	if f.RunState != identity.RunStateNotRun {
		header.Set(headerShouldRetry, "false")
	}
	if f.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	writer.WriteHeader(f.Status)
	_, _ = writer.Write(f.body()) // a caller that has left needs no answer
}
