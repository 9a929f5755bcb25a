package directory

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// minHistory is how many changes are remembered at least, and twice as many at most. A daemon that missed some of
// them is sent these alone; beyond this number the packed list is about as short.
const minHistory = 8192

// listHistory remembers which back ends changed last, so that other daemons are sent what they missed rather than
// the whole list. The zero value is empty.
type listHistory struct {
	// changes are ordered by version.
	changes []listChange
	// floor is the store's version after which changes holds all changes.
	floor uint64
	// begun is set once there is a list.
	begun bool
}

type listChange struct {
	version uint64
	name    identity.BackendName
}

// begin resets the history to a list as of a version.
func (h *listHistory) begin(version uint64) { *h = listHistory{floor: version, begun: true} }

// note adds a change up to a version.
func (h *listHistory) note(version uint64, name identity.BackendName) {
	h.changes = append(h.changes, listChange{version, name})
	if len(h.changes) <= 2*minHistory {
		return
	}
	dropped := len(h.changes) - minHistory
	h.floor = h.changes[dropped-1].version
	// Other changes of the same version as the last dropped one are incomplete now.
	h.changes = slices.Clone(h.changes[dropped:])
}

// since returns the back ends that changed after a version, each once; false if the history doesn't reach back that
// far.
func (h *listHistory) since(version uint64) ([]identity.BackendName, bool) {
	if !h.begun || version < h.floor {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(h.changes, version+1, func(change listChange, version uint64) int {
		if change.version < version {
			return -1
		}
		return 1
	})
	seen := map[identity.BackendName]bool{}
	var names []identity.BackendName
	for _, change := range h.changes[at:] {
		if !seen[change.name] {
			seen[change.name] = true
			names = append(names, change.name)
		}
	}
	return names, true
}
