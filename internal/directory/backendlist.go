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

// listDigest is a hash of a list's contents. It doesn't depend on the order in which the entries were added.
type listDigest uint64

// digestOf returns the contribution of one back end to the digest of its list.
func digestOf(backend backendpool.Backend) listDigest {
	var encoded bytes.Buffer
	encoder := msgpack.NewEncoder(&encoded)
	encoder.SetSortMapKeys(true)
	if len(backend.Weights) == 0 {
		backend.Weights = nil
	}
	// Encoding a struct of strings and numbers into memory can't fail.
	_ = encoder.Encode(backend)
	return listDigest(rendezvous.Key(encoded.String()))
}

// backendList is this daemon's copy of the list of back ends. It holds one life (run) of each back end: the one in
// the store's newest row. Rows come in the store's order, which holds even if a machine's clock stepped back
// between two lives.
type backendList struct {
	byName map[identity.BackendName]listedBackend
	// digest covers all back ends.
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

// applyChange applies changes up to a version of the store. It returns the IDs that are no longer listed: those of
// removed back ends, and of the former lives of restarted ones.
func (l *backendList) applyChange(changed []listedBackend, gone []identity.BackendName, to uint64) (ended []identity.BackendID) {
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

// digested pairs back ends with their digests.
func digested(backends []backendpool.Backend) []listedBackend {
	listed := make([]listedBackend, len(backends))
	for index, backend := range backends {
		listed[index] = listedBackend{backend: backend, digest: digestOf(backend)}
	}
	return listed
}

// backendsOf strips the digests.
func backendsOf(listed []listedBackend) []backendpool.Backend {
	backends := make([]backendpool.Backend, len(listed))
	for index := range listed {
		backends[index] = listed[index].backend
	}
	return backends
}

// since returns what has changed since a version of the store; known is false if the history doesn't reach back
// that far.
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

// put adds a back end, replacing any former entry of the same name.
func (l *backendList) put(backend backendpool.Backend) {
	l.putListed(listedBackend{backend: backend, digest: digestOf(backend)})
}

func (l *backendList) putListed(listed listedBackend) {
	name := listed.backend.ID.Name()
	l.digest ^= l.byName[name].digest ^ listed.digest
	l.byName[name] = listed
}

// remove removes a back end, if it is listed.
func (l *backendList) remove(name identity.BackendName) {
	l.digest ^= l.byName[name].digest
	delete(l.byName, name)
}

// digestAfter returns the digest that the list would have after the given changes.
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

// differing returns those of the given back ends that are not listed here, or are listed with other contents.
func (l *backendList) differing(backends []backendpool.Backend) []listedBackend {
	return slices.DeleteFunc(digested(backends), func(each listedBackend) bool {
		known, found := l.byName[each.backend.ID.Name()]
		return found && known.digest == each.digest
	})
}

// listOfAll builds a list from back ends.
func listOfAll(backends []backendpool.Backend) *backendList {
	made := newBackendList()
	for _, backend := range backends {
		made.put(backend)
	}
	return made
}

// difference returns the changes that lead from this list to another one.
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

// unordered returns the back ends in no particular order.
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
