package peerlink

import (
	"bytes"
	"encoding/binary"
)

// shape is how the daemons of a region pass a datagram on.
type shape byte

const (
	// shapeTree is by a tree of all daemons: each sends to a few, which send on. Builds that know no zones send so.
	shapeTree shape = iota
	// shapeFlat is directly from one to all: no daemon between can be gone.
	shapeFlat
	// shapeZones is by a tree in each zone, whose first daemon gets it from the root: it crosses each border between zones
	// once. Builds that know no such trees pass it on as by shapeTree.
	shapeZones
)

// forwarded is a datagram that daemons pass on for each other.
type forwarded struct {
	// number is drawn by the origin; the tree is drawn from it.
	number uint64
	shape  shape
	// origin is the address of the daemon that what is carried comes from, and root that of the
	// one that spreads it in its region: the origin itself in its own.
	origin, root string
	// carried is the datagram.
	carried []byte
}

// lengthOfNumber is how many bytes a number takes.
const lengthOfNumber = 8

// encode returns the datagram: its kind, the number, the shape, the lengths of the addresses, the
// addresses, and what it carries.
func (f *forwarded) encode() []byte {
	var datagram bytes.Buffer
	datagram.WriteByte(byte(KindForwarded))
	_ = binary.Write(&datagram, binary.BigEndian, f.number)
	datagram.WriteByte(byte(f.shape))
	datagram.WriteByte(byte(len(f.origin)))
	datagram.WriteByte(byte(len(f.root)))
	datagram.WriteString(f.origin)
	datagram.WriteString(f.root)
	datagram.Write(f.carried)
	return datagram.Bytes()
}

// decodeForwarded reads a datagram's body, without its kind; false when it is malformed. What it
// returns shares the body's memory.
func decodeForwarded(body []byte) (forwarded, bool) {
	const head = lengthOfNumber + 3
	if len(body) < head {
		return forwarded{}, false
	}
	originEnd := head + int(body[head-2])
	rootEnd := originEnd + int(body[head-1])
	if len(body) <= rootEnd || Kind(body[rootEnd]) == KindForwarded {
		return forwarded{}, false
	}
	return forwarded{
		number: binary.BigEndian.Uint64(body), shape: shape(body[lengthOfNumber]),
		origin: string(body[head:originEnd]), root: string(body[originEnd:rootEnd]), carried: body[rootEnd:],
	}, true
}
