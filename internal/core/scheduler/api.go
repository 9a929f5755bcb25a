// Package scheduler decides which back end each request goes to, and which
// requests wait or are refused. It is pure: it does no I/O, starts no
// goroutines and reads no clock. Every call carries the time, and every call
// returns the actions that it leads to. The daemon's control goroutine and the
// simulated experiments drive the same code.
package scheduler

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Backend is what the scheduler knows of a back end from configuration, machine
// list, membership and status reports.
type Backend struct {
	ID          identity.BackendID
	Kind        identity.BackendKind
	Service     identity.ServiceName
	Zone        identity.Zone
	Address     string
	Incarnation identity.Incarnation
	// Models are the models ready on an engine, with their weights versions.
	Models []enginewire.LoadedModel
	// Leaving back ends get no new work.
	Leaving bool
}

// Request is one request that needs a back end.
type Request struct {
	ID      identity.RequestID
	Tenant  identity.TenantName
	Service identity.ServiceName // set for web-app work
	Kind    identity.BackendKind
	Model   identity.ModelName
	Version identity.WeightsVersion
	Class   identity.PriorityClass
	// Chain is the prompt's block hashes; empty for web-app work.
	Chain        prefix.Chain
	PromptTokens int
	// OutputTokens is the most tokens that the answer may have; it is a guess
	// when the caller set no limit.
	OutputTokens int
	// Deadline is when the caller wants the first token at the latest.
	Deadline time.Time
	// Excluded are back ends that failed this request before.
	Excluded []identity.BackendID
	// Attempt counts from 1. Later attempts have been admitted before and are
	// not charged to limits again.
	Attempt int
}

// Action is what the caller of the scheduler has to do.
type Action interface{ isAction() }

// Start sends the request to a back end now.
type Start struct {
	RequestID identity.RequestID
	Backend   Backend
	// ExpectedCachedTokens is how much of the prompt should be cached there, with
	// what is imported first.
	ExpectedCachedTokens int
	// ImportFrom, when not empty, is an engine to import the prefix's KV from first.
	ImportFrom identity.BackendID
}

// Refuse answers the request at once; it did not run.
type Refuse struct {
	RequestID  identity.RequestID
	Reason     RefusalReason
	RetryAfter time.Duration
}

func (Start) isAction()  {}
func (Refuse) isAction() {}

// RefusalReason says why a request was refused.
type RefusalReason string

// The reasons for refusal.
const (
	ReasonNoBackend      RefusalReason = "no_backend"
	ReasonQueueFull      RefusalReason = "queue_full"
	ReasonDeadline       RefusalReason = "deadline"
	ReasonTokenLimit     RefusalReason = "tenant_token_limit"
	ReasonConcurrency    RefusalReason = "tenant_concurrency_limit"
	ReasonNoOtherBackend RefusalReason = "no_other_backend"
)

// FirstToken reports that a started request gave its first token.
type FirstToken struct {
	RequestID    identity.RequestID
	Backend      identity.BackendID
	Incarnation  identity.Incarnation
	CachedTokens int // as the engine reported; -1 when unknown
	// Load is the back end's load as the answer reported it, or nil.
	Load *enginewire.Load
}

// Finish reports the end of a started attempt.
type Finish struct {
	RequestID    identity.RequestID
	Backend      identity.BackendID
	OutputTokens int
	Failed       bool
	// Unreachable is set when the back end could not be reached or broke the
	// connection, so that it is avoided for a while.
	Unreachable bool
	// Retrying is set when another attempt follows at once. The request then keeps
	// its place in its tenant's concurrency.
	Retrying bool
}

// TenantLimit is this daemon's present share of a tenant's limits.
type TenantLimit struct {
	Tenant             identity.TenantName
	Weight             float64
	TokensPerSecond    float64 // zero: no limit
	ConcurrentRequests int     // zero: no limit; negative: none allowed now
}

// Policy is what the daemon and the experiments drive. *Scheduler implements it,
// and so do the baselines of the experiments.
type Policy interface {
	// SetBackends replaces the known back ends. A changed incarnation drops all
	// that was believed about the back end's cache.
	SetBackends(now time.Time, backends []Backend) []Action
	// SetTenants replaces the shares of limits.
	SetTenants(now time.Time, limits []TenantLimit)
	// Arrive takes a request, which starts, waits or is refused.
	Arrive(now time.Time, request Request) []Action
	// Cancel forgets a request that waits.
	Cancel(now time.Time, id identity.RequestID) []Action
	// FirstToken and Finish report on a started request.
	FirstToken(now time.Time, report FirstToken) []Action
	Finish(now time.Time, report Finish) []Action
	// ObserveLoad takes a load report of a back end.
	ObserveLoad(now time.Time, backend identity.BackendID, incarnation identity.Incarnation, load enginewire.Load)
	// ObserveCacheEvents takes cache events of a back end.
	ObserveCacheEvents(now time.Time, backend identity.BackendID, batch enginewire.CacheEventBatch)
	// Tick is called every few tens of milliseconds for what is due by time.
	Tick(now time.Time) []Action
}
