package relay

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// Versions selects the software versions of a service's backends that a request may go to. It is
// safe for concurrent use and never blocks.
type Versions interface {
	// Choose selects a version for the next attempt of a request on a route. first is false for
	// retries, which never go to a trial.
	Choose(service identity.ServiceName, route string, first bool) VersionChoice
	// Continue decides whether a stream may now be continued at the version that began it. The
	// choice names this version or is refused.
	Continue(service identity.ServiceName, route string, began identity.SoftwareVersion) VersionChoice
	// StillValid reports, right before sending, whether a choice still holds. If not, a new choice
	// is made.
	StillValid(choice VersionChoice) bool
	// Sent records that a choice's request is being sent, and Dropped that it was not sent.
	// Exactly one of them is called for each choice.
	Sent(choice VersionChoice)
	Dropped(choice VersionChoice)
	// Ended records the result of an attempt that was reported by Sent.
	Ended(choice VersionChoice, result AttemptResult)
}

// VersionChoice says which backends one attempt may go to, and what the choice was based on.
type VersionChoice struct {
	Service identity.ServiceName
	Route   string
	// Any is set if the request may go to backends of any version, and Refused if it may currently
	// go to none. Otherwise it may go to backends of Version.
	Any, Refused bool
	Version      identity.SoftwareVersion
	// Beside lists further versions that the request may go to.
	Beside []identity.SoftwareVersion
	// Trial is set if the version is under trial.
	Trial bool
	// Continued is set for streams that the version began, and Earlier if the order is about to
	// replace that version.
	Continued, Earlier bool
	// Backends holds the hashes of the IDs of the backends used by the trial; nil means all
	// backends of the version.
	Backends []uint64
	// Order, Row and Stage identify the rollout standing that the choice was based on.
	Order, Row uint64
	Stage      rollout.Stage
}

// AttemptResult is the result of an attempt, as far as it is evidence about the version.
type AttemptResult struct {
	// Backend is the hash of the backend's ID.
	Backend uint64
	Result  backendpool.Result
	// Status is the status of the answer, or zero without an answer.
	Status int
	// FirstByte is the time from sending the request to the first byte of the answer, or until the
	// caller left if there was none by then. It is zero if neither is known.
	FirstByte time.Duration
	// Tokens is the number of tokens that the backend had to read before the first byte.
	Tokens int
	// BackendFailed is set if the backend answered with a failure of its own (5xx).
	BackendFailed bool
}
