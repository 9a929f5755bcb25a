package sighting

import "github.com/lotusward/lotusward/internal/core/identity"

// MessageKind tells what a message is for.
type MessageKind uint8

// The kinds of message.
const (
	// MessageDeltas carries news, which the receiver passes on.
	MessageDeltas MessageKind = iota
	// MessageRepair carries deltas that the receiver lacked, which it does not pass
	// on: others find by themselves what they lack.
	MessageRepair
	// MessageDigests carries digests of the reports that the sender has.
	MessageDigests
	// MessageVersions carries versions of reports in the buckets whose digests
	// differed. The receiver sends what the sender lacks and pulls what it lacks
	// itself.
	MessageVersions
	// MessagePull asks for all that is newer than the given versions.
	MessagePull
)

// Message is what daemons send each other. On the wire it is an array.
type Message struct {
	//lint:ignore U1000 msgpack reads the tag
	//lint:ignore U1000 read by the msgpack library through reflection
	_msgpack struct{} `msgpack:",as_array"`

	Kind MessageKind
	// Address is where the sender is, IP:port; empty in news, which nobody answers.
	Address string
	Deltas  []Delta
	// Versions are packed; see version.go.
	Versions []byte
	// Digests are digestBytes for each bucket.
	Digests []byte
	// Buckets has a bit for each bucket that Versions is complete for.
	Buckets uint32
	Loads   []Load
}

// Delta holds all changes of a report after From up to To, newest state only. A
// delta from zero is the whole report. On the wire it is an array.
type Delta struct {
	//lint:ignore U1000 msgpack reads the tag
	//lint:ignore U1000 read by the msgpack library through reflection
	_msgpack struct{} `msgpack:",as_array"`

	Watcher   identity.DaemonID
	Epoch     identity.Incarnation
	From      uint64
	To        uint64
	Sightings []Sighting
}

// Action is what the owner of an exchange must do.
type Action interface{ isAction() }

// Send asks to send a message.
type Send struct {
	// To is the receiver's address, IP:port.
	To      string
	Message Message
	// Reliable asks for the peer RPC in place of a datagram.
	Reliable bool
}

// Recheck asks to look at a watched back end at once, since another watcher says
// otherwise than this one saw. Unreachable is set when the other did not reach it.
type Recheck struct {
	Backend     identity.BackendID
	Unreachable bool
}

// Changed tells that the verdict about a back end may have changed.
type Changed struct{ Backend identity.BackendID }

// LoadHeard tells the load of a back end that another daemon watches.
type LoadHeard struct{ Load Load }

func (Send) isAction()      {}
func (Recheck) isAction()   {}
func (Changed) isAction()   {}
func (LoadHeard) isAction() {}
