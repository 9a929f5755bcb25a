package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// MaximumLoadBytes bounds the load summary of one zone.
const MaximumLoadBytes = 256

// BackendFact says that a back end leaves, or that an earlier leave is over.
// Facts of one back end are ordered by Version, then Revision, then Leaving: a
// leave wins over everything that is not newer. What carries neither a state
// version nor a revision, such as the machine list, can make no fact that ends
// a leave.
type BackendFact struct {
	//lint:ignore U1000 read by the msgpack library through reflection
	_msgpack struct{} `msgpack:",as_array"`

	Backend identity.BackendID
	// Version is the back end's own state version; it grows with each of its
	// state changes and restarts.
	Version uint64
	// Revision is the configuration revision by which an operator drained or
	// returned the back end, or zero.
	Revision identity.Revision
	Leaving  bool
	// Since is when the fact was first told, in seconds since the Unix epoch. It
	// bounds how long the fact is remembered.
	Since int64
}

// valid tells whether the fact is one that can be sent on.
func (f BackendFact) valid() bool {
	return f.Backend != "" && len(f.Backend) <= MaximumNameBytes
}

// supersedes tells whether the fact wins over another of the same back end.
func (f BackendFact) supersedes(other BackendFact) bool {
	if f.Version != other.Version {
		return f.Version > other.Version
	}
	if f.Revision != other.Revision {
		return f.Revision > other.Revision
	}
	return f.Leaving && !other.Leaving
}

func (f BackendFact) digest() uint64 {
	leaving := uint64(1)
	if f.Leaving {
		leaving = 2
	}
	name := xxhash.Sum64String(string(f.Backend))
	return mix(mix(mix(name, f.Version), uint64(f.Revision)), leaving)
}

// ZoneLoad is a short summary of the load in one zone. A higher version wins.
type ZoneLoad struct {
	//lint:ignore U1000 read by the msgpack library through reflection
	_msgpack struct{} `msgpack:",as_array"`

	Zone    identity.Zone
	Version uint64
	// Data is opaque to this package, at most MaximumLoadBytes.
	Data []byte
}
