package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Record is the value of a lease's row in the table.
type Record struct {
	Holder identity.DaemonID `json:"holder"`
	// Incarnation tells the holder's lives apart: a restarted daemon does not
	// hold what it held before.
	Incarnation identity.Incarnation  `json:"incarnation"`
	Token       identity.FencingToken `json:"token"`
	// Duration is how long others wait after they first saw this version of the
	// row, in nanoseconds.
	Duration time.Duration `json:"duration"`
	// Acting means that the holder may act, or that it or one before it may have acted so
	// lately that the next one must wait.
	Acting bool `json:"acting,omitempty"`
	// Waiting means that the holder still waits because of the one before it.
	Waiting bool `json:"waiting,omitempty"`
	// HandoverDelayLeft is how long the next holder has to wait once the row is released.
	HandoverDelayLeft time.Duration `json:"rest_left,omitempty"`
	// Released means that nobody holds the lease and nobody has to wait.
	Released bool `json:"released,omitempty"`
}

// errPartialRecord is of a row that lacks what every record has.
var errPartialRecord = errors.New("no holder, token or duration")

// isWhole tells whether a record has what every written one has. One without a duration would let the lease go at
// once, though its holder may act.
func (r Record) isWhole() bool { return r.Holder != "" && r.Token > 0 && r.Duration > 0 }

// MalformedError says that the lease's row could not be read. It counts as held by nobody known.
type MalformedError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("lease %q: malformed row: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// encode returns the row value of a record.
func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a record has only plain fields
	}
	return value
}
