package adminhttp

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/core/revision"
	"github.com/lotusward/lotusward/internal/finding"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/adminwire"
)

// statusOf maps the codes to HTTP statuses.
func statusOf(code adminwire.Code) int {
	switch code {
	case adminwire.CodeInvalidRequest, adminwire.CodeInvalidStatement:
		return http.StatusBadRequest
	case adminwire.CodeUnauthenticated:
		return http.StatusUnauthorized
	case adminwire.CodeForbidden:
		return http.StatusForbidden
	case adminwire.CodeConflict, adminwire.CodeReusedChangeID:
		return http.StatusConflict
	case adminwire.CodeRefused, adminwire.CodeInvalidChange:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

func invalidStatement(err error) *adminwire.Error {
	failure := &adminwire.Error{Code: adminwire.CodeInvalidStatement, Message: err.Error()}
	var located *query.ParseError
	if errors.As(err, &located) {
		failure.Message = located.Message
		failure.Statement = located
	}
	return failure
}

// commandFailure turns an error of a command into what the operator gets.
func commandFailure(err error, changeID string) *adminwire.Error {
	failure := &adminwire.Error{Code: adminwire.CodeUnavailable, Message: err.Error(), ChangeID: changeID}
	var refused *query.RefusedError
	var findings *finding.Error
	var reused *revision.ReusedIDError
	var unknown *port.OutcomeUnknownError
	switch {
	case errors.As(err, &failure.Conflict):
		failure.Code = adminwire.CodeConflict
	case errors.As(err, &refused):
		failure.Code = adminwire.CodeRefused
	case errors.As(err, &findings):
		failure.Code = adminwire.CodeInvalidChange
		failure.Findings = findings.Findings
	case errors.As(err, &reused):
		failure.Code = adminwire.CodeReusedChangeID
	case errors.As(err, &unknown):
		failure.OutcomeUnknown = true
	}
	return failure
}

// conflictOf returns the conflict in an error, or nil.
func conflictOf(err error) *dynamic.ConflictError {
	var conflict *dynamic.ConflictError
	errors.As(err, &conflict)
	return conflict
}

func writeFailure(writer http.ResponseWriter, failure *adminwire.Error) {
	if failure.Code == adminwire.CodeUnauthenticated {
		writer.Header().Set("WWW-Authenticate", `Bearer realm="lotusward"`)
	}
	writeJSON(writer, statusOf(failure.Code), adminwire.ErrorResponse{Error: failure})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // the operator may be gone
}
