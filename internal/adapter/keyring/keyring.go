// Package keyring authenticates messages between daemons with shared keys. The
// first key signs; every key of the ring verifies, so that keys can be rotated:
// add the new key at the end everywhere, move it to the front everywhere, then
// remove the old one.
package keyring

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash"
	"sync"
)

// MinimumKeyBytes is the shortest key that a ring accepts.
const MinimumKeyBytes = 16

// SignatureBytes is the length of a whole signature.
const SignatureBytes = sha256.Size

// Errors of New.
var (
	// ErrNoKey says that a ring needs at least one key.
	ErrNoKey = errors.New("keyring: no key")
	// ErrShortKey says that a key is shorter than MinimumKeyBytes.
	ErrShortKey = errors.New("keyring: key is too short")
)

// Ring is a list of shared keys. It is safe for use by any goroutine.
type Ring struct {
	keys []*key
}

// key holds a pool of keyed hashes, since keying one costs as much as hashing a
// short message.
type key struct {
	pool sync.Pool
}

// New makes a ring. The first key signs, all keys verify.
func New(secrets ...[]byte) (*Ring, error) {
	if len(secrets) == 0 {
		return nil, ErrNoKey
	}
	ring := &Ring{}
	for _, secret := range secrets {
		if len(secret) < MinimumKeyBytes {
			return nil, ErrShortKey
		}
		ring.keys = append(ring.keys, newKey(secret))
	}
	return ring, nil
}

func newKey(secret []byte) *key {
	owned := append([]byte(nil), secret...)
	made := &key{}
	made.pool.New = func() any { return hmac.New(sha256.New, owned) }
	return made
}

// Sign returns the HMAC-SHA256 of the parts under the first key. Each part is
// hashed with its length, so that bytes can't move from one part to the next.
func (r *Ring) Sign(parts ...[]byte) []byte {
	return r.keys[0].sum(parts)
}

// Verify tells whether signature is that of the parts under any key. A
// signature may be cut to no less than half of its length.
func (r *Ring) Verify(signature []byte, parts ...[]byte) bool {
	if len(signature) < SignatureBytes/2 || len(signature) > SignatureBytes {
		return false
	}
	for _, candidate := range r.keys {
		expected := candidate.sum(parts)[:len(signature)]
		if hmac.Equal(signature, expected) {
			return true
		}
	}
	return false
}

func (k *key) sum(parts [][]byte) []byte {
	digest := k.pool.Get().(hash.Hash)
	defer k.pool.Put(digest)
	digest.Reset()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write(part)
	}
	return digest.Sum(nil)
}
