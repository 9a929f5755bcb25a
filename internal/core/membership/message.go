package membership

import "github.com/lotusward/lotusward/internal/core/identity"

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// The kinds of message.
const (
	// MessageGossip only carries facts.
	MessageGossip MessageKind = iota
	// MessagePing asks Target for an acknowledgement.
	MessagePing
	// MessagePingRequest asks the receiver to ping Target and pass the
	// acknowledgement on.
	MessagePingRequest
	// MessageAck acknowledges the ping with the same Sequence.
	MessageAck
	// MessageSyncRequest carries digests of all that the sender knows.
	MessageSyncRequest
	// MessageSyncReply carries the receiver's facts where the digests differ.
	MessageSyncReply
	// MessageSyncPush carries the requester's newer facts in return.
	MessageSyncPush
)

// Message is what daemons send each other. On the wire it is an array.
type Message struct {
	//lint:ignore U1000 read by the msgpack library through reflection
	_msgpack struct{} `msgpack:",as_array"`

	Kind MessageKind
	// Sequence pairs a ping with its acknowledgement.
	Sequence uint64
	// Target is who a ping is meant for, and TargetAddress where it is (only in a
	// ping request).
	Target        identity.DaemonID
	TargetAddress string
	// Highest is the highest configuration revision that the sender knows of.
	Highest identity.Revision
	// Round and Contact are evidence of contact; see contact.go.
	Round   uint64
	Contact []byte

	Members       []Member
	Confirmations []Confirmation
	Backends      []BackendFact
	Loads         []ZoneLoad

	// Address is where the sender of a sync message is.
	Address string
	// Digests of a sync request are one for each bucket. Buckets of a reply has a
	// bit set for each bucket that differed.
	Digests []uint64
	Buckets uint32
}

// Confirmation says that members have a revision in force. Members holds their
// references, referenceBytes each.
type Confirmation struct {
	//lint:ignore U1000 read by the msgpack library through reflection
	_msgpack struct{} `msgpack:",as_array"`

	Revision identity.Revision
	Members  []byte
}

// Action is what the owner of a node must do or wants to know.
type Action interface{ isAction() }

// Send asks to send a message.
type Send struct {
	// To is the receiver's address, IP:port.
	To      string
	Message Message
	// Reliable asks for the peer RPC in place of a datagram.
	Reliable bool
}

// MemberChanged tells that a member came, changed its state or incarnation, or
// is no longer remembered.
type MemberChanged struct {
	Member    Member
	Forgotten bool
}

// BackendLeaving tells that another daemon saw a back end leaving.
type BackendLeaving struct{ Fact BackendFact }

// BackendReturned tells that another daemon saw an earlier leave ended.
type BackendReturned struct{ Fact BackendFact }

// HighestRevisionSeen tells that a daemon knows of a higher configuration
// revision than was known here, and where to ask for it.
type HighestRevisionSeen struct {
	Revision identity.Revision
	From     identity.DaemonID
	Address  string
}

// ZoneLoadChanged tells that a newer load summary came.
type ZoneLoadChanged struct{ Load ZoneLoad }

func (Send) isAction()                {}
func (MemberChanged) isAction()       {}
func (BackendLeaving) isAction()      {}
func (BackendReturned) isAction()     {}
func (HighestRevisionSeen) isAction() {}
func (ZoneLoadChanged) isAction()     {}
