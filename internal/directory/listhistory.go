package directory

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// minHistory bounds the changes that are remembered. A daemon that missed some of them is told these alone; beyond this
// number the packed list is about as short.
const minHistory = 8192

// listHistory remembers which back ends changed last, so that others are told what they missed and not the whole list.
// The zero value knows nothing.
type listHistory struct {
	// changes are ordered by version.
	changes []listChange
	// floor is the store's version since which they are all there are.
	floor uint64
	// begun is set once there is a list.
	begun bool
}

type listChange struct {
	version uint64
	name    identity.BackendName
}

// begin starts from a list as of a version.
func (h *listHistory) begin(version uint64) { *h = listHistory{floor: version, begun: true} }

// note adds a change up to a version.
func (h *listHistory) note(version uint64, name identity.BackendName) {
	h.changes = append(h.changes, listChange{version, name})
	if len(h.changes) <= 2*minHistory {
		return
	}
	dropped := len(h.changes) - minHistory
	h.floor = h.changes[dropped-1].version
	// Changes of the same version as the last one dropped are not all there any more.
	h.changes = slices.Clone(h.changes[dropped:])
}

// since returns the back ends that changed after a version, each once; false where that is no longer known.
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
