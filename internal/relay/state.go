package relay

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// State is what a request is decided on. It is immutable; the control goroutine
// publishes a new one at each change.
type State struct {
	Table *routing.Table
	// RowVersion is the store's version of the configuration's row.
	RowVersion uint64
	// Versions are the named versions of the models' weights, oldest first.
	Versions map[identity.ModelName][]NamedVersion
	// Software is what is believed of the software versions of services, of those that have
	// an order or a standing; nil where roll-outs are off.
	Software map[identity.ServiceName]rollout.Service
}

// BeginBound is until when requests may begin on a version of a model's weights. The zero value
// is no bound.
type BeginBound struct {
	At    time.Time
	Basis BoundBasis
	// Newer is the version whose naming bounds the older one.
	Newer uint64
}

// BoundBasis is what a BeginBound counts from.
type BoundBasis string

// The bases.
const (
	// BasisNamed is a time at which the newer version was known not to be named yet.
	BasisNamed BoundBasis = "named"
	// BasisGuessed is a guess of that: the daemon found the newer version at its start.
	BasisGuessed BoundBasis = "guessed"
	// BasisDisturbed is the end of a disturbance of the platform's store.
	BasisDisturbed BoundBasis = "disturbed"
)

// BeginBound is until when requests may begin on a version of a model's weights: some
// time after the first newer version was named, or after the platform's store was
// last disturbed.
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

// BeginBy is the time of the BeginBound; zero is no bound.
func (s *State) BeginBy(model identity.ModelName, version uint64, steady time.Time, grace time.Duration) time.Time {
	return s.BeginBound(model, version, steady, grace).At
}

// NewestVersion is the newest named version of a model's weights, or zero.
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
	// NamedAfter is the last time at which this daemon, or one that told it, knew that the
	// version was not named yet. The time at which it was first seen would be later than its
	// naming by the interval of the checks.
	NamedAfter time.Time
	// StoreClock is what the platform's store's clock had at least reached then, or zero.
	StoreClock time.Duration
	// Guessed is set while NamedAfter is only a guess: the daemon found the version when
	// it started.
	Guessed bool
}

// Control is the control side as the relay sees it.
type Control interface {
	// State returns the present state, or nil before the first configuration.
	State() *State
	// ConfirmedAt is when the newest call began that showed the state to be the
	// newest.
	ConfirmedAt() time.Time
	// SteadySince returns since when the platform's store has been steady, which
	// may be in the future while it is disturbed.
	SteadySince() time.Time
}

// Policy holds the bounds that the relay keeps.
type Policy struct {
	// MaxConfirmationAgeForKeys is how old a confirmation may be for requests with a
	// key; older, keys that were taken away might be let in.
	MaxConfirmationAgeForKeys time.Duration
	// MaxConfirmationAgeForDenials is how old a confirmation may be for a request to be
	// told that its route or key is unknown.
	MaxConfirmationAgeForDenials time.Duration
	// VersionGrace is how long after a version was named back ends with an older
	// one may begin requests. It counts while the platform's store is steady, since
	// new weights cannot be ordered without it.
	VersionGrace time.Duration
	// RetryAfter is what callers are told where a request has not run.
	RetryAfter time.Duration
}
