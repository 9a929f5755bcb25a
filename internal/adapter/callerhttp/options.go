// Package callerhttp is the HTTP API for callers: the OpenAI-compatible API for
// model requests and a pass-through for web-app services. It authenticates and
// checks a request, has it scheduled, relays the answer, and retries or resumes
// where that is safe.
package callerhttp

import (
	"cmp"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/retry"
	"github.com/lotusward/lotusward/internal/port"
)

// Limits bound what one request may cost. Zero fields get the defaults.
type Limits struct {
	// MaxBodyBytes limits a request body.
	MaxBodyBytes int64
	// BodyTimeout limits the reading of a request body.
	BodyTimeout time.Duration
	// HeaderTimeout limits the reading of the request headers.
	HeaderTimeout time.Duration
	// MaxHeaderBytes limits the request headers.
	MaxHeaderBytes int
	// IdleTimeout is how long a caller's unused connection is kept.
	IdleTimeout time.Duration
	// WriteTimeout is how long a caller may take to accept a part of the answer.
	WriteTimeout time.Duration
	// FirstTokenTimeout is the deadline of the first token when the caller names none.
	FirstTokenTimeout time.Duration
	// MaxFirstTokenTimeout is the latest deadline that a caller may name.
	MaxFirstTokenTimeout time.Duration
	// AttemptTimeout is how long one attempt may take to its first event.
	AttemptTimeout time.Duration
	// StallTimeout is how long a running stream may give nothing.
	StallTimeout time.Duration
	// MaxAttempts limits the attempts of one request.
	MaxAttempts int
	// DefaultOutputTokens is the guess for an answer's length when the caller
	// names no limit.
	DefaultOutputTokens int
	// PageBufferBytes is how much of a page is held back, so that a page that
	// breaks off early can be fetched again.
	PageBufferBytes int
	// ImportTimeout limits the import of KV cache before an attempt.
	ImportTimeout time.Duration
}

// DefaultLimits are the limits used for fields that are zero.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:         8 << 20,
		BodyTimeout:          10 * time.Second,
		HeaderTimeout:        5 * time.Second,
		MaxHeaderBytes:       32 << 10,
		IdleTimeout:          2 * time.Minute,
		WriteTimeout:         30 * time.Second,
		FirstTokenTimeout:    30 * time.Second,
		MaxFirstTokenTimeout: 10 * time.Minute,
		AttemptTimeout:       15 * time.Second,
		StallTimeout:         10 * time.Second,
		MaxAttempts:          6,
		DefaultOutputTokens:  256,
		PageBufferBytes:      256 << 10,
		ImportTimeout:        300 * time.Millisecond,
	}
}

func (l Limits) withDefaults() Limits {
	defaults := DefaultLimits()
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, defaults.MaxBodyBytes)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, defaults.BodyTimeout)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaults.HeaderTimeout)
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, defaults.MaxHeaderBytes)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaults.IdleTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, defaults.WriteTimeout)
	l.FirstTokenTimeout = cmp.Or(l.FirstTokenTimeout, defaults.FirstTokenTimeout)
	l.MaxFirstTokenTimeout = cmp.Or(l.MaxFirstTokenTimeout, defaults.MaxFirstTokenTimeout)
	l.AttemptTimeout = cmp.Or(l.AttemptTimeout, defaults.AttemptTimeout)
	l.StallTimeout = cmp.Or(l.StallTimeout, defaults.StallTimeout)
	l.MaxAttempts = cmp.Or(l.MaxAttempts, defaults.MaxAttempts)
	l.DefaultOutputTokens = cmp.Or(l.DefaultOutputTokens, defaults.DefaultOutputTokens)
	l.PageBufferBytes = cmp.Or(l.PageBufferBytes, defaults.PageBufferBytes)
	l.ImportTimeout = cmp.Or(l.ImportTimeout, defaults.ImportTimeout)
	return l
}

// Options are what a Handler works with. Claims, Clock, OnLeaving and Registerer
// may be nil; without Claims a request with an idempotency key that must run at
// most once is refused.
type Options struct {
	Views      port.Views
	Scheduling port.Scheduling
	Claims     port.Claims
	Engines    port.Engines
	// Retries limits the retries of this daemon; the zero value stands for
	// retry.DefaultLimits.
	Retries retry.Limits
	Clock   func() time.Time
	Log     logrus.FieldLogger
	// Registerer takes the metrics.
	Registerer prometheus.Registerer
	Limits     Limits
	// OnLeaving is told when an answer or a refusal says that a back end leaves,
	// with the version of that state.
	OnLeaving func(backend identity.BackendID, stateVersion uint64)
}

func (o Options) withDefaults() Options {
	o.Limits = o.Limits.withDefaults()
	o.Retries = cmp.Or(o.Retries, retry.DefaultLimits())
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.OnLeaving == nil {
		o.OnLeaving = func(identity.BackendID, uint64) {}
	}
	return o
}
