package relay

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// State is the basis for decisions on requests. It is immutable; the control goroutine publishes a
// new one on each change.
type State struct {
	Table *routing.Table
	// RowVersion is the version of the configuration row in the metadata store.
	RowVersion uint64
	// Versions holds the named versions of each model's weights, oldest first.
	Versions map[identity.ModelName][]NamedVersion
	// Software holds the believed rollout state of services that have a rollout order or standing.
	// It is nil if rollouts are disabled.
	Software map[identity.ServiceName]rollout.Service
}

// BeginBound is the time until which requests may start on a version of a model's weights. The
// zero value means no bound.
type BeginBound struct {
	At    time.Time
	Basis BoundBasis
	// Newer is the newer version whose naming bounds the older one.
	Newer uint64
}

// BoundBasis is the event that a BeginBound is counted from.
type BoundBasis string

// Bound bases.
const (
	// BasisNamed counts from a time at which the newer version was known not to be named yet.
	BasisNamed BoundBasis = "named"
	// BasisGuessed counts from an estimate of that time, because the daemon found the newer
	// version at its start.
	BasisGuessed BoundBasis = "guessed"
	// BasisDisturbed counts from the end of a disturbance of the platform's store.
	BasisDisturbed BoundBasis = "disturbed"
)

// BeginBound returns until when requests may start on a version of a model's weights: the grace
// period after the first newer version was named, or after the platform's store was last
// disturbed.
func (s *State) BeginBound(model identity.ModelName, version uint64, steady time.Time, grace time.Duration) BeginBound {
	for _, named := range s.Versions[model] {
		if named.Version <= version {
			continue
		}
		bound := BeginBound{At: named.NamedAfter.Add(grace), Basis: BasisNamed, Newer: named.Version}
		switch {
		case steady.After(named.NamedAfter):
			bound.At, bound.Basis = steady.Add(grace), BasisDisturbed
		case named.Guessed:
			bound.Basis = BasisGuessed
		}
		return bound
	}
	return BeginBound{}
}

// BeginBy returns the time of the BeginBound; the zero time means no bound.
func (s *State) BeginBy(model identity.ModelName, version uint64, steady time.Time, grace time.Duration) time.Time {
	return s.BeginBound(model, version, steady, grace).At
}

// NewestVersion returns the newest named version of a model's weights, or zero.
func (s *State) NewestVersion(model identity.ModelName) uint64 {
	named := s.Versions[model]
	if len(named) == 0 {
		return 0
	}
	return named[len(named)-1].Version
}

// NamedVersion is a version of a model's weights that operators named.
type NamedVersion struct {
	Version uint64
	// NamedAfter is the last time at which this daemon, or one that reported to it, knew that the
	// version was not named yet. The time of its first sighting would be later than the naming by
	// up to the interval of the checks.
	NamedAfter time.Time
	// StoreClock is a lower bound of the platform store's clock at that time, or zero.
	StoreClock time.Duration
	// Guessed is set while NamedAfter is only an estimate, because the daemon found the version at
	// its start.
	Guessed bool
}

// Control is the relay's view of the control plane.
type Control interface {
	// State returns the current state, or nil before the first configuration.
	State() *State
	// ConfirmedAt returns the start time of the latest call that confirmed the state as the
	// newest.
	ConfirmedAt() time.Time
	// SteadySince returns since when the platform's store has been undisturbed. The time may be in
	// the future during a disturbance.
	SteadySince() time.Time
}

// Policy holds the time limits that the relay applies.
type Policy struct {
	// MaxConfirmationAgeForKeys is the maximum age of the configuration's confirmation for
	// requests with a key. With an older one, revoked keys might be accepted.
	MaxConfirmationAgeForKeys time.Duration
	// MaxConfirmationAgeForDenials is the maximum age of the configuration's confirmation for
	// telling a caller that its route or key is unknown.
	MaxConfirmationAgeForDenials time.Duration
	// VersionGrace is how long after a version was named backends with an older one may still
	// start requests. It only counts while the platform's store is undisturbed, because new
	// weights cannot be ordered without it.
	VersionGrace time.Duration
	// RetryAfter is the default retry delay for requests that have not run.
	RetryAfter time.Duration
}
