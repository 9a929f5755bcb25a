package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// CodeRefusedByFault is the code of refusals that a fault asked for.
const CodeRefusedByFault = "refused_by_fault"

// CodeCancelled is the code of requests that were cancelled while they waited.
const CodeCancelled = "cancelled"

// hangPoll is how often a hanging request looks whether the fault is over.
const hangPoll = 20 * time.Millisecond

// statusOf gives the HTTP status of a refusal code.
func statusOf(code string) int {
	switch code {
	case enginewire.CodeWrongIncarnation, enginewire.CodeWrongWeights, enginewire.CodeStaleFence:
		return http.StatusConflict
	case enginewire.CodeInvalidRequest:
		return http.StatusBadRequest
	case enginewire.CodeQueueFull:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// Refuse answers that the request was not run.
func (s *Server) Refuse(writer http.ResponseWriter, code, message string) {
	header := writer.Header()
	s.SetHeaders(header)
	header.Set(enginewire.HeaderRunState, string(identity.RunStateNotRun))
	WriteJSON(writer, statusOf(code), enginewire.Refusal{Error: enginewire.RefusalError{
		Message: message, Type: "back_end_refusal", Code: code, RunState: identity.RunStateNotRun,
	}})
}

// Admit makes the checks that come before any work: faults, state and expected
// incarnation. It returns false when the request has been answered.
func (s *Server) Admit(writer http.ResponseWriter, request *http.Request) bool {
	if !s.waitWhileHanging(request) {
		return false
	}
	if s.Faults().Refuse {
		s.Refuse(writer, CodeRefusedByFault, "a fault makes this back end refuse all work")
		return false
	}
	if s.State() == enginewire.StateLeaving {
		s.Refuse(writer, enginewire.CodeLeaving, "this back end is leaving")
		return false
	}
	expected := request.Header.Get(enginewire.HeaderExpectedIncarnation)
	if expected != "" && expected != strconv.FormatUint(uint64(s.Incarnation()), 10) {
		s.Refuse(writer, enginewire.CodeWrongIncarnation, "this back end was restarted")
		return false
	}
	return true
}

// waitWhileHanging holds a request while the hang fault is set. It returns false
// when the caller went away.
func (s *Server) waitWhileHanging(request *http.Request) bool {
	for s.Faults().Hang {
		select {
		case <-request.Context().Done():
			return false
		case <-time.After(hangPoll):
		}
	}
	return true
}

// WriteJSON answers with a JSON body.
func WriteJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// Attempt reads which attempt of which request this is.
func Attempt(request *http.Request) (identity.RequestID, int) {
	attempt, err := strconv.Atoi(request.Header.Get(enginewire.HeaderAttempt))
	if err != nil {
		attempt = 1
	}
	return identity.RequestID(request.Header.Get(enginewire.HeaderRequestID)), attempt
}
