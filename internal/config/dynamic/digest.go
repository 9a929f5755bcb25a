package dynamic

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"

	"github.com/vmihailenco/msgpack/v5"
)

// Digest is a short sum of a document, in hexadecimal. Equal documents have
// equal digests, whichever way they were encoded in between.
type Digest string

// digestBytes is how much of the SHA-256 sum a digest keeps.
const digestBytes = 16

// digestBufferBytes batches the encoder's small writes.
const digestBufferBytes = 32 << 10

// DigestOf sums a document. Empty and missing lists count as equal, and so do
// equal instants in different time zones.
func DigestOf(document *Document) (Digest, error) {
	sum := sha256.New()
	buffered := bufio.NewWriterSize(sum, digestBufferBytes)
	encoder := msgpack.NewEncoder(buffered)
	encoder.SetOmitEmpty(true)
	if err := encoder.Encode(document); err != nil {
		return "", err
	}
	if err := buffered.Flush(); err != nil {
		return "", err
	}
	return Digest(hex.EncodeToString(sum.Sum(nil)[:digestBytes])), nil
}
