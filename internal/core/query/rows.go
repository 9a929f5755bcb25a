package query

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// The row types below are the schemas of the sources. The column tag gives the
// name and how the answers of several daemons merge; see MergeRule.

// HotPrefix is a prompt prefix with many requests.
type HotPrefix struct {
	// Prefix is the hash of the prefix, in hexadecimal.
	Prefix  string                  `column:"prefix,key"`
	Tenant  identity.TenantName     `column:"tenant,key"`
	Model   identity.ModelName      `column:"model,key"`
	Version identity.WeightsVersion `column:"version,key"`
	// Tokens is the length of the prefix.
	Tokens            int       `column:"tokens,max"`
	RequestsPerSecond float64   `column:"requests_per_second,sum"`
	Waiting           int       `column:"waiting,sum"`
	Engines           int       `column:"engines,max"`
	Observed          time.Time `column:"observed,order"`
}

// WaitingRequest is a request in a daemon's queue.
type WaitingRequest struct {
	Request      identity.RequestID   `column:"request,key"`
	Daemon       identity.DaemonID    `column:"daemon,key"`
	Tenant       identity.TenantName  `column:"tenant"`
	Service      identity.ServiceName `column:"service"`
	Model        identity.ModelName   `column:"model"`
	Class        string               `column:"class"`
	PromptTokens int                  `column:"prompt_tokens"`
	Waited       time.Duration        `column:"waited,max"`
	Deadline     time.Time            `column:"deadline"`
}

// Backend is an engine or a web-app runner.
type Backend struct {
	Backend  identity.BackendID   `column:"backend,key"`
	Kind     identity.BackendKind `column:"kind"`
	Service  identity.ServiceName `column:"service"`
	Zone     identity.Zone        `column:"zone"`
	Address  string               `column:"address"`
	Leaving  bool                 `column:"leaving,max"`
	Reason   string               `column:"reason"`
	Running  int                  `column:"running,sum"`
	Observed time.Time            `column:"observed,order"`
}

// Engine is a model engine with its load.
type Engine struct {
	Engine      identity.BackendID   `column:"engine,key"`
	Service     identity.ServiceName `column:"service"`
	Zone        identity.Zone        `column:"zone"`
	Incarnation identity.Incarnation `column:"incarnation"`
	// Models lists what is loaded as MODEL@VERSION, with commas.
	Models  string `column:"models"`
	Role    string `column:"role"`
	Leaving bool   `column:"leaving,max"`
	// Running and Waiting are the engine's own report.
	Running int `column:"running"`
	Waiting int `column:"waiting"`
	// Assigned counts requests that daemons have sent and that have not ended.
	Assigned     int       `column:"assigned,sum"`
	QueuedTokens int       `column:"queued_tokens"`
	FreeBlocks   int       `column:"free_blocks"`
	TotalBlocks  int       `column:"total_blocks"`
	Observed     time.Time `column:"observed,order"`
}

// Daemon is a daemon as itself and others see it.
type Daemon struct {
	Daemon      identity.DaemonID    `column:"daemon,key"`
	Zone        identity.Zone        `column:"zone"`
	Address     string               `column:"address"`
	State       string               `column:"state"`
	Incarnation identity.Incarnation `column:"incarnation"`
	Revision    identity.Revision    `column:"revision,max"`
	Running     int                  `column:"running"`
	Waiting     int                  `column:"waiting"`
	Controller  bool                 `column:"controller"`
	Observed    time.Time            `column:"observed,order"`
}

// Tenant is a tenant with its limits and its present use.
type Tenant struct {
	Tenant               identity.TenantName `column:"tenant,key"`
	TokensPerSecondLimit float64             `column:"tokens_per_second_limit"`
	ConcurrentLimit      int                 `column:"concurrent_limit"`
	Weight               float64             `column:"weight"`
	TokensPerSecond      float64             `column:"tokens_per_second,sum"`
	Running              int                 `column:"running,sum"`
	Waiting              int                 `column:"waiting,sum"`
	Revision             identity.Revision   `column:"revision,order"`
}

// Event is a declared event.
type Event struct {
	Event   string    `column:"event,key"`
	State   string    `column:"state"`
	Start   time.Time `column:"start"`
	End     time.Time `column:"end"`
	Tenants string    `column:"tenants"`
	// Models lists SERVICE/MODEL@VERSION x ENGINES, with commas.
	Models        string `column:"models"`
	NotRepeatable string `column:"not_repeatable"`
}

// Model is a configured model.
type Model struct {
	Model         identity.ModelName      `column:"model,key"`
	Version       identity.WeightsVersion `column:"version"`
	Adapters      string                  `column:"adapters"`
	ContextTokens int                     `column:"context_tokens"`
}

// Revision is one revision of the configuration.
type Revision struct {
	Revision identity.Revision `column:"revision,key"`
	At       time.Time         `column:"at"`
	Operator string            `column:"operator"`
	Item     string            `column:"item"`
	Change   string            `column:"change"`
}

// Audit is one accepted command.
type Audit struct {
	Revision  identity.Revision `column:"revision,key"`
	At        time.Time         `column:"at"`
	Operator  string            `column:"operator"`
	Change    string            `column:"change"`
	Statement string            `column:"statement"`
	Operation string            `column:"operation"`
	// Detail is the operation in JSON, without key hashes.
	Detail string `column:"detail"`
}

// InForce is the revision that one daemon has in force.
type InForce struct {
	Daemon   identity.DaemonID `column:"daemon,key"`
	Revision identity.Revision `column:"revision,max"`
	// Behind is set when a newer revision is known.
	Behind bool `column:"behind"`
	// Reachable is cleared when the daemon did not answer.
	Reachable bool `column:"reachable,max"`
}
