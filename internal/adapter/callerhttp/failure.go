package callerhttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// The types of error, as the OpenAI API names them.
const (
	typeInvalidRequest = "invalid_request_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// The codes of errors that callers get from the router itself.
const (
	codeInvalidKey         = "invalid_api_key"
	codeInvalidJSON        = "invalid_json"
	codeInvalidValue       = "invalid_value"
	codeBodyTooLarge       = "body_too_large"
	codeBodyTimeout        = "body_timeout"
	codeContentType        = "unsupported_content_type"
	codeModelNotFound      = "model_not_found"
	codeServiceNotFound    = "service_not_found"
	codeNotFound           = "not_found"
	codeMethodNotAllowed   = "method_not_allowed"
	codeContextLength      = "context_length_exceeded"
	codeDraining           = "draining"
	codeIsolated           = "isolated"
	codeDeadline           = "deadline_exceeded"
	codeBackendFailed      = "backend_failed"
	codeClaimRunning       = "idempotency_key_in_use"
	codeClaimRan           = "already_ran"
	codeClaimInDoubt       = "outcome_unknown"
	codeClaimsUnavailable  = "claims_unavailable"
	codeInvalidIdempotency = "invalid_idempotency_key"
)

// defaultRetryAfter is named when nothing better is known.
const defaultRetryAfter = time.Second

// headerShouldRetry tells client libraries of the OpenAI API whether they may
// repeat the request on their own.
const headerShouldRetry = "X-Should-Retry"

// failure is the final answer to a request that did not get what it asked for.
type failure struct {
	Status     int
	Type       string
	Code       string
	Message    string
	Param      string
	RunState   identity.RunState
	RetryAfter time.Duration
	// CloseConnection asks for the caller's connection to be closed.
	CloseConnection bool
}

// Error implements error.
func (f *failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Code, f.RunState, f.Message)
}

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

// unavailable is a failure that a later try may not meet.
func unavailable(code string, state identity.RunState, retryAfter time.Duration, message string) *failure {
	return &failure{
		Status: http.StatusServiceUnavailable, Type: typeServer, Code: code,
		Message: message, RunState: state, RetryAfter: max(retryAfter, defaultRetryAfter),
	}
}

func (f *failure) body() []byte {
	detail := failureDetail{Message: f.Message, Type: f.Type, Code: f.Code, RunState: f.RunState}
	if f.Param != "" {
		detail.Param = &f.Param
	}
	body, err := json.Marshal(failureBody{Error: detail})
	if err != nil { // strings always marshal
		return nil
	}
	return body
}

// write sends the failure as the whole response.
func (f *failure) write(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(enginewire.HeaderRunState, string(f.RunState))
	if f.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(f.RetryAfter)))
	}
	if f.RunState != identity.RunStateNotRun {
		header.Set(headerShouldRetry, "false")
	}
	if f.CloseConnection {
		header.Set("Connection", "close")
	}
	if f.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	writer.WriteHeader(f.Status)
	_, _ = writer.Write(f.body())
}

// wholeSeconds rounds up.
func wholeSeconds(duration time.Duration) int {
	return int((duration + time.Second - 1) / time.Second)
}
