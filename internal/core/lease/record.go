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
	Incarnation identity.Incarnation `json:"incarnation"`
	// Token is the fencing token of the grant; it increases with every new grant. Renewals and the
	// release keep it.
	Token identity.FencingToken `json:"token"`
	// Duration is how long others wait, from when they first see this version of the row, before they
	// may take over the lease. The JSON value is in nanoseconds.
	Duration time.Duration `json:"duration"`
	// Acting is set if the holder wants to act under this record (once it is no longer Waiting), or if
	// it or a predecessor may have acted so recently that the next holder must wait for the rest of the
	// handover delay before it acts.
	Acting bool `json:"acting,omitempty"`
	// Waiting is set if, at the commit, the holder could not act yet: because of the handover delay
	// after its predecessor, or because a restore of the table may have lost the row of another holder.
	Waiting bool `json:"waiting,omitempty"`
	// HandoverDelayLeft is set in a released row: the part of the handover delay that was left at the
	// release. The next holder may take the lease at once but waits about that long (see handoverWait)
	// before it acts.
	HandoverDelayLeft time.Duration `json:"rest_left,omitempty"`
	// Released means that nobody holds the lease, so it can be taken without waiting for its expiry.
	Released bool `json:"released,omitempty"`
}

// Errors of rows that can be decoded but hold no usable record.
var (
	errIncompleteRecord  = errors.New("missing holder, token or duration")
	errImplausibleRecord = errors.New("token or duration out of range")
)

const (
	// maxToken is above all tokens that can be reached: each takes a commit, and each era of the table begins a new range. The token
	// after the highest number would be zero.
	maxToken = 1 << 62
	// maxDurationRatio bounds the duration of others' records, in those of this daemon. Nobody could hold the lease before the duration
	// of the last record is over.
	maxDurationRatio = 100
)

// check returns what makes a record unusable for a daemon whose own records have a duration. A record without a duration would free the
// lease at once, although its holder may still act.
func (r Record) check(duration time.Duration) error {
	switch {
	case r.Holder == "" || r.Token == 0 || r.Duration <= 0:
		return errIncompleteRecord
	case r.Token >= maxToken || r.Duration/maxDurationRatio > duration:
		return errImplausibleRecord
	default:
		return nil
	}
}

// MalformedError reports that the lease's row could not be parsed, lacks a mandatory field or has one out of range. The
// lease then counts as held by an unknown holder that has just acted, for the configured duration.
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
