package relay

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// Versions decides which software versions of a service's back ends a request may go to. It is
// safe for use by several goroutines and never blocks.
type Versions interface {
	// Choose decides for the next sending of a request on a route. first is false for second
	// sendings: they never go to a trial.
	Choose(service identity.ServiceName, route string, first bool) VersionChoice
	// StillValid tells, just before the sending, whether a choice still holds; a choice for which
	// it doesn't is made anew.
	StillValid(choice VersionChoice) bool
	// Sent notes that a choice's request is being sent, Dropped that it was not. Each choice
	// is followed by one of them.
	Sent(choice VersionChoice)
	Dropped(choice VersionChoice)
	// Ended notes how a sending ended that Sent was told of.
	Ended(choice VersionChoice, ended AttemptResult)
}

// VersionChoice says which back ends one sending may go to, and what that was decided on.
type VersionChoice struct {
	Service identity.ServiceName
	Route   string
	// Any is set where the request may go to back ends of any version, and Refused where it may
	// go to none now; else it may go to those of Version.
	Any, Refused bool
	Version      identity.SoftwareVersion
	// Trial is set where the version is under trial.
	Trial bool
	// Backends are the hashes of the IDs of those that the trial uses; nil is all of the
	// version.
	Backends []uint64
	// Order, Row and Stage are of the standing that the choice was made on.
	Order, Row uint64
	Stage      rollout.Stage
}

// AttemptResult is how a sending ended, as far as it tells about the version.
type AttemptResult struct {
	// Backend is the hash of the back end's ID.
	Backend uint64
	Result  backendpool.Result
	// Status is the answer's; zero without an answer.
	Status int
	// FirstByte is the time from the sending to the answer's first byte, or until the caller left
	// if there was none by then; zero where neither is known.
	FirstByte time.Duration
	// Tokens is how many the back end had to read before the first byte.
	Tokens int
	// BackendFailed is set if the back end answered that it failed: its own 5xx.
	BackendFailed bool
}
