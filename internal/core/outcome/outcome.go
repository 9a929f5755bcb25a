// Package outcome is the single place that decides what can be claimed about whether a request was
// executed, and whether it may be dispatched again. It performs no I/O.
package outcome

import "github.com/lotusward/lotusward/internal/core/identity"

// Evidence is what is known about one attempt. A higher value means that the backend may have done
// more.
type Evidence int

// The kinds of evidence, in ascending order of what the backend may have done.
const (
	// NotDispatched means that the attempt was never sent to a backend.
	NotDispatched Evidence = iota
	// Unreached means that there was no connection, or that no byte of the request was or can still be
	// written to it.
	Unreached
	// DeclaredNotRun means that the backend itself rejected the request with run state not_run.
	DeclaredNotRun
	// Sent means that at least one byte was sent and that no conclusive response was received.
	Sent
	// Answered means that the backend began its response.
	Answered
)

// String returns the evidence's name for logs and metrics.
func (e Evidence) String() string {
	switch e {
	case NotDispatched:
		return "not_dispatched"
	case Unreached:
		return "unreached"
	case DeclaredNotRun:
		return "declared_not_run"
	case Sent:
		return "sent"
	case Answered:
		return "answered"
	default:
		return "invalid"
	}
}

// RunState returns the run state implied by a single attempt with this evidence.
func (e Evidence) RunState() identity.RunState {
	switch e {
	case NotDispatched, Unreached, DeclaredNotRun:
		return identity.RunStateNotRun
	case Answered:
		return identity.RunStateRan
	default:
		return identity.RunStateUnknown
	}
}

// FromRefusal returns the evidence of the run state in a backend's rejection. A missing or unknown
// state is inconclusive.
func FromRefusal(state identity.RunState) Evidence {
	switch state {
	case identity.RunStateNotRun:
		return DeclaredNotRun
	case identity.RunStateRan:
		return Answered
	default:
		return Sent
	}
}

// History accumulates the evidence of all attempts of one request. The zero value is a request
// that was never dispatched.
type History struct {
	attempts int
	worst    Evidence
}

// Record adds a finished attempt.
func (h *History) Record(evidence Evidence) {
	h.attempts++
	h.worst = max(h.worst, evidence)
}

// Attempts returns the number of recorded attempts.
func (h *History) Attempts() int { return h.attempts }

// RunState returns the run state over all attempts. It is not_run only if that is certain for each
// of them.
func (h *History) RunState() identity.RunState {
	return h.worst.RunState()
}

// MayDispatch reports whether the request may be dispatched now. A request that must be executed
// at most once may be dispatched only if it certainly was not executed.
func (h *History) MayDispatch(repeatable bool) bool {
	return repeatable || h.RunState() == identity.RunStateNotRun
}
