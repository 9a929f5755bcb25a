// Package outcome is the one place that decides what may be said about whether
// a request ran, and whether it may be sent to a back end again. It is pure.
package outcome

import "github.com/lotusward/lotusward/internal/core/identity"

// Evidence is what is known about one attempt. A later value tells of more that
// the back end may have done.
type Evidence int

// The kinds of evidence, in rising order of what the back end may have done.
const (
	// NotDispatched says that the attempt was never given to a back end.
	NotDispatched Evidence = iota
	// Unreached says that there was no connection, or that no byte of the request
	// was given to the network on it and none can be any more.
	Unreached
	// DeclaredNotRun says that the back end itself refused with run state not_run.
	DeclaredNotRun
	// Sent says that at least one byte left and that nothing certain came back.
	Sent
	// Answered says that the back end began its answer.
	Answered
)

// String gives the evidence's name for logs and metrics.
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

// RunState is what may be said after a single attempt with this evidence.
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

// FromRefusal reads the run state that a back end put on a refusal. Without a
// known state nothing certain was said.
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

// History gathers the evidence of all attempts of one request. The zero value
// is a request that was never dispatched.
type History struct {
	attempts int
	worst    Evidence
}

// Record adds one ended attempt.
func (h *History) Record(evidence Evidence) {
	h.attempts++
	h.worst = max(h.worst, evidence)
}

// Attempts is the number of recorded attempts.
func (h *History) Attempts() int { return h.attempts }

// RunState is what may be said about the request over all its attempts. It is
// not_run only when that is certain of every attempt.
func (h *History) RunState() identity.RunState {
	return h.worst.RunState()
}

// MayDispatch tells whether the request may be given to a back end now. A
// request that must run at most once may only when it certainly did not run.
func (h *History) MayDispatch(repeatable bool) bool {
	return repeatable || h.RunState() == identity.RunStateNotRun
}
