package dynamic

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/bits"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Digest is a short sum of a document, in hexadecimal. Equal documents have
// equal digests, whichever way they were encoded in between. It finds replicas
// that differ by a fault; it doesn't withstand an attacker.
type Digest string

// digestBytes is how much of the SHA-256 sum a digest keeps.
const digestBytes = 16

// sum adds up the hashes of a document's entries, modulo 2^128. An entry that
// changes is taken out and put in again, so that a change of one tenant doesn't
// cost a pass over all tenants.
type sum struct{ high, low uint64 }

func (s sum) plus(other sum) sum {
	low, carry := bits.Add64(s.low, other.low, 0)
	high, _ := bits.Add64(s.high, other.high, carry)
	return sum{high: high, low: low}
}

func (s sum) minus(other sum) sum {
	low, borrow := bits.Sub64(s.low, other.low, 0)
	high, _ := bits.Sub64(s.high, other.high, borrow)
	return sum{high: high, low: low}
}

// The lists whose entries a sum covers; the list is part of an entry's hash.
type listName string

const (
	listServices listName = "services"
	listModels   listName = "models"
	listTenants  listName = "tenants"
	listEvents   listName = "events"
	listDrains   listName = "drains"
	listOrders   listName = "orders"
	listRosters  listName = "rosters"
	listHistory  listName = "history"
)

// entrySum hashes one entry of a list.
func entrySum(list listName, entry any) (sum, error) {
	encoded, err := encodeCompact(entry)
	if err != nil {
		return sum{}, err
	}
	hash := sha256.New()
	_, _ = hash.Write([]byte(list))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(encoded)
	var buffer [sha256.Size]byte
	hashed := hash.Sum(buffer[:0])
	return sum{
		high: binary.BigEndian.Uint64(hashed[:8]),
		low:  binary.BigEndian.Uint64(hashed[8:16]),
	}, nil
}

func listSum[T any](list listName, entries []T) (sum, error) {
	var total sum
	for index := range entries {
		one, err := entrySum(list, &entries[index])
		if err != nil {
			return sum{}, err
		}
		total = total.plus(one)
	}
	return total, nil
}

// fullSum adds up all entries of a document.
func fullSum(document *Document) (sum, error) {
	var total sum
	var failed error
	add := func(one sum, err error) {
		total = total.plus(one)
		if err != nil {
			failed = err
		}
	}
	add(listSum(listServices, document.Services))
	add(listSum(listModels, document.Models))
	add(listSum(listTenants, document.Tenants))
	add(listSum(listEvents, document.Events))
	add(listSum(listDrains, document.Drains))
	add(listSum(listOrders, document.Orders))
	add(listSum(listRosters, document.Rosters))
	add(listSum(listHistory, document.History))
	return total, failed
}

// DigestOf sums a document. Empty and missing lists count as equal, and so do
// equal instants in different time zones. It is quick for a document that Apply
// made, and passes over all entries of any other.
func DigestOf(document *Document) (Digest, error) {
	total, err := document.knownSum()
	if err != nil {
		return "", err
	}
	return total.digest(document.Revision), nil
}

func (s sum) digest(revision identity.Revision) Digest {
	var buffer []byte
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(revision))
	buffer = binary.BigEndian.AppendUint64(buffer, s.high)
	buffer = binary.BigEndian.AppendUint64(buffer, s.low)
	hashed := sha256.Sum256(buffer)
	return Digest(hex.EncodeToString(hashed[:digestBytes]))
}

// knownSum returns the sum that Apply left, or adds up all entries.
func (d *Document) knownSum() (sum, error) {
	if d.entries != nil {
		return *d.entries, nil
	}
	return fullSum(d)
}
