// Package administration serves operators' queries over HTTP with JSON: what the asked
// daemon believes of back ends, models, routes, tenants and other daemons. Operators
// authenticate with one bearer token.
package administration

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/bearer"
	"github.com/lotusward/lotusward/internal/core/query"
)

const (
	// PathStatements takes a StatementRequest by POST.
	PathStatements = "/admin/v1/statements"
	// maximumBodyBytes bounds a request; JSON may escape each byte of a statement in up
	// to six.
	maximumBodyBytes = 8 * query.MaximumBytes
)

// StatementRequest is one statement of the operators' language.
type StatementRequest struct {
	Statement string `json:"statement"`
}

// Response answers a statement.
type Response struct {
	Table *query.Table `json:"table"`
}

// Code says what kind of failure an Error is.
type Code string

// The codes.
const (
	CodeInvalidRequest   Code = "invalid_request"
	CodeInvalidStatement Code = "invalid_statement"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeUnavailable      Code = "unavailable"
)

// Error is a failed statement.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Statement is set for CodeInvalidStatement.
	Statement *query.ParseError `json:"statement,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// ErrorResponse is the body of every answer that is no success.
type ErrorResponse struct {
	Error *Error `json:"error"`
}

// Tables gives the tables that are asked for.
type Tables interface {
	// Table returns the rows of a source, or an error while they are not known.
	Table(source query.Source) (query.Table, error)
}

// Handler serves statements. Make it with New.
type Handler struct {
	tables Tables
	token  [sha256.Size]byte
	log    logrus.FieldLogger
	mux    *http.ServeMux
}

// New makes a Handler for operators who have a token.
func New(tables Tables, token string, log logrus.FieldLogger) *Handler {
	handler := &Handler{tables: tables, token: sha256.Sum256([]byte(token)), log: log, mux: http.NewServeMux()}
	handler.mux.HandleFunc("POST "+PathStatements, handler.serve)
	return handler
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	h.mux.ServeHTTP(writer, request)
}

func (h *Handler) serve(writer http.ResponseWriter, request *http.Request) {
	table, failure := h.answer(request)
	if failure != nil {
		h.log.WithFields(logrus.Fields{"code": failure.Code, "reason": failure.Message}).Warn("A statement was refused.")
		writeFailure(writer, failure)
		return
	}
	writeJSON(writer, http.StatusOK, Response{Table: &table})
}

func (h *Handler) answer(request *http.Request) (query.Table, *Error) {
	if !h.authenticated(request) {
		return query.Table{}, &Error{Code: CodeUnauthenticated, Message: "the token is missing or unknown"}
	}
	statement, failure := readStatement(request)
	if failure != nil {
		return query.Table{}, failure
	}
	show, failure := parse(statement)
	if failure != nil {
		return query.Table{}, failure
	}
	whole, err := h.tables.Table(show.Source)
	if err != nil {
		return query.Table{}, &Error{Code: CodeUnavailable, Message: err.Error()}
	}
	table, err := query.Evaluate(show, whole)
	if err != nil {
		return query.Table{}, &Error{Code: CodeUnavailable, Message: err.Error()}
	}
	return table, nil
}

// authenticated compares hashes, so that the time taken tells nothing of the token.
func (h *Handler) authenticated(request *http.Request) bool {
	token, found := bearer.Token(request.Header)
	sent := sha256.Sum256([]byte(token))
	return found && subtle.ConstantTimeCompare(sent[:], h.token[:]) == 1
}

func readStatement(request *http.Request) (string, *Error) {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, request.Body, maximumBodyBytes))
	decoder.DisallowUnknownFields()
	var body StatementRequest
	if err := decoder.Decode(&body); err != nil {
		return "", &Error{Code: CodeInvalidRequest, Message: "the body is not the expected JSON: " + err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return "", &Error{Code: CodeInvalidRequest, Message: "the body has more than one JSON value"}
	}
	return body.Statement, nil
}

func parse(statement string) (*query.Show, *Error) {
	parsed, err := query.Parse(statement)
	var located *query.ParseError
	if errors.As(err, &located) {
		return nil, &Error{Code: CodeInvalidStatement, Message: located.Message, Statement: located}
	}
	show, isShow := parsed.(*query.Show)
	if err != nil || !isShow {
		return nil, &Error{Code: CodeInvalidStatement, Message: fmt.Sprint("the statement is not known here: ", err)}
	}
	return show, nil
}

func writeFailure(writer http.ResponseWriter, failure *Error) {
	status := http.StatusBadRequest
	switch failure.Code {
	case CodeUnauthenticated:
		status = http.StatusUnauthorized
		writer.Header().Set("WWW-Authenticate", `Bearer realm="lotusward"`)
	case CodeUnavailable:
		status = http.StatusServiceUnavailable
	}
	writeJSON(writer, status, ErrorResponse{Error: failure})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // an operator who has left needs no answer
}
