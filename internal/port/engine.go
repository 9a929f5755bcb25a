package port

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/stream"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Target is one attempt at one back end.
type Target struct {
	Backend identity.BackendID
	// Address is IP:port.
	Address   string
	RequestID identity.RequestID
	// Attempt counts from 1.
	Attempt int
	// Incarnation is the expected incarnation; zero means any.
	Incarnation identity.Incarnation
	Class       identity.PriorityClass
}

// Generation is one attempt to have an engine generate an answer.
type Generation struct {
	Target
	// Path is enginewire.PathCompletions or enginewire.PathChatCompletions.
	Path    string
	Salt    prefix.Salt
	Weights identity.WeightsVersion
	// Body is the JSON body. It is not modified, and not read after Close.
	Body []byte
}

// AnswerHead is what a back end says of itself in the headers of an answer.
type AnswerHead struct {
	Incarnation identity.Incarnation
	Weights     identity.WeightsVersion
	// CachedTokens is how much of the prompt was cached; -1 when not said.
	CachedTokens int
	// Load is nil when not said.
	Load    *enginewire.Load
	Leaving bool
	// StateVersion numbers the state that Leaving tells of; zero when not said.
	StateVersion uint64
}

// TokenStream is the running answer of an engine. It is for one goroutine.
type TokenStream interface {
	Head() AnswerHead
	// Next returns the next event. Its slices are valid until the next call. It
	// fails with io.EOF at a clean end of the connection, which says nothing about
	// the answer, and otherwise with *AttemptError.
	Next() (stream.Frame, error)
	// Buffered tells whether more of the stream has arrived already, so that Next
	// would most likely not wait.
	Buffered() bool
	// Close gives the stream up. An engine that still runs it sees the connection
	// close.
	Close()
}

// PageCall is one attempt at a request to a web-app runner.
type PageCall struct {
	Target
	Method string
	// URI is the path with its query, as the runner sees it.
	URI    string
	Header http.Header
	// Body is nil for a request without one.
	Body []byte
}

// PageAnswer is the answer of a web-app runner. Body must be closed.
type PageAnswer struct {
	AnswerHead
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// CacheEvents is an engine's stream of cache events. Next blocks; Close ends it
// from another goroutine.
type CacheEvents interface {
	Next() (enginewire.CacheEventBatch, error)
	Close()
}

// Engines reaches the back ends. Every call dispatches at most once: nothing is
// ever replayed behind the caller's back.
type Engines interface {
	// Generate starts an answer. It fails with *AttemptError.
	Generate(ctx context.Context, call Generation) (TokenStream, error)
	// Page sends a request to a web-app runner. It fails with *AttemptError, also
	// when the runner refuses with a run state.
	Page(ctx context.Context, call PageCall) (*PageAnswer, error)
	// Cancel stops an attempt on an engine.
	Cancel(ctx context.Context, address string, request enginewire.CancelRequest) error
	// Status reads a back end's report about itself.
	Status(ctx context.Context, address string) (enginewire.Status, error)
	// Order gives a fenced order. It fails with *AttemptError with the engine's code.
	Order(ctx context.Context, address string, order enginewire.Order) error
	// CacheEvents opens the stream of cache events after a sequence number.
	CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error)
	// ExportKV reads the KV cache of a prefix that ends with a block.
	ExportKV(ctx context.Context, address string, block prefix.Hash) ([]byte, error)
	// ImportKV gives an engine KV cache that another exported.
	ImportKV(ctx context.Context, address string, body []byte) error
}

// AttemptError says how a call to a back end failed and what is known of it.
type AttemptError struct {
	Evidence outcome.Evidence
	// Status is the HTTP status of a refusal, or zero.
	Status int
	// Code is the engine's code of a refusal, or empty.
	Code string
	// Message is the engine's message of a refusal, or empty.
	Message string
	// Head is what a refusal's headers say of the back end.
	Head AnswerHead
	// RetryAfter is when the engine wants to be asked again; zero when not said.
	RetryAfter time.Duration
	// Unreachable is set when the back end could not be reached or broke the connection.
	Unreachable bool
	Cause       error
}

// Error implements error.
func (e *AttemptError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("back end refused: status %d, code %q, %s: %s", e.Status, e.Code, e.Evidence, e.Message)
	}
	return fmt.Sprintf("back end failed, %s: %v", e.Evidence, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }
