package operator

import (
	"fmt"
	"strings"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/wire/adminwire"
)

// RejectedError is a daemon's final answer: what was asked was not done.
type RejectedError struct {
	Failure *adminwire.Error
	// EarlierTryUnknown is set when an earlier try of the command may have reached
	// a daemon, had no answer, and may still take effect.
	EarlierTryUnknown bool
}

// Error implements error.
func (e *RejectedError) Error() string {
	var text strings.Builder
	text.WriteString(explanation(e.Failure))
	if e.EarlierTryUnknown && e.Failure.ChangeID != "" {
		fmt.Fprintf(&text, "\nAn earlier try had no answer and may still take effect; see: show audit where change = %q", e.Failure.ChangeID)
	}
	return text.String()
}

// Unwrap returns the daemon's error.
func (e *RejectedError) Unwrap() error { return e.Failure }

func explanation(failure *adminwire.Error) string {
	switch {
	case failure.Statement != nil:
		return failure.Statement.Error()
	case len(failure.Findings) > 0:
		lines := []string{"the change would make an invalid configuration:"}
		for _, found := range failure.Findings {
			lines = append(lines, "  "+found.String())
		}
		return strings.Join(lines, "\n")
	case failure.Conflict != nil:
		return describeConflict(failure.Conflict)
	default:
		return failure.Message
	}
}

// describeConflict shows both sides of a conflict.
func describeConflict(conflict *dynamic.ConflictError) string {
	cause := fmt.Sprintf("it can't be told what changed since revision %d", conflict.Base)
	if conflict.ChangedBy != "" {
		cause = fmt.Sprintf("changed since by %s at %s in revision %d",
			conflict.ChangedBy, conflict.ChangedAt.Format(time.RFC3339), conflict.ChangeRevision)
	}
	return fmt.Sprintf("conflict on %s: %s; nothing was done\n  as it was at revision %d: %s\n  as it is at revision %d:  %s",
		conflict.Item, cause, conflict.Base, orNone(conflict.BasedOn), conflict.CurrentRevision, orNone(conflict.Current))
}

func orNone(value []byte) string {
	if len(value) == 0 {
		return "none or not known"
	}
	return string(value)
}

// UnreachableError says that no daemon answered, and that nothing was changed.
type UnreachableError struct {
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon could answer in time: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError says that a command may have been accepted, or may be yet.
type OutcomeUnknownError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether the command was accepted: %v\n"+
		"Give it again with the same change ID, which takes effect once: … as %s", e.Cause, e.ChangeID)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// NotInForceError says that a revision is accepted but not in force everywhere yet.
type NotInForceError struct {
	Report adminwire.InForce
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return "the change is accepted, but not in force everywhere yet"
}
