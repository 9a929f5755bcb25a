package projection

import "math"

func logRatio(last, first float64) float64 { return math.Log(last / first) }

// Slopes are all that was measured. Times are processor time.
type Slopes struct {
	Idle       IdleSlopes   `json:"idle"`
	Call       CallSlopes   `json:"call"`
	Membership GossipSlopes `json:"membership"`
	// StressedMembership is with far more restarts than on an ordinary day.
	StressedMembership GossipSlopes `json:"stressed_membership"`
	// Sightings grow with the changes of back ends a second, their memory with the
	// back ends.
	Sightings     GossipSlopes        `json:"sightings"`
	Backends      BackendSlopes       `json:"backends"`
	Configuration ConfigurationSlopes `json:"configuration"`
	Limits        LimitSlopes         `json:"limits"`
	Placement     PlacementSlopes     `json:"placement"`
	Claims        ClaimSlopes         `json:"claims"`
	Controller    ControllerSlopes    `json:"controller"`
}

// IdleSlopes are what a real daemon without back ends and requests uses. They hold
// its probes, questions and reads with two peers, and the wake-ups of the runtime.
type IdleSlopes struct {
	Core          Slope `json:"core"`
	ResidentBytes Slope `json:"resident_bytes"`
}

// CallSlopes are what moves a message between processes.
type CallSlopes struct {
	// PeerSeconds and PeerBytes are those of one small call between daemons, both
	// ends together, without the headers of TCP and IP.
	PeerSeconds Slope `json:"peer_seconds"`
	PeerBytes   Slope `json:"peer_bytes"`
	// ConnectionBytes is the memory of one kept connection, at one end.
	ConnectionBytes Slope `json:"connection_bytes"`
	// DatagramSeconds is that of one datagram, both ends together.
	DatagramSeconds Slope `json:"datagram_seconds"`
}

// GossipSlopes are what one daemon spends on a gossiping core in a hollow run.
type GossipSlopes struct {
	// Core is without system calls.
	Core           Slope `json:"core"`
	BytesPerSecond Slope `json:"bytes_per_second"`
	// SentPerSecond counts sent datagrams.
	SentPerSecond Slope `json:"sent_per_second"`
	MemoryBytes   Slope `json:"memory_bytes"`
}

// BackendSlopes are what the knowledge of back ends costs.
type BackendSlopes struct {
	// PollSeconds and PollBytes are those of one status question, both ends.
	PollSeconds Slope `json:"poll_seconds"`
	PollBytes   Slope `json:"poll_bytes"`
	// MergeSeconds is that of one status report in the control loop.
	MergeSeconds Slope `json:"merge_seconds"`
	// RefreshSeconds is that of one look at all back ends for silence.
	RefreshSeconds Slope `json:"refresh_seconds"`
	// ChangeSeconds is that of one change that shows: scheduler and view.
	ChangeSeconds Slope `json:"change_seconds"`
	// AssignSeconds is that of finding which back ends to watch.
	AssignSeconds Slope `json:"assign_seconds"`
	// ListSeconds and ListBytes are those of one read of the machine list.
	ListSeconds Slope `json:"list_seconds"`
	ListBytes   Slope `json:"list_bytes"`
	// KnowledgeBytes is what a daemon that starts asks of another.
	KnowledgeBytes Slope `json:"knowledge_bytes"`
	// MemoryBytes is the heap of registry, scheduler and view.
	MemoryBytes Slope `json:"memory_bytes"`
}

// ConfigurationSlopes are what the configuration costs.
type ConfigurationSlopes struct {
	ApplySeconds  Slope `json:"apply_seconds"`
	ViewSeconds   Slope `json:"view_seconds"`
	DocumentBytes Slope `json:"document_bytes"`
	EncodedBytes  Slope `json:"encoded_bytes"`
	ChangeBytes   Slope `json:"change_bytes"`
	ViewBytes     Slope `json:"view_bytes"`
}

// LimitSlopes are what the division of tenants' limits costs.
type LimitSlopes struct {
	// TickSeconds is that of a tick in which the share of one tenant changes, with
	// the scheduler's taking of the shares.
	TickSeconds Slope `json:"tick_seconds"`
	// MemoryBytes is the heap of the sharer and of the scheduler's limits.
	MemoryBytes Slope `json:"memory_bytes"`
	// AsksPerSecond are what one daemon asks of others at its part of the requests,
	// and AskingCore is what its sharer and scheduler spend on it.
	AsksPerSecond Slope `json:"asks_per_second"`
	AskingCore    Slope `json:"asking_core"`
	// AskBytes is the encoded size of one ask.
	AskBytes Slope `json:"ask_bytes"`
}

// PlacementSlopes are what the scheduler and the belief cost.
type PlacementSlopes struct {
	// RequestSeconds is that of one request: arrival, first token and end.
	RequestSeconds Slope `json:"request_seconds"`
	TickSeconds    Slope `json:"tick_seconds"`
	// EntryBytes is the memory of one entry of the belief.
	EntryBytes Slope `json:"entry_bytes"`
	// EventSeconds and EventBytes are those of one cache event, decoded and applied.
	EventSeconds Slope `json:"event_seconds"`
	EventBytes   Slope `json:"event_bytes"`
	// NoticeSeconds and NoticeBytes are those of a notice of 512 uncached blocks.
	NoticeSeconds Slope `json:"notice_seconds"`
	NoticeBytes   Slope `json:"notice_bytes"`
}

// ClaimSlopes are what a claim with its settlement costs.
type ClaimSlopes struct {
	// DecisionSeconds is that of the coordinator and three replicas, without messages.
	DecisionSeconds Slope `json:"decision_seconds"`
	// MemoryBytes is that of one remembered claim at one replica.
	MemoryBytes Slope `json:"memory_bytes"`
	// GroupsSeconds is that of working out the replica groups of a roster.
	GroupsSeconds Slope `json:"groups_seconds"`
}

// ControllerSlopes are what the holder of the fleet lease spends.
type ControllerSlopes struct {
	PlanSeconds Slope `json:"plan_seconds"`
}
