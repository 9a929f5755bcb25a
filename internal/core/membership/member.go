package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// MaximumNameBytes bounds the names and addresses in facts, so that any fact
// fits a datagram.
const MaximumNameBytes = 64

// State is what is believed of a member. At the same incarnation a larger state
// wins.
type State uint8

// The states of a member.
const (
	// StateAlive is a member that answers, as far as is known.
	StateAlive State = iota
	// StateSuspect is a member that did not answer and has not refuted it yet.
	StateSuspect
	// StateDead is a member that did not refute in time.
	StateDead
	// StateLeft is a member that left by its own word.
	StateLeft
)

// String names the state.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	case StateLeft:
		return "left"
	default:
		return "invalid"
	}
}

// Member is one daemon as it is known. On the wire it is an array.
type Member struct {
	//lint:ignore U1000 read by the msgpack library through reflection
	_msgpack struct{} `msgpack:",as_array"`

	ID   identity.DaemonID
	Zone identity.Zone
	// Address is the peer address, IP:port, used for TCP and UDP alike.
	Address string
	// Incarnation grows with each life and each refutation. Only the member
	// itself raises it.
	Incarnation identity.Incarnation
	State       State
	// Revision is the configuration revision that the member has in force.
	Revision identity.Revision
	// Since is when the state was entered, in seconds since the Unix epoch, by the
	// clock of who first said so. It bounds how long a dead member is remembered.
	Since int64
}

// Live tells whether the member is to be counted on: alive or only suspected.
func (m Member) Live() bool { return m.State <= StateSuspect }

// valid tells whether the fact is one that can be sent on.
func (m Member) valid() bool {
	return m.State <= StateLeft && m.ID != "" && len(m.ID) <= MaximumNameBytes &&
		len(m.Zone) <= MaximumNameBytes && len(m.Address) <= MaximumNameBytes
}

// supersedes tells whether the fact wins over another of the same member.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

// sameAs tells whether two facts of the same member say the same.
func (m Member) sameAs(other Member) bool {
	return m.Incarnation == other.Incarnation && m.State == other.State && m.Revision == other.Revision
}

// reference stands for one incarnation of one member in 40 bits.
type reference uint64

// referenceBytes is the length of a reference on the wire.
const referenceBytes = 5

func (m Member) reference() reference {
	mixed := mix(xxhash.Sum64String(string(m.ID)), uint64(m.Incarnation))
	return reference(mixed >> (64 - 8*referenceBytes))
}

// mix combines two numbers into an evenly spread one (the finalizer of
// MurmurHash3).
func mix(left, right uint64) uint64 {
	mixed := left ^ (right * 0x9e3779b97f4a7c15)
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return mixed
}

// entry is a member with what this daemon keeps about it.
type entry struct {
	Member
	idHash    uint64
	reference reference
	// suspectedAt is when this daemon first heard the suspicion.
	suspectedAt time.Time
	// accused is set while the suspicion is this daemon's own.
	accused bool
}

func newEntry(member Member) *entry {
	return &entry{
		Member:    member,
		idHash:    xxhash.Sum64String(string(member.ID)),
		reference: member.reference(),
	}
}

// digest stands for what others should know of the member.
func (e *entry) digest() uint64 {
	return mix(mix(mix(e.idHash, uint64(e.Incarnation)), uint64(e.State)+1), uint64(e.Revision))
}

// tombstone remembers a forgotten member, so that an old fact cannot bring it
// back.
type tombstone struct {
	incarnation identity.Incarnation
	state       State
	since       int64
}
