// Package rollout decides how a service moves to back ends of another version of its software:
// which versions may get requests, how many requests a version under trial may get, whether
// its answers show it to be worse than the stable version, and when all requests go to it.
// It is pure: each call carries the time.
package rollout

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Order is an operator's request to move a service to back ends of a version.
type Order struct {
	Service identity.ServiceName
	Target  identity.SoftwareVersion
	// Number is the store's version of the order's row: a later order has a higher one. Where the store came back from a copy
	// and gives versions out again, it is the row's position.
	Number uint64
	// Duration is how long the roll-out may take.
	Duration time.Duration
}

// Stage is how far an order has come.
type Stage string

// The stages of an order.
const (
	// StageNone: there was no order yet.
	StageNone Stage = ""
	// StageTrial: the stable version gets the requests, and the target a small share of them.
	StageTrial Stage = "trial"
	// StageShift: all requests go to the target. The stable version's back ends finish theirs.
	StageShift Stage = "shift"
	// StageCompleted: the target is the stable version, and nothing is under way at others.
	StageCompleted Stage = "completed"
	// StageRolledBack: the target gets no requests any more.
	StageRolledBack Stage = "rolled_back"
)

// Ended tells whether nothing more becomes of the order.
func (s Stage) Ended() bool { return s == StageCompleted || s == StageRolledBack || s == StageNone }

// Standing is what is kept of a service's versions. It is a row of the store, and the only
// thing that lasts: it goes on from stage to stage and from order to order, and never back.
type Standing struct {
	Service identity.ServiceName
	// Stable is the version that gets the requests where there is no order, or until one has
	// come to StageShift.
	Stable identity.SoftwareVersion
	// Target and Order are of the newest order; zero where there was none.
	Target identity.SoftwareVersion
	Order  uint64
	Stage  Stage
	// BeganAt and Deadline are times of the store's clock.
	BeganAt, Deadline time.Duration
	// Reason says why the order came to its stage, for operators.
	Reason string
	// Row is the position of the row in the store; zero is not written yet.
	Row uint64
}

// Supersedes tells whether a standing is further than another one of the same service: of a later order, or of a later
// stage of the same one.
func (s Standing) Supersedes(other Standing) bool {
	return s.Order > other.Order || (s.Order == other.Order && s.Stage.rank() > other.Stage.rank())
}

// rank orders the stages of one order.
func (s Stage) rank() int {
	switch s {
	case StageTrial:
		return 1
	case StageShift:
		return 2
	case StageCompleted, StageRolledBack:
		return 3
	default:
		return 0
	}
}

// Service is what a daemon believes of the versions of a service.
type Service struct {
	// Order is the newest order, nil without one, and OrderSince a time of the store's clock
	// at which it was not there yet, or was first seen.
	Order      *Order
	OrderSince time.Duration
	Standing   Standing
	// Lost is set where the store came back from a copy without the standing. Stored is the position of the row that it
	// holds instead; zero is none.
	Lost   bool
	Stored uint64
}

// ReplacedRow is the position of the row that the next standing replaces; zero is none.
func (s Service) ReplacedRow() uint64 {
	if s.Lost {
		return s.Stored
	}
	return s.Standing.Row
}
