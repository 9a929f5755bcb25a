package adminhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/wire/adminwire"
)

const (
	// maximumStatementBytes bounds the body of a statement; JSON may escape each
	// byte of a statement in up to six.
	maximumStatementBytes = 8 * query.MaximumBytes
	// maximumImportBytes bounds the body of an import.
	maximumImportBytes = 32 << 20
)

// Handler serves the administration API. Make it with New.
type Handler struct {
	options  Options
	accounts []account
	mux      *http.ServeMux
}

// New makes a handler.
func New(options Options) *Handler {
	handler := &Handler{
		options:  options.withDefaults(),
		accounts: accountsOf(options.Operators),
		mux:      http.NewServeMux(),
	}
	handler.mux.Handle("POST "+adminwire.PathStatements, endpoint(handler.statement))
	handler.mux.Handle("POST "+adminwire.PathConfiguration, endpoint(handler.importDocument))
	handler.mux.Handle("GET "+adminwire.PathInForce, endpoint(handler.inForce))
	return handler
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	h.mux.ServeHTTP(writer, request)
}

// endpoint is one operation of the API: it gives the answer's body or a failure.
type endpoint func(request *http.Request) (any, *adminwire.Error)

// ServeHTTP implements http.Handler.
func (e endpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	answer, failure := e(request)
	if failure != nil {
		writeFailure(writer, failure)
		return
	}
	writeJSON(writer, http.StatusOK, answer)
}

func (h *Handler) statement(request *http.Request) (any, *adminwire.Error) {
	operator, failure := h.authenticate(request)
	if failure != nil {
		h.logRefusal(operator, "", failure)
		return nil, failure
	}
	var body adminwire.StatementRequest
	if failure := readJSON(request, maximumStatementBytes, &body); failure != nil {
		return nil, failure
	}
	parsed, err := query.Parse(body.Statement)
	if err != nil {
		failure := invalidStatement(err)
		h.logRefusal(operator, body.Statement, failure)
		return nil, failure
	}
	switch statement := parsed.(type) {
	case *query.Show:
		return h.show(request.Context(), statement)
	case *query.Command:
		return h.command(request.Context(), operator, statement, body.ChangeID)
	default:
		return nil, &adminwire.Error{Code: adminwire.CodeInvalidRequest, Message: "unknown kind of statement"}
	}
}

func (h *Handler) importDocument(request *http.Request) (any, *adminwire.Error) {
	operator, failure := h.authenticate(request)
	if failure == nil {
		failure = operator.mayOperate()
	}
	if failure != nil {
		h.logRefusal(operator, "import of a configuration", failure)
		return nil, failure
	}
	var body adminwire.ImportRequest
	if failure := readJSON(request, maximumImportBytes, &body); failure != nil {
		return nil, failure
	}
	return h.replace(request.Context(), operator, body)
}

func (h *Handler) inForce(request *http.Request) (any, *adminwire.Error) {
	if operator, failure := h.authenticate(request); failure != nil {
		h.logRefusal(operator, "", failure)
		return nil, failure
	}
	wanted := h.options.Configuration.Document().Revision
	if text := request.URL.Query().Get(adminwire.ParameterRevision); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, &adminwire.Error{Code: adminwire.CodeInvalidRequest, Message: "revision is no whole number"}
		}
		wanted = identity.Revision(number)
	}
	return h.reportInForce(request.Context(), wanted), nil
}

func (h *Handler) logRefusal(operator account, statement string, failure *adminwire.Error) {
	h.options.Log.WithFields(logrus.Fields{
		"operator":  operator.name,
		"statement": statement,
		"code":      failure.Code,
	}).Warn("Refused an operator's request.")
}

// readJSON reads a request body of known fields.
func readJSON(request *http.Request, limit int64, into any) *adminwire.Error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, request.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return invalidBody(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &adminwire.Error{Code: adminwire.CodeInvalidRequest, Message: "the body has more than one JSON value"}
	}
	return nil
}

func invalidBody(err error) *adminwire.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &adminwire.Error{
			Code:    adminwire.CodeInvalidRequest,
			Message: "the body has more than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes",
		}
	}
	return &adminwire.Error{Code: adminwire.CodeInvalidRequest, Message: "the body is not the expected JSON: " + err.Error()}
}
