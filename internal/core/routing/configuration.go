// Package routing holds the configuration of routes, services and tenants, and looks up the route
// and the tenant of a request. A compiled Table is immutable: a request keeps the table it started
// with until it ends. The package performs no I/O and reads no clock.
package routing

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Kind says how often a request of a route may be executed.
type Kind string

// The kinds of route.
const (
	// KindSafe requests may be executed any number of times.
	KindSafe Kind = "safe"
	// KindUnsafe requests are executed at most once.
	KindUnsafe Kind = "unsafe"
	// KindStreaming requests are answered by an event stream. They are executed at most once unless
	// the route is resumable.
	KindStreaming Kind = "streaming"
)

// Configuration is one version of what operators declare.
type Configuration struct {
	// Version orders configurations; newer ones have higher versions.
	Version  uint64
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits
}

// Route maps requests with a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the total time of a request; zero is no bound.
	Timeout time.Duration
	// TargetLatency is the target for the time to the first byte (for streams: the first event).
	TargetLatency time.Duration
	// GapTarget is the target for the longest pause between events of a stream.
	GapTarget time.Duration
	// Priority orders requests; 0 is the highest.
	Priority int
	// Split lists the services with their weights; it is never empty.
	Split []Share
	// MaxAttempts is the maximum number of backends to which one request is sent.
	MaxAttempts    int
	AllowAnonymous bool
	Resumable      bool
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStreaming && r.Resumable)
}

// Share is a service's weight in the traffic split of a route.
type Share struct {
	Service identity.ServiceName
	Weight  int
}

// Service is a group of interchangeable backends, or a store of prompt caches.
type Service struct {
	Name           identity.ServiceName
	MaxConnections int
	// Engine is set for services that run language models.
	Engine *Engine
	// PromptStore is set for a store of prompt caches, which serves no requests.
	PromptStore *PromptStore
}

// Engine describes the capacity of a service's language-model backends.
type Engine struct {
	Slots          int
	CapacityTokens int
	// TokenBytes is the size of one token's cache in bytes.
	TokenBytes int
	Models     []identity.ModelName
}

// PromptStore is a store to which backends save prompt caches and from which they load them.
type PromptStore struct {
	// Address is IP:port.
	Address        string
	Zone           identity.Zone
	CapacityTokens int
	// LinkBitsPerSecond is the store's bandwidth for sending and receiving caches.
	LinkBitsPerSecond float64
}

// Tenant is a customer, identified by API keys.
type Tenant struct {
	Name identity.TenantName
	Keys []string
	// Priority overrides the route's unless nil.
	Priority *int
	// Isolated tenants share no cached prompts with others.
	Isolated bool
	// Limit bounds the tenant's use across all daemons; nil is no bound.
	Limit *TenantLimit
}

// LimitUnit is the unit of a tenant's limit.
type LimitUnit string

// The units of limits.
const (
	// LimitRequests counts each request as one.
	LimitRequests LimitUnit = "requests"
	// LimitTokens counts a request's prompt tokens plus the maximum number of response tokens.
	LimitTokens LimitUnit = "tokens"
)

// TenantLimit is the rate limit of a tenant.
type TenantLimit struct {
	Unit LimitUnit
	// RatePerSecond and Burst are in the unit.
	RatePerSecond, Burst float64
	// PlainTokens is the cost of a request that declares no tokens, if the unit is tokens.
	PlainTokens int
}

// Cost returns the cost of a request that declares a number of tokens, zero if it declares none.
func (l *TenantLimit) Cost(declaredTokens int) float64 {
	switch {
	case l.Unit != LimitTokens:
		return 1
	case declaredTokens > 0:
		return float64(declaredTokens)
	default:
		return float64(l.PlainTokens)
	}
}

// Limits bound the size and the duration of what callers send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
