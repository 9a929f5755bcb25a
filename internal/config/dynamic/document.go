// Package dynamic holds the configuration that operators change while the
// system runs. It is a document with a revision, and every accepted change
// makes the next revision. The platform's table service keeps it; daemons
// spread it between themselves. Settings that a process reads once at its start
// are in package static instead.
package dynamic

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Document is the whole configuration at one revision. A published document is
// never modified; applying a change makes a new one.
type Document struct {
	Revision identity.Revision `json:"revision" msgpack:"revision"`
	Services []Service         `json:"services" msgpack:"services"`
	Models   []Model           `json:"models" msgpack:"models"`
	Tenants  []Tenant          `json:"tenants" msgpack:"tenants"`
	Events   []Event           `json:"events" msgpack:"events"`
	Drains   []Drain           `json:"drains" msgpack:"drains"`
	Orders   []StandingOrder   `json:"orders" msgpack:"orders"`
	// Rosters lists the claim replica rosters, newest last. At most the two
	// newest are kept: a replica of the newest catches up from the one before.
	// Once there are rosters, only PutRoster changes them.
	Rosters []Roster `json:"rosters" msgpack:"rosters"`
	// History lists the newest accepted changes, oldest first, at most
	// HistoryLength of them. Apply keeps it, and tells conflicts by it.
	History []Touch `json:"history,omitempty" msgpack:"history,omitempty"`
	// entries is the sum of all entries of the lists, in a document that Apply
	// made; nil in any other. A copy of the document must not change the lists.
	entries *sum
}

// NewestRoster returns the roster of claim replicas with the highest epoch, and
// false when there is none yet.
func (d *Document) NewestRoster() (Roster, bool) {
	if len(d.Rosters) == 0 {
		return Roster{}, false
	}
	return d.Rosters[len(d.Rosters)-1], true
}

// Service is a group of back ends that serve the same work.
type Service struct {
	Name identity.ServiceName `json:"name" msgpack:"name"`
	Kind identity.BackendKind `json:"kind" msgpack:"kind"`
	// Models are those that the engines of the service may serve.
	Models []identity.ModelName `json:"models,omitempty" msgpack:"models,omitempty"`
	// NotRepeatable lists path prefixes whose requests run at most once.
	NotRepeatable []string `json:"not_repeatable,omitempty" msgpack:"not_repeatable,omitempty"`
	// ConcurrentLoads limits how many engines load weights at the same time.
	ConcurrentLoads int `json:"concurrent_loads,omitempty" msgpack:"concurrent_loads,omitempty"`
}

// Model is a model and the version of its weights that requests run on.
type Model struct {
	Name     identity.ModelName      `json:"name" msgpack:"name"`
	Version  identity.WeightsVersion `json:"version" msgpack:"version"`
	Adapters []identity.AdapterName  `json:"adapters,omitempty" msgpack:"adapters,omitempty"`
	// ContextTokens is the longest prompt and answer together, in tokens.
	ContextTokens int `json:"context_tokens" msgpack:"context_tokens"`
}

// Tenant is a caller's organisation.
type Tenant struct {
	Name identity.TenantName `json:"name" msgpack:"name"`
	// KeyHashes are lower-case hexadecimal SHA-256 sums of the tenant's bearer keys.
	KeyHashes []string     `json:"key_hashes" msgpack:"key_hashes"`
	Limits    TenantLimits `json:"limits" msgpack:"limits"`
}

// TenantLimits hold over all daemons together. Zero means no limit.
type TenantLimits struct {
	// TokensPerSecond limits prompt and answer tokens together.
	TokensPerSecond    float64 `json:"tokens_per_second,omitempty" msgpack:"tokens_per_second,omitempty"`
	ConcurrentRequests int     `json:"concurrent_requests,omitempty" msgpack:"concurrent_requests,omitempty"`
	// Weight is the tenant's share against other tenants; zero counts as 1.
	Weight float64 `json:"weight,omitempty" msgpack:"weight,omitempty"`
}

// Event is a declared event with a fixed start.
type Event struct {
	Name    string                `json:"name" msgpack:"name"`
	Start   time.Time             `json:"start" msgpack:"start"`
	End     time.Time             `json:"end" msgpack:"end"`
	Tenants []identity.TenantName `json:"tenants" msgpack:"tenants"`
	Models  []EventModel          `json:"models" msgpack:"models"`
	// NotRepeatable lists routes whose requests run at most once in the window.
	NotRepeatable []Route `json:"not_repeatable,omitempty" msgpack:"not_repeatable,omitempty"`
	// Prefixes are prompts to compute before the window opens.
	Prefixes []EventPrefix `json:"prefixes,omitempty" msgpack:"prefixes,omitempty"`
}

