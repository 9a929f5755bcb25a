package directory

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// listDigest is the same for lists that hold the same back ends, in whatever order
// they came to hold them, and for nearly all others another one.
type listDigest uint64

// digestOf is the part of one back end in the digest of its list.
func digestOf(backend backendpool.Backend) listDigest {
	var encoded bytes.Buffer
	encoder := msgpack.NewEncoder(&encoded)
	encoder.SetSortMapKeys(true)
	if len(backend.Weights) == 0 {
		backend.Weights = nil
	}
	// A struct of texts and numbers always encodes into memory.
	_ = encoder.Encode(backend)
	return listDigest(rendezvous.Key(encoded.String()))
}

// backendList is the list of back ends as a daemon believes it to be. Of each one it has one life, the one
// that the store's newest row tells of: rows come in the store's order, also where a machine's clock has
// stepped back between two lives.
type backendList struct {
	byName map[identity.BackendName]listedBackend
	// digest is of all of them.
	digest  listDigest
	history listHistory
}

type listedBackend struct {
	backend backendpool.Backend
	digest  listDigest
}

func newBackendList() *backendList {
	return &backendList{byName: map[identity.BackendName]listedBackend{}}
}

// alter takes in changes up to a version of the store. It returns the IDs of those that are no longer listed: of back ends
// that are gone, and of lives before.
func (l *backendList) alter(changed []listedBackend, gone []identity.BackendName, to uint64) (ended []identity.BackendID) {
	for _, each := range changed {
		name := each.backend.ID.Name()
		if known, listed := l.byName[name]; listed && known.backend.ID != each.backend.ID {
			ended = append(ended, known.backend.ID)
		}
		l.putListed(each)
		l.history.note(to, name)
	}
	for _, name := range gone {
		if known, listed := l.byName[name]; listed {
			ended = append(ended, known.backend.ID)
		}
		l.remove(name)
		l.history.note(to, name)
	}
	return ended
}

// digested adds the digests of back ends.
func digested(backends []backendpool.Backend) []listedBackend {
	listed := make([]listedBackend, len(backends))
	for index, backend := range backends {
		listed[index] = listedBackend{backend: backend, digest: digestOf(backend)}
	}
	return listed
}

// backendsOf are the back ends without their digests.
func backendsOf(listed []listedBackend) []backendpool.Backend {
	backends := make([]backendpool.Backend, len(listed))
	for index := range listed {
		backends[index] = listed[index].backend
	}
	return backends
}

// since returns what has changed since a version of the store; false where that is no longer known.
func (l *backendList) since(version uint64) (changed []backendpool.Backend, gone []identity.BackendName, known bool) {
	names, known := l.history.since(version)
	for _, name := range names {
		if listed, found := l.byName[name]; found {
			changed = append(changed, listed.backend)
		} else {
			gone = append(gone, name)
		}
	}
	return changed, gone, known
}

// put adds a back end, in place of what was known of it and of its lives before.
func (l *backendList) put(backend backendpool.Backend) {
	l.putListed(listedBackend{backend: backend, digest: digestOf(backend)})
}

func (l *backendList) putListed(listed listedBackend) {
	name := listed.backend.ID.Name()
	l.digest ^= l.byName[name].digest ^ listed.digest
	l.byName[name] = listed
}

// remove drops a back end; one that is not listed is passed over.
func (l *backendList) remove(name identity.BackendName) {
	l.digest ^= l.byName[name].digest
	delete(l.byName, name)
}

// digestAfter is what the digest would be after changes.
func (l *backendList) digestAfter(changed []listedBackend, gone []identity.BackendName) listDigest {
	digest := l.digest
	for _, each := range changed {
		digest ^= l.byName[each.backend.ID.Name()].digest ^ each.digest
	}
	for _, name := range gone {
		digest ^= l.byName[name].digest
	}
	return digest
}

// lacking are those of some back ends of which the list says nothing, or something else.
func (l *backendList) lacking(backends []backendpool.Backend) []listedBackend {
	return slices.DeleteFunc(digested(backends), func(each listedBackend) bool {
		known, found := l.byName[each.backend.ID.Name()]
		return found && known.digest == each.digest
	})
}

// listOfAll makes a list of back ends.
func listOfAll(backends []backendpool.Backend) *backendList {
	made := newBackendList()
	for _, backend := range backends {
		made.put(backend)
	}
	return made
}

// difference returns what another list changes in this one.
func (l *backendList) difference(other *backendList) (changed []listedBackend, gone []identity.BackendName) {
	for name, listed := range other.byName {
		if known, found := l.byName[name]; !found || known.digest != listed.digest {
			changed = append(changed, listed)
		}
	}
	for name := range l.byName {
		if _, found := other.byName[name]; !found {
			gone = append(gone, name)
		}
	}
	slices.SortFunc(changed, func(left, right listedBackend) int { return cmp.Compare(left.backend.ID, right.backend.ID) })
	slices.Sort(gone)
	return changed, gone
}

// unordered returns the back ends.
func (l *backendList) unordered() []backendpool.Backend {
	list := make([]backendpool.Backend, 0, len(l.byName))
	for _, listed := range l.byName {
		list = append(list, listed.backend)
	}
	return list
}

// all returns the back ends, ordered by ID.
func (l *backendList) all() []backendpool.Backend {
	list := l.unordered()
	slices.SortFunc(list, func(left, right backendpool.Backend) int { return cmp.Compare(left.ID, right.ID) })
	return list
}
