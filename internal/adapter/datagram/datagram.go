// Package datagram carries small msgpack messages between daemons over UDP,
// authenticated with the deployment's shared keys. Datagrams may be lost,
// repeated and reordered. What is too large, unsigned, signed with an unknown
// key, stale or undecodable is counted and dropped.
//
// A frame is: version (1 byte), signature (16 bytes), time in milliseconds since
// the Unix epoch (8 bytes, big-endian), length of the sender's name (1 byte), the
// sender's name, body.
package datagram

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/core/identity"
)

const (
	// MaximumBytes bounds a whole datagram, so that it fits one packet on any path.
	MaximumBytes = 1200
	// MaximumSenderBytes bounds the sender's name.
	MaximumSenderBytes = 64
	// MaximumBodyBytes is the largest body that fits with any sender.
	MaximumBodyBytes = MaximumBytes - headerBytes - MaximumSenderBytes
	// DefaultFreshness is how far a sender's clock may differ from the receiver's.
	DefaultFreshness = 30 * time.Second

	frameVersion   = 1
	signatureBytes = 16
	signatureStart = 1
	timeStart      = signatureStart + signatureBytes
	lengthStart    = timeStart + 8
	headerBytes    = lengthStart + 1
	domain         = "datagram"
)

// Errors of sending and receiving.
var (
	// ErrTooLarge says that a message does not fit one datagram.
	ErrTooLarge = errors.New("datagram: too large")
	// ErrSenderName says that the sender's name is empty or too long.
	ErrSenderName = errors.New("datagram: bad sender name")

	errMalformed = errors.New("datagram: malformed")
	errSignature = errors.New("datagram: bad signature")
	errStale     = errors.New("datagram: stale")
)

// Encode encodes a message for a datagram. Integers take as few bytes as they
// can.
func Encode(message any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return nil, fmt.Errorf("datagram: encode: %w", err)
	}
	return buffer.Bytes(), nil
}

// Seal makes a signed frame around body.
func Seal(ring *keyring.Ring, sender identity.DaemonID, at time.Time, body []byte) ([]byte, error) {
	if len(sender) == 0 || len(sender) > MaximumSenderBytes {
		return nil, ErrSenderName
	}
	size := headerBytes + len(sender) + len(body)
	if size > MaximumBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, size)
	}
	frame := make([]byte, headerBytes, size)
	frame[0] = frameVersion
	binary.BigEndian.PutUint64(frame[timeStart:], uint64(at.UnixMilli()))
	frame[lengthStart] = byte(len(sender))
	frame = append(frame, sender...)
	frame = append(frame, body...)
	signature := ring.Sign([]byte(domain), frame[:signatureStart], frame[timeStart:])
	copy(frame[signatureStart:timeStart], signature)
	return frame, nil
}

// Open checks a frame and returns its sender and body, which lie inside frame.
func Open(ring *keyring.Ring, now time.Time, frame []byte) (identity.DaemonID, []byte, error) {
	if len(frame) < headerBytes || len(frame) > MaximumBytes || frame[0] != frameVersion {
		return "", nil, errMalformed
	}
	signature := frame[signatureStart:timeStart]
	if !ring.Verify(signature, []byte(domain), frame[:signatureStart], frame[timeStart:]) {
		return "", nil, errSignature
	}
	at := time.UnixMilli(int64(binary.BigEndian.Uint64(frame[timeStart:])))
	if now.Sub(at).Abs() > DefaultFreshness {
		return "", nil, errStale
	}
	bodyStart := headerBytes + int(frame[lengthStart])
	if bodyStart > len(frame) {
		return "", nil, errMalformed
	}
	return identity.DaemonID(frame[headerBytes:bodyStart]), frame[bodyStart:], nil
}
