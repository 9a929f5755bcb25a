package revision

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Confirm records that, at a moment, nobody who was asked knew of a revision
// newer than the given one. It counts only when the store has that revision.
// The moment must be before the question was sent, so that no delay or pause
// makes an answer look fresher than it is.
func (s *Store) Confirm(revision identity.Revision, at time.Time) {
	if revision <= s.head.Revision && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// ConfirmedAt is the last moment at which no newer revision was known; zero when
// there was none.
func (s *Store) ConfirmedAt() time.Time { return s.confirmedAt }

// Provisional tells whether the document was not confirmed since the daemon
// started: it may be older than what the daemon had before its restart. A
// confirmation at the very moment of the start doesn't count, since a revision
// may have been accepted and put in force at that moment too.
func (s *Store) Provisional() bool {
	return !s.confirmedAt.After(s.startedAt)
}

// Isolated tells whether the last confirmation is older than limit.
func (s *Store) Isolated(now time.Time, limit time.Duration) bool {
	return s.Provisional() || now.Sub(s.confirmedAt) > limit
}

// Vote is a peer's answer to the question for its newest revision.
type Vote struct {
	Revision identity.Revision
	// Provisional votes don't count: that daemon may have forgotten revisions.
	Provisional bool
}

// Tally counts votes among a number of daemons. It returns the newest revision
// that was named, and whether a majority of the daemons was heard. The daemon's
// own vote must be among the votes.
func Tally(votes []Vote, daemons int) (identity.Revision, bool) {
	var newest identity.Revision
	counted := 0
	for _, vote := range votes {
		newest = max(newest, vote.Revision)
		if !vote.Provisional {
			counted++
		}
	}
	return newest, counted > daemons/2
}
