package peerlink

import (
	"slices"
	"sync"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Grouping is this daemon and the others by their regions. It must not be changed.
type Grouping struct {
	All []string
	// ByRegion has the daemons of no known region under an empty one.
	ByRegion map[identity.Region][]string
}

// Groups sorts daemons by their regions once for each list of the others. It is safe for use by
// several goroutines.
type Groups struct {
	self   string
	region func(address string) identity.Region

	mutex   sync.Mutex
	current *Grouping
	of      []string
}

// NewGroups makes Groups of this daemon and others. region returns the region of a daemon, this
// one's too.
func NewGroups(self string, region func(address string) identity.Region) *Groups {
	return &Groups{self: self, region: region}
}

// Of returns this daemon and the others by their regions: the same Grouping for the same slice.
// The list has to be another slice whenever any of the others is described anew.
func (g *Groups) Of(others []string) *Grouping {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.current == nil || !SameList(others, g.of) {
		g.current, g.of = g.group(others), others
	}
	return g.current
}

func (g *Groups) group(others []string) *Grouping {
	made := &Grouping{All: append(slices.Clone(others), g.self), ByRegion: map[identity.Region][]string{}}
	for _, address := range made.All {
		region := g.region(address)
		made.ByRegion[region] = append(made.ByRegion[region], address)
	}
	return made
}

// SameList tells whether two lists of daemons are one: a list is replaced when it changes.
func SameList(left, right []string) bool {
	return len(left) == len(right) && (len(left) == 0 || &left[0] == &right[0])
}
