// Package peer carries calls between daemons: HTTP POST with msgpack bodies over
// kept connections, both directions authenticated with the deployment's shared
// keys.
//
// A request is signed over its method, path, body digest, time and sender. The
// answer is signed over the request's signature, its status and its body
// digest, so that an answer can be taken only for its own request. A request
// repeated by somebody on the path within the freshness window is accepted
// again: handlers must be idempotent.
package peer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"
)

// Headers of a call.
const (
	headerSender    = "X-Peer-Sender"
	headerTime      = "X-Peer-Time"
	headerDigest    = "X-Peer-Digest"
	headerSignature = "X-Peer-Signature"
	contentType     = "application/msgpack"
)

// Domains keep the signature of one kind of message from fitting another.
const (
	domainRequest  = "peer-request"
	domainResponse = "peer-response"
)

const (
	// DefaultFreshness is how far a sender's clock may differ from the receiver's.
	DefaultFreshness = 30 * time.Second
	// DefaultBodyLimit bounds request and response bodies, in bytes.
	DefaultBodyLimit = 32 << 20
)

// RemoteError is what a peer's handler answered in place of a response.
type RemoteError struct {
	Path    string `msgpack:"path"`
	Message string `msgpack:"message"`
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s: %s", e.Path, e.Message)
}

// RefusedError says that a peer refused a call before any handler saw it.
type RefusedError struct {
	Path   string
	Status int
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("peer %s: refused with status %d: %s", e.Path, e.Status, e.Reason)
}

// UnauthenticatedError says that an answer was not signed with a known key, so
// that nothing it says can be believed.
type UnauthenticatedError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *UnauthenticatedError) Error() string {
	return fmt.Sprintf("peer %s: answer with status %d is not authenticated", e.Path, e.Status)
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func requestParts(method, path, digest, timestamp, sender string) [][]byte {
	return [][]byte{[]byte(domainRequest), []byte(method), []byte(path), []byte(digest), []byte(timestamp), []byte(sender)}
}

func responseParts(requestSignature string, status int, digest string) [][]byte {
	return [][]byte{[]byte(domainResponse), []byte(requestSignature), []byte(strconv.Itoa(status)), []byte(digest)}
}
