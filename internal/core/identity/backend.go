package identity

import (
	"strconv"
	"strings"
)

// BackendName is the id that a back end (a model engine or a web-app runner) has at the platform. It keeps
// it when it starts again.
type BackendName string

// BackendID names one life of a back end, from its start to its end: its name, and its incarnation where
// that is known. Whatever is believed of a back end is kept by this ID, so that nothing is believed of the
// next life that was learnt of the one before. It is to be made by NewBackendID.
type BackendID string

// incarnationMark lies between the name and the incarnation.
const incarnationMark = "@"

// NewBackendID names a life. The incarnation is zero where it isn't known; such a life is another one than
// those with an incarnation.
func NewBackendID(name BackendName, incarnation Incarnation) BackendID {
	if incarnation == 0 && !strings.Contains(string(name), incarnationMark) {
		return BackendID(name)
	}
	return BackendID(string(name) + incarnationMark + strconv.FormatUint(uint64(incarnation), 10))
}

// Name is the back end's name, which the platform knows it by.
func (id BackendID) Name() BackendName {
	name, _ := id.parts()
	return name
}

// Incarnation is that of the life; zero where it isn't known.
func (id BackendID) Incarnation() Incarnation {
	_, incarnation := id.parts()
	return incarnation
}

func (id BackendID) parts() (BackendName, Incarnation) {
	mark := strings.LastIndex(string(id), incarnationMark)
	if mark < 0 {
		return BackendName(id), 0
	}
	incarnation, err := strconv.ParseUint(string(id[mark+len(incarnationMark):]), 10, 64)
	if err != nil {
		return BackendName(id), 0
	}
	return BackendName(id[:mark]), Incarnation(incarnation)
}

// MatchesIncarnation tells whether this may be the life of which the back end itself tells its incarnation: zero,
// where it tells none, says nothing.
func (id BackendID) MatchesIncarnation(incarnation Incarnation) bool {
	known := id.Incarnation()
	return known == 0 || incarnation == 0 || known == incarnation
}
