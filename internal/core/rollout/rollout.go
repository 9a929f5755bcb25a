// Package rollout decides how a service moves to back ends that run another version of its software: which
// versions may get requests, how many requests a version under trial may get, whether its answers are worse than
// the stable version's, and when it gets all requests. It has no side effects: each call is given the time.
package rollout

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Order is an operator's request to move a service to back ends of a version.
type Order struct {
	Service identity.ServiceName
	Target  identity.SoftwareVersion
	// Number is the store's version of the order's row, so that a later order has a higher one. If the store was
	// restored from a copy and assigns the same versions again, it is the row's position.
	Number uint64
	// Duration is the time limit of the roll-out.
	Duration time.Duration
}

// Stage is the state of an order.
type Stage string

// The stages of an order.
const (
	// StageNone is the state before the first order.
	StageNone Stage = ""
	// StageTrial sends the requests to the stable version, and a small share of them to the target.
	StageTrial Stage = "trial"
	// StageShift sends all requests to the target, while the stable version's back ends finish theirs.
	StageShift Stage = "shift"
	// StageCompleted has the target as the stable version, and no requests in progress at others.
	StageCompleted Stage = "completed"
	// StageRolledBack sends no more requests to the target.
	StageRolledBack Stage = "rolled_back"
)

// Ended reports whether the stage is final, or there was no order.
func (s Stage) Ended() bool { return s == StageCompleted || s == StageRolledBack || s == StageNone }

// Standing is the persistent state of a service's versions, a row of the store. It only moves forward, from stage
// to stage and from order to order.
type Standing struct {
	Service identity.ServiceName
	// Stable is the version that gets the requests while there is no order, or until the order reaches
	// StageShift.
	Stable identity.SoftwareVersion
	// Target and Order belong to the newest order that was begun; they are zero if there was none.
	Target identity.SoftwareVersion
	Order  uint64
	Stage  Stage
	// BeganAt and Deadline are times of the store's clock.
	BeganAt, Deadline time.Duration
	// Reason explains to operators why the order reached its stage.
	Reason string
	// Row is the position of the row in the store; zero means not written yet.
	Row uint64
}

// Supersedes reports whether a standing is of a later order than another one of the same service, or of a later
// stage of the same order.
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

// Service is a daemon's knowledge of the versions of a service.
type Service struct {
	// Order is the newest order, nil if there is none, and OrderSince a time of the store's clock at which it did
	// not exist yet or was first seen.
	Order      *Order
	OrderSince time.Duration
	Standing   Standing
	// Lost is set if the store was restored from a copy that lacks the standing. Stored is then the position of
	// the row that the store holds instead; zero means none.
	Lost   bool
	Stored uint64
}

// ReplacedRow returns the position of the row that the next standing replaces; zero means none.
func (s Service) ReplacedRow() uint64 {
	if s.Lost {
		return s.Stored
	}
	return s.Standing.Row
}
