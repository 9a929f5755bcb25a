// Package enginewire is the interface of the back ends as they see it on the
// wire: header names, paths and bodies, beyond the OpenAI-compatible API that
// model engines serve. The adapter in the daemon and the stand-in engine both
// use it, so that they cannot drift apart.
//
// A model engine serves POST /v1/completions and POST /v1/chat/completions. The
// router always asks for a stream (server-sent events) with usage. Each event
// carries an `id:` line with the token offset of the event's first token (the
// first token of the answer has offset 0). An event that holds another number
// of tokens than one says so after a plus sign: `id: 12+3` holds tokens 12, 13
// and 14, and `id: 15+0` holds none, such as a finish event without text. So a
// reader can tell a lost event from one that holds several tokens. An event
// before the first token that only names the role has no `id:` line.
// The event with a finish_reason is followed by one with usage and empty
// choices, and then by `data: [DONE]`. A stream without [DONE] was cut.
package enginewire

import "github.com/lotusward/lotusward/internal/core/identity"

// Request headers that the router sends to a back end.
const (
	// HeaderRequestID carries the request's identity over all its attempts.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttempt carries the attempt's number, from 1.
	HeaderAttempt = "X-Attempt"
	// HeaderCacheSalt separates the engine's prefix cache by tenant, model and
	// weights version. It is mixed into the first block's hash.
	HeaderCacheSalt = "X-Cache-Salt"
	// HeaderPriority carries the engine priority; a lower number goes first.
	HeaderPriority = "X-Priority"
	// HeaderExpectedIncarnation makes the engine refuse the request, not run,
	// when it is no longer in this incarnation.
	HeaderExpectedIncarnation = "X-Expected-Incarnation"
	// HeaderExpectedWeights makes the engine refuse the request, not run, when
	// the model's weights are not of this version.
	HeaderExpectedWeights = "X-Expected-Weights"
)

// Response headers of a back end. They are sent when the request starts to run,
// or with a refusal.
const (
	HeaderIncarnation  = "X-Engine-Incarnation"
	HeaderWeights      = "X-Weights-Version"
	HeaderCachedTokens = "X-Cached-Tokens"
	HeaderPromptTokens = "X-Prompt-Tokens"
	HeaderQueuedTokens = "X-Load-Queued-Tokens"
	HeaderRunning      = "X-Load-Running"
	HeaderWaiting      = "X-Load-Waiting"
	HeaderFreeBlocks   = "X-Load-Free-Blocks"
	// HeaderRunState is on every refusal, with an identity.RunState value.
	HeaderRunState = "X-Run-State"
	// HeaderStateVersion carries Status.StateVersion, in decimal.
	HeaderStateVersion = "X-State-Version"
	// HeaderLeaving is "true" when the back end takes no new work.
	HeaderLeaving = "X-Leaving"
)

// Paths of a back end beyond the OpenAI-compatible API.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	// PathCancel takes POST with a CancelRequest.
	PathCancel = "/v1/cancel"
	// PathStatus answers GET with a Status in JSON.
	PathStatus = "/v1/status"
	// PathCacheEvents answers GET ?from=SEQUENCE with an endless stream of
	// msgpack-encoded CacheEventBatch values, one after the other.
	PathCacheEvents = "/v1/cache-events"
	// PathOrders takes POST with an Order in JSON; an older fence is refused with 409.
	PathOrders = "/v1/orders"
	// PathKVExport answers GET ?block=HASH (of the last block wanted, in hexadecimal) with
	// an opaque body; PathKVImport takes POST with that body.
	PathKVExport = "/v1/kv/export"
	PathKVImport = "/v1/kv/import"
)

// Resume is the `resume` field of a completion body: the engine recomputes the
// prompt and Text, and streams from token Offset on.
type Resume struct {
	// Offset is how many tokens of the answer the caller has.
	Offset int `json:"offset"`
	// Text is the answer's text up to Offset.
	Text string `json:"text"`
}

