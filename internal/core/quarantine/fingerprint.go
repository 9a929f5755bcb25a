// Package quarantine detects poison requests (queries of death): requests under which several
// backends have crashed and which must not be dispatched any more. It performs no I/O and reads no
// clock; callers pass the current time.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// Fingerprint identifies a request by a hash of its tenant, method, host, target and body. All
// retries of a request have the same fingerprint, on whichever daemon they arrive.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal, as it appears in logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// FingerprintOf computes a request's fingerprint. It uses a cryptographic hash so that nobody can
// forge a request that collides with somebody else's.
func FingerprintOf(tenant, method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, field := range []string{tenant, method, host, target} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		hash.Write([]byte(field))
	}
	hash.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil)))
}
