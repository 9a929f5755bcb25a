// Package adminwire holds the JSON messages of the administration API.
package adminwire

import (
	"fmt"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/finding"
)

// The paths of the administration API.
const (
	// PathStatements takes a StatementRequest by POST.
	PathStatements = "/admin/v1/statements"
	// PathConfiguration takes an ImportRequest by POST.
	PathConfiguration = "/admin/v1/configuration"
	// PathInForce gives an InForce by GET; ParameterRevision is optional.
	PathInForce = "/admin/v1/in-force"
)

// ParameterRevision is the query parameter of PathInForce.
const ParameterRevision = "revision"

// StatementRequest is one statement of the operators' language.
type StatementRequest struct {
	Statement string `json:"statement"`
	// ChangeID makes a repeated command the same change. The daemon makes one
	// when neither this nor the statement has one.
	ChangeID string `json:"change_id,omitempty"`
}

// ImportRequest replaces the whole configuration.
type ImportRequest struct {
	Document dynamic.Document   `json:"document"`
	ChangeID string             `json:"change_id,omitempty"`
	Base     *identity.Revision `json:"base,omitempty"`
}

// Response answers a statement or an import. Exactly one of Table and Accepted
// is set.
type Response struct {
	Table    *query.Table `json:"table,omitempty"`
	Accepted *Accepted    `json:"accepted,omitempty"`
	// Partial is set when some daemons did not answer a query.
	Partial *Partial `json:"partial,omitempty"`
}

// Accepted says that a change is committed and will be in force everywhere.
type Accepted struct {
	ChangeID string            `json:"change_id"`
	Revision identity.Revision `json:"revision"`
	// Repeated is set when the change had been accepted before.
	Repeated bool    `json:"repeated,omitempty"`
	InForce  InForce `json:"in_force"`
}

// InForce says on how many of the daemons a revision, or a newer one, is in force.
type InForce struct {
	Revision  identity.Revision   `json:"revision"`
	Confirmed int                 `json:"confirmed"`
	Total     int                 `json:"total"`
	Behind    []identity.DaemonID `json:"behind,omitempty"`
}

// Everywhere tells whether the revision is in force on all daemons.
func (f InForce) Everywhere() bool { return f.Total > 0 && f.Confirmed >= f.Total }

// Partial names the daemons whose part of an answer is missing.
type Partial struct {
	Missing []identity.DaemonID `json:"missing"`
}

// Code says what kind of failure an Error is.
type Code string

// The codes.
const (
	CodeInvalidRequest   Code = "invalid_request"
	CodeInvalidStatement Code = "invalid_statement"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeForbidden        Code = "forbidden"
	// CodeRefused means that the configuration does not allow the command.
	CodeRefused Code = "refused"
	// CodeInvalidChange means that the change would make an invalid configuration.
	CodeInvalidChange Code = "invalid_change"
	CodeConflict      Code = "conflict"
	// CodeReusedChangeID means that another change has the change ID.
	CodeReusedChangeID Code = "reused_change_id"
	CodeUnavailable    Code = "unavailable"
)

// Error is a failed statement or import.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Statement is set for CodeInvalidStatement.
	Statement *query.ParseError `json:"statement,omitempty"`
	// Findings are set for CodeInvalidChange.
	Findings []finding.Finding `json:"findings,omitempty"`
	// Conflict is set for CodeConflict, with both sides.
	Conflict *dynamic.ConflictError `json:"conflict,omitempty"`
	// OutcomeUnknown is set for CodeUnavailable when the change may have been
	// accepted: sending it again with the same ChangeID finds out.
	OutcomeUnknown bool   `json:"outcome_unknown,omitempty"`
	ChangeID       string `json:"change_id,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// ErrorResponse is the body of every answer that is no success.
type ErrorResponse struct {
	Error *Error `json:"error"`
}
