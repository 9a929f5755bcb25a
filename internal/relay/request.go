// Package relay forwards requests to backends and returns their answers to the callers. It sits
// below all front ends: it selects the backend of a request, decides whether a failed request may
// be retried at another backend and what the caller is told about it, and resumes interrupted
// streams. Wire formats are left to the front end (Caller) and the backend adapter (Backends).
package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/promptcache"
)

// Part is one part of a prompt. Requests may have parts in common, except for the last part of
// each.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request declares about its prompt to a language model.
type Prompt struct {
	Model identity.ModelName
	Parts []Part
	// OutputTokens is the expected length of the answer; zero means unknown.
	OutputTokens int
	// Derived is set if the front end determined the parts itself. They are then passed on to the
	// backend in the same form as parts declared by callers.
	Derived bool
}

// Request is a caller's request whose body has been read.
type Request struct {
	ID     identity.RequestID
	Method string
	Host   string
	// Target is the path and query as received, and Path the path alone.
	Target string
	Path   string
	// Header holds the header fields to pass on.
	Header http.Header
	Body   []byte
	// Key authenticates the tenant. It is empty if the caller sent none.
	Key       string
	ArrivedAt time.Time
	// Timeout is how long after ArrivedAt the caller waits; zero means unknown.
	Timeout time.Duration
	// Prompt is nil for requests without a model.
	Prompt *Prompt
	// DeclaredTokens is what the request is charged against its tenant's limit: the prompt tokens
	// plus the maximum of the answer. Zero means unknown.
	DeclaredTokens int
	// ResumeAfter is the ID of the last event that the caller has received. It is empty for a
	// stream from its start.
	ResumeAfter string
	// Resumes is the ID of the request that brought the first event of the stream that this one
	// continues. It is empty if the caller named none.
	Resumes identity.RequestID
	// Account tracks the buffer space held for the request and its answer; nil disables the
	// tracking.
	Account *buffers.Exchange
}

// RefusalKind classifies what a caller is told about a request without an answer.
type RefusalKind string

// Refusal kinds.
const (
	// RefusalNoRoute means that no route matches the host and path.
	RefusalNoRoute RefusalKind = "no_route"
	// RefusalUnknownKey means that the key belongs to no tenant.
	RefusalUnknownKey RefusalKind = "unknown_key"
	// RefusalNotRun means that the request has not run and never will.
	RefusalNotRun RefusalKind = "not_run"
	// RefusalUnknown means that the request may have run.
	RefusalUnknown RefusalKind = "unknown"
	// RefusalOverLimit means that the tenant exceeded its limit. The request has not run.
	RefusalOverLimit RefusalKind = "over_limit"
	// RefusalTimeout means that the time limit passed. The request may have run.
	RefusalTimeout RefusalKind = "timeout"
)

// Refusal is the final answer to a request that has none from a backend.
type Refusal struct {
	Kind RefusalKind
	// Reason is a short identifier for logs and metrics.
	Reason string
	// RetryAfter is the retry delay for requests that have not run.
	RetryAfter time.Duration
}

// Head is the status and header of an answer.
type Head struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if unknown.
	Length int64
}

// Caller receives the answer to one request.
type Caller interface {
	// Begin sends the head. Refuse must not be called after it.
	Begin(head Head) error
	// Write sends part of the body, and Flush flushes written data to the network.
	Write(piece []byte) error
	Flush() error
	// Abort ends a started answer in such a way that the caller can tell it is incomplete.
	Abort()
	// Refuse sends a final answer in place of one from a backend.
	Refuse(refusal Refusal)
}

// Confirmation is how sure it must be that the listed incarnation of a backend answers. A later one takes requests too, and may run
// another software version.
type Confirmation int

// Confirmations.
const (
	// ConfirmationNone asks for none.
	ConfirmationNone Confirmation = iota
	// ConfirmationWanted asks the backend for its incarnation. The request is not sent to another one than the listed, but to one
	// that does not tell.
	ConfirmationWanted
	// ConfirmationRequired sends the request to the listed incarnation alone.
	ConfirmationRequired
)

// Errors of attempts that were not sent because of the backend's incarnation.
var (
	// ErrRestarted means that the backend has restarted since it was listed.
	ErrRestarted = errors.New("the back end has restarted since it was listed")
	// ErrUnconfirmed means that the backend did not tell its incarnation.
	ErrUnconfirmed = errors.New("the back end does not tell its incarnation")
)

