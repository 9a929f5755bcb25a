// Package relay carries one request to back ends and its answer back to the
// caller. It is below all front ends: it decides which back end a request goes
// to, whether it may go to another one, what is said of a request that failed,
// and how a broken stream is resumed. Names and formats of the wire are left to
// the front end (Caller) and to the back ends' adapter (Backends).
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/promptcache"
)

// Part is one part of a prompt. Parts are shared among requests, but for the
// last of each request.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request for a language model declares of itself.
type Prompt struct {
	Model identity.ModelName
	Parts []Part
	// OutputTokens is how long the answer is expected to be; zero is unknown.
	OutputTokens int
	// Derived is set where the front end found the parts itself: they are told to the back
	// end then, as callers that declare them do.
	Derived bool
}

// Request is one request of a caller, with its body read.
type Request struct {
	ID     identity.RequestID
	Method string
	Host   string
	// Target is the path and query as received; Path is the path alone.
	Target string
	Path   string
	// Header is what is passed on.
	Header http.Header
	Body   []byte
	// Key authenticates the tenant; empty when the caller sent none.
	Key       string
	ArrivedAt time.Time
	// Timeout is how long after ArrivedAt the caller waits; zero is unknown.
	Timeout time.Duration
	// Prompt is nil for requests without a model.
	Prompt *Prompt
	// DeclaredTokens is what the request counts as against its tenant's limit: the tokens
	// of the prompt, and the most of the answer. Zero is unknown.
	DeclaredTokens int
	// ResumeAfter is the id of the last event that the caller has; empty for a
	// stream from its start.
	ResumeAfter string
	// Account accounts for what the daemon holds for the request and its answer; nil is none.
	Account *buffers.Exchange
}

// RefusalKind says what a caller is told about a request without an answer.
type RefusalKind string

// The kinds of refusal.
const (
	// RefusalNoRoute: no route has the host and path.
	RefusalNoRoute RefusalKind = "no_route"
	// RefusalUnknownKey: the key belongs to no tenant.
	RefusalUnknownKey RefusalKind = "unknown_key"
	// RefusalNotRun: the request has not run and never will.
	RefusalNotRun RefusalKind = "not_run"
	// RefusalUnknown: the request may have run.
	RefusalUnknown RefusalKind = "unknown"
	// RefusalOverLimit: the tenant is beyond its limit; the request has not run.
	RefusalOverLimit RefusalKind = "over_limit"
	// RefusalTimeout: time ran out; the request may have run.
	RefusalTimeout RefusalKind = "timeout"
)

// Refusal is the final answer to a request that got none from a back end.
type Refusal struct {
	Kind RefusalKind
	// Reason is a short word for logs and counters.
	Reason string
	// RetryAfter is when to come back, where the request has not run.
	RetryAfter time.Duration
}

// Head is the head of an answer to a caller.
type Head struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1.
	Length int64
}

// Caller takes the answer to one request.
type Caller interface {
	// Begin sends the head. Refuse must not follow it.
	Begin(head Head) error
	// Write sends a piece of the body; Flush hands what was written to the network.
	Write(piece []byte) error
	Flush() error
	// Abort ends an answer that has begun so that the caller sees that it is cut.
	Abort()
	// Refuse sends a final answer in place of a back end's.
	Refuse(refusal Refusal)
}

// Dispatch is one sending of a request to one back end.
type Dispatch struct {
	Request *Request
	Backend identity.BackendID
	Address string
	// Timeout is how long the back end may take; zero is no bound.
	Timeout time.Duration
	// Tenant is empty for anonymous requests.
	Tenant identity.TenantName
	// Priority is the request's rank at the back end; 0 goes first.
	Priority int
	// Version is the version of the model's weights that the back end must hold;
	// zero asks for none.
	Version uint64
	// CacheSalt keeps prompt caches apart: a back end finds a part only under the
	// salt that it was made under.
	CacheSalt string
	// FetchFrom and SaveTo are addresses to take prompt caches from and to save
	// them to; empty is none.
	FetchFrom, SaveTo string
	// ResumeAfter is the id of the last event of the stream that is not wanted again.
	ResumeAfter string
	// CheckAccepting is to be asked just before the request is sent, where connecting has taken time; an error ends the
	// sending. Nil is none.
	CheckAccepting func() error
}

// Verdict says what a back end's answer means.
type Verdict int

// The verdicts.
const (
	// VerdictAnswer is the back end's own answer, a success or a failure.
	VerdictAnswer Verdict = iota
	// VerdictNotRun says that the back end did not run the request.
	VerdictNotRun
	// VerdictReplaced says that another back end has the address.
	VerdictReplaced
	// VerdictOtherVersion says that the back end holds other weights.
	VerdictOtherVersion
	// VerdictInvalid is an answer that the back end can't have meant.
	VerdictInvalid
)

// Answer is a back end's answer. Body must be closed; closing it before its end
// cancels the request at the back end.
type Answer struct {
	Verdict Verdict
	Head    Head
	// Stream is set when the body is a stream of events.
	Stream bool
	// Delimited is false when only the connection's end ends the body.
	Delimited bool
	// WeightsVersion is the version that the answer tells, or zero.
	WeightsVersion uint64
	// Notice is what the back end says of itself in the answer's head.
	Notice backendpool.Notice
	Body   io.ReadCloser
}

// SendError is a sending without an answer.
type SendError struct {
	Evidence outcome.Evidence
	Cause    error
}

// Error implements error.
func (e *SendError) Error() string { return e.Evidence.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Loads knows what other daemons have under way at back ends.
type Loads interface {
	// Needed tells whether the pool has to be told before a choice.
	Needed() bool
	// Refresh tells the pool what other daemons have under way at back ends, by the hashes
	// of their IDs.
	Refresh(ctx context.Context, keys []uint64)
	// RefreshParts makes it remembered where parts of prompts are, where there are too many daemons to tell all.
	RefreshParts(ctx context.Context, parts []promptcache.Key)
}

// Backends sends requests to back ends.
type Backends interface {
	// Send sends once. It fails with *SendError. When the context ends, the
	// exchange is cut, which cancels the request at the back end.
	Send(ctx context.Context, dispatch *Dispatch) (*Answer, error)
	// Reach tells whether a back end accepts a connection.
	Reach(ctx context.Context, address string) bool
}