// EventModel is a model that an event needs, with the engines it needs.
type EventModel struct {
	Service identity.ServiceName    `json:"service" msgpack:"service"`
	Model   identity.ModelName      `json:"model" msgpack:"model"`
	Version identity.WeightsVersion `json:"version" msgpack:"version"`
	Engines int                     `json:"engines" msgpack:"engines"`
}

// EventPrefix is a prompt prefix that an event's requests share.
type EventPrefix struct {
	Tenant identity.TenantName `json:"tenant" msgpack:"tenant"`
	Model  identity.ModelName  `json:"model" msgpack:"model"`
	// ObjectKey names the prompt text in the object store.
	ObjectKey string `json:"object_key" msgpack:"object_key"`
}

// Route is a path prefix of a service.
type Route struct {
	Service identity.ServiceName `json:"service" msgpack:"service"`
	Prefix  string               `json:"prefix" msgpack:"prefix"`
}

// Drain marks a back end as leaving by an operator's order.
type Drain struct {
	Backend identity.BackendID `json:"backend" msgpack:"backend"`
	Since   time.Time          `json:"since" msgpack:"since"`
}

// StandingOrder is what an operator wants an engine to have or be.
type StandingOrder struct {
	Backend identity.BackendID      `json:"backend" msgpack:"backend"`
	Model   identity.ModelName      `json:"model,omitempty" msgpack:"model,omitempty"`
	Version identity.WeightsVersion `json:"version,omitempty" msgpack:"version,omitempty"`
	Adapter identity.AdapterName    `json:"adapter,omitempty" msgpack:"adapter,omitempty"`
	Role    string                  `json:"role,omitempty" msgpack:"role,omitempty"`
	// Unload asks for removal in place of presence.
	Unload bool `json:"unload,omitempty" msgpack:"unload,omitempty"`
}

// Roster is the set of daemons that act as claim replicas in one epoch.
type Roster struct {
	Epoch   uint64   `json:"epoch" msgpack:"epoch"`
	Daemons []Daemon `json:"daemons" msgpack:"daemons"`
}

// Daemon is one daemon of a roster.
type Daemon struct {
	ID   identity.DaemonID `json:"id" msgpack:"id"`
	Zone identity.Zone     `json:"zone" msgpack:"zone"`
	// Address is the peer address, IP:port, used for TCP and UDP alike.
	Address string `json:"address" msgpack:"address"`
}

// Change is one accepted or proposed change of the configuration. Its ID makes
// a repeated proposal the same change.
type Change struct {
	ID       string    `json:"id" msgpack:"id"`
	Operator string    `json:"operator" msgpack:"operator"`
	At       time.Time `json:"at" msgpack:"at"`
	// Base, when not nil, is the revision that the operator had read: the change
	// is refused with a conflict if what it touches changed since.
	Base *identity.Revision `json:"base,omitempty" msgpack:"base,omitempty"`
	// Statement is the command in the operators' language that the change was
	// made of; empty for an import. It is kept for the audit, and tells whether a
	// repeated command is the one that was accepted.
	Statement string    `json:"statement,omitempty" msgpack:"statement,omitempty"`
	Operation Operation `json:"operation" msgpack:"operation"`
}

// Operation is what a change does. Exactly one field is set.
type Operation struct {
	PutService    *Service             `json:"put_service,omitempty" msgpack:"put_service,omitempty"`
	PutModel      *Model               `json:"put_model,omitempty" msgpack:"put_model,omitempty"`
	PutTenant     *Tenant              `json:"put_tenant,omitempty" msgpack:"put_tenant,omitempty"`
	RemoveTenant  *identity.TenantName `json:"remove_tenant,omitempty" msgpack:"remove_tenant,omitempty"`
	PutEvent      *Event               `json:"put_event,omitempty" msgpack:"put_event,omitempty"`
	CancelEvent   *string              `json:"cancel_event,omitempty" msgpack:"cancel_event,omitempty"`
	DrainBackend  *identity.BackendID  `json:"drain_backend,omitempty" msgpack:"drain_backend,omitempty"`
	ReturnBackend *identity.BackendID  `json:"return_backend,omitempty" msgpack:"return_backend,omitempty"`
	PutOrder      *StandingOrder       `json:"put_order,omitempty" msgpack:"put_order,omitempty"`
	PutRoster     *Roster              `json:"put_roster,omitempty" msgpack:"put_roster,omitempty"`
	SetLimits     *SetLimits           `json:"set_limits,omitempty" msgpack:"set_limits,omitempty"`
	Replace       *Document            `json:"replace,omitempty" msgpack:"replace,omitempty"`
}

// SetLimits changes the limits of one tenant.
type SetLimits struct {
	Tenant identity.TenantName `json:"tenant" msgpack:"tenant"`
	Limits TenantLimits        `json:"limits" msgpack:"limits"`
}