// Accept returns an error if a request must not be sent to a backend that names an incarnation, which is zero if it named none.
// Where no incarnation is listed, any is accepted.
func (c Confirmation) Accept(backend identity.BackendID, incarnation identity.Incarnation) error {
	listed := backend.Incarnation()
	switch {
	case c == ConfirmationNone || listed == 0 || incarnation == listed:
		return nil
	case incarnation != 0:
		return ErrRestarted
	case c == ConfirmationRequired:
		return ErrUnconfirmed
	}
	return nil
}

// Dispatch is one attempt to send a request to one backend.
type Dispatch struct {
	Request *Request
	Backend identity.BackendID
	Address string
	// Timeout bounds the time that the backend may take; zero means unlimited.
	Timeout time.Duration
	// Tenant is empty for anonymous requests.
	Tenant identity.TenantName
	// Priority is the request's priority at the backend; 0 is the highest.
	Priority int
	// Version is the version of the model's weights that the backend must serve; zero accepts any.
	Version uint64
	// CacheSalt separates prompt caches: a backend finds a part only under the salt it was cached
	// with.
	CacheSalt string
	// FetchFrom and SaveTo are the source and target address of the prompt's cache; empty means
	// none.
	FetchFrom, SaveTo string
	// ResumeAfter is the ID of the last stream event that must not be sent again.
	ResumeAfter string
	// CheckAccepting must be called right before the request is sent, if connecting took time. An
	// error cancels the attempt. Nil means no check.
	CheckAccepting func() error
	// Confirmation is how sure it must be that the listed incarnation of the backend answers.
	Confirmation Confirmation
	// Configuration is the version of the configuration that the request was admitted with.
	Configuration uint64
	// EndOnLinkLoss is set if the attempt is to be ended rather than to wait for a network link that has failed.
	EndOnLinkLoss bool
	// OnLinkLost is called if the request is in flight on a network link that has failed, so that
	// silence or a lost connection says nothing about the backend. It must not block. Nil is not
	// called.
	OnLinkLost func()
}

// Verdict classifies a backend's answer.
type Verdict int

// Answer verdicts.
const (
	// VerdictAnswer marks a regular answer of the backend, a success or a failure.
	VerdictAnswer Verdict = iota
	// VerdictNotRun means that the backend did not run the request.
	VerdictNotRun
	// VerdictReplaced means that another backend now uses the address.
	VerdictReplaced
	// VerdictOtherVersion means that the backend serves other weights.
	VerdictOtherVersion
	// VerdictInvalid marks an answer that a backend never sends intentionally.
	VerdictInvalid
)

// Answer is a backend's answer. Body must be closed; closing it before its end cancels the request
// at the backend.
type Answer struct {
	Verdict Verdict
	Head    Head
	// Stream is set if the body is an event stream.
	Stream bool
	// Delimited is false if only the end of the connection marks the end of the body.
	Delimited bool
	// WeightsVersion is the version of the weights that the answer names, or zero.
	WeightsVersion uint64
	// Incarnation is the one that the backend named on the connection of the answer; zero if it was not asked or didn't tell.
	Incarnation identity.Incarnation
	// Notice is what the backend announces about itself in the head of the answer.
	Notice backendpool.Notice
	// Via is the address of the daemon that the answer came through; empty if it came directly.
	Via  string
	Body io.ReadCloser
}

// SendError is the error of an attempt without an answer.
type SendError struct {
	Evidence outcome.Evidence
	// Via is the address of the daemon that the request was sent through; empty if it was sent directly.
	Via   string
	Cause error
}

// Error implements error.
func (e *SendError) Error() string { return e.Evidence.String() + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Cause }

// Loads provides the load that other daemons put on backends.
type Loads interface {
	// Needed reports whether the pool must be refreshed before a backend is selected.
	Needed() bool
	// Refresh updates the pool with the load that other daemons put on backends, which are given
	// by the hashes of their IDs.
	Refresh(ctx context.Context, keys []uint64)
	// RefreshParts looks up where parts of prompts are cached and records it in the memory of
	// parts, if there are too many daemons to broadcast it.
	RefreshParts(ctx context.Context, parts []promptcache.Key)
}

// Backends sends requests to backends.
type Backends interface {
	// Send makes a single attempt. Its errors are of type *SendError. When the context ends, the
	// exchange is cut, which cancels the request at the backend.
	Send(ctx context.Context, dispatch *Dispatch) (*Answer, error)
	// Reach connects to a backend, from this daemon or from another one that requests could take their path through.
	Reach(ctx context.Context, address string) backendpool.ConnectResult
}
