package sighting

import (
	"encoding/binary"
	"maps"
	"slices"
)

// reference stands for one life of one watcher in 32 bits.
type reference uint32

// referenceBytes is the length of a reference on the wire. A version is packed as
// the reference, big-endian, and the sequence as a variable-length integer.
const referenceBytes = 4

// versions maps reports to the sequence up to which they are known.
type versions map[reference]uint64

// pack encodes versions in the order of their references.
func (v versions) pack() []byte {
	var packed []byte
	for _, key := range slices.Sorted(maps.Keys(v)) {
		packed = binary.BigEndian.AppendUint32(packed, uint32(key))
		packed = binary.AppendUvarint(packed, v[key])
	}
	return packed
}

// unpackVersions decodes versions as far as they are well-formed.
func unpackVersions(packed []byte) versions {
	unpacked := make(versions)
	for len(packed) > referenceBytes {
		sequence, size := binary.Uvarint(packed[referenceBytes:])
		if size <= 0 {
			break
		}
		unpacked[reference(binary.BigEndian.Uint32(packed))] = sequence
		packed = packed[referenceBytes+size:]
	}
	return unpacked
}
