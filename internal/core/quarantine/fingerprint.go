// Package quarantine decides which requests no back end gets any more, since several that
// ran them have ended (poison requests, also called queries of death). It is pure: each call
// carries its time.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// Fingerprint is the same for all tries of a request, whichever daemon they come to, and
// differs from that of any other request: a hash over who asks for what.
type Fingerprint uint64

// String gives the fingerprint as logs have it.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// FingerprintOf hashes what makes requests the same. A cryptographic hash, so that nobody can
// make a request that is taken for somebody else's.
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
