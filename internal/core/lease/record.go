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
	// Incarnation distinguishes restarts of the holder: a restarted daemon does not hold what it held
	// before.
	Incarnation identity.Incarnation  `json:"incarnation"`
	Token       identity.FencingToken `json:"token"`
	// Duration is how long others wait after they first saw this version of the row, in nanoseconds.
	Duration time.Duration `json:"duration"`
	// Acting means that the holder may act, or that it or a predecessor may have acted so recently
	// that the next holder must wait.
	Acting bool `json:"acting,omitempty"`
	// Waiting means that the holder is still in the handover delay after its predecessor.
	Waiting bool `json:"waiting,omitempty"`
	// HandoverDelayLeft is how long the next holder has to wait once the row is released.
	HandoverDelayLeft time.Duration `json:"rest_left,omitempty"`
	// Released means that nobody holds the lease, so it can be taken without waiting for its expiry.
	Released bool `json:"released,omitempty"`
}

// errPartialRecord reports a row that lacks a mandatory field.
var errPartialRecord = errors.New("missing holder, token or duration")

// isComplete reports whether a record has all mandatory fields. A record without a duration would
// free the lease at once, although its holder may still act.
func (r Record) isComplete() bool { return r.Holder != "" && r.Token > 0 && r.Duration > 0 }

// MalformedError reports that the lease's row could not be parsed. The lease then counts as held
// by an unknown holder.
type MalformedError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("lease %q: malformed row: %v", e.Key, e.Cause)
}

func (e *MalformedError) Unwrap() error { return e.Cause }

// encode returns the row value of a record.
func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a record has only plain fields
	}
	return value
}
