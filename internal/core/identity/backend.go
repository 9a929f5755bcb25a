package identity

import (
	"strconv"
	"strings"
)

// BackendName is the platform's ID of a backend (a model engine or a web-app runner). It stays the
// same across restarts.
type BackendName string

// BackendID identifies one incarnation of a backend, from its start to its end, by its name and,
// if known, its incarnation. All state about a backend is kept by this ID, so that nothing learnt
// about one incarnation is attributed to the next. Create it with NewBackendID.
type BackendID string

// incarnationSeparator separates the name from the incarnation.
const incarnationSeparator = "@"

// NewBackendID returns the ID of an incarnation. The incarnation is zero if unknown; the resulting
// ID differs from those with an incarnation.
func NewBackendID(name BackendName, incarnation Incarnation) BackendID {
	if incarnation == 0 && !strings.Contains(string(name), incarnationSeparator) {
		return BackendID(name)
	}
	return BackendID(string(name) + incarnationSeparator + strconv.FormatUint(uint64(incarnation), 10))
}

// Name returns the backend's name, by which the platform knows it.
func (id BackendID) Name() BackendName {
	name, _ := id.split()
	return name
}

// Incarnation returns the incarnation; zero if unknown.
func (id BackendID) Incarnation() Incarnation {
	_, incarnation := id.split()
	return incarnation
}

func (id BackendID) split() (BackendName, Incarnation) {
	at := strings.LastIndex(string(id), incarnationSeparator)
	if at < 0 {
		return BackendName(id), 0
	}
	incarnation, err := strconv.ParseUint(string(id[at+len(incarnationSeparator):]), 10, 64)
	if err != nil {
		return BackendName(id), 0
	}
	return BackendName(id[:at]), Incarnation(incarnation)
}

// MatchesIncarnation reports whether this may be the backend that reports the given incarnation of
// itself. An unknown incarnation, zero, matches any.
func (id BackendID) MatchesIncarnation(incarnation Incarnation) bool {
	known := id.Incarnation()
	return known == 0 || incarnation == 0 || known == incarnation
}