// CancelRequest stops a request on an engine.
type CancelRequest struct {
	RequestID identity.RequestID `json:"request_id"`
	Attempt   int                `json:"attempt"`
}

// Refusal is the JSON body of every refusal, beside the OpenAI error shape.
type Refusal struct {
	Error RefusalError `json:"error"`
}

// RefusalError is the inside of a Refusal.
type RefusalError struct {
	Message  string            `json:"message"`
	Type     string            `json:"type"`
	Code     string            `json:"code"`
	RunState identity.RunState `json:"run_state"`
}

// Codes of a back end's refusals.
const (
	CodeWrongIncarnation = "wrong_incarnation"
	CodeWrongWeights     = "wrong_weights"
	CodeModelNotLoaded   = "model_not_loaded"
	CodeLeaving          = "leaving"
	CodeQueueFull        = "queue_full"
	CodeStaleFence       = "stale_fence"
	CodeInvalidRequest   = "invalid_request"
)

// State is what a back end says about taking work.
type State string

// The states of a back end.
const (
	StateServing State = "serving"
	StateLoading State = "loading"
	StateLeaving State = "leaving"
)

// Status is a back end's report about itself.
type Status struct {
	Backend     identity.BackendID   `json:"backend"`
	Kind        identity.BackendKind `json:"kind"`
	Incarnation identity.Incarnation `json:"incarnation"`
	State       State                `json:"state"`
	// StateVersion grows with every change of State, over all lives of the back
	// end: it starts as the Incarnation and is raised at each change, to the time
	// in microseconds since the Unix epoch or by 1, whichever is more. Reports of
	// a lower version are older.
	StateVersion uint64        `json:"state_version"`
	Role         string        `json:"role,omitempty"`
	Models       []LoadedModel `json:"models,omitempty"`
	Load         Load          `json:"load"`
}

// LoadedModel is a model that an engine holds.
type LoadedModel struct {
	Model    identity.ModelName      `json:"model"`
	Version  identity.WeightsVersion `json:"version"`
	Adapters []identity.AdapterName  `json:"adapters,omitempty"`
	// Ready is false while the weights are still loading.
	Ready bool `json:"ready"`
}

// Load is how busy a back end is. Reports lag.
type Load struct {
	Running      int `json:"running"`
	Waiting      int `json:"waiting"`
	QueuedTokens int `json:"queued_tokens"`
	FreeBlocks   int `json:"free_blocks"`
	TotalBlocks  int `json:"total_blocks"`
}

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderSetRole       OrderKind = "set_role"
	OrderLeave         OrderKind = "leave"
	OrderReturn        OrderKind = "return"
)

// Order is a fenced order to a back end. The same order given twice has the
// effect of one.
type Order struct {
	Fence   identity.FencingToken   `json:"fence"`
	Kind    OrderKind               `json:"kind"`
	Model   identity.ModelName      `json:"model,omitempty"`
	Version identity.WeightsVersion `json:"version,omitempty"`
	Adapter identity.AdapterName    `json:"adapter,omitempty"`
	Role    string                  `json:"role,omitempty"`
}

// CacheEventKind names a change of an engine's prefix cache, after the events
// that vLLM publishes.
type CacheEventKind string

// The kinds of cache event.
const (
	BlockStored      CacheEventKind = "BlockStored"
	BlockRemoved     CacheEventKind = "BlockRemoved"
	AllBlocksCleared CacheEventKind = "AllBlocksCleared"
)

// CacheEvent is one change of an engine's prefix cache. Block hashes are those
// of package prefix.
type CacheEvent struct {
	Kind   CacheEventKind `msgpack:"kind"`
	Blocks []uint64       `msgpack:"blocks,omitempty"`
	Parent uint64         `msgpack:"parent,omitempty"`
}

// CacheEventBatch is a batch of events with the sequence number of the batch. A
// jump in Sequence is a gap.
type CacheEventBatch struct {
	Sequence    uint64               `msgpack:"sequence"`
	Incarnation identity.Incarnation `msgpack:"incarnation"`
	Events      []CacheEvent         `msgpack:"events"`
}
