package directory

import (
	"bytes"
	"cmp"
	"maps"
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
	digest listDigest
}

type listedBackend struct {
	backend backendpool.Backend
	digest  listDigest
}

func newBackendList() *backendList {
	return &backendList{byName: map[identity.BackendName]listedBackend{}}
}

// put adds a back end, in place of what was known of it and of its lives before.
func (l *backendList) put(backend backendpool.Backend) {
	digest := digestOf(backend)
	name := backend.ID.Name()
	l.digest ^= l.byName[name].digest ^ digest
	l.byName[name] = listedBackend{backend: backend, digest: digest}
}

// remove drops a back end; one that is not listed is passed over.
func (l *backendList) remove(name identity.BackendName) {
	l.digest ^= l.byName[name].digest
	delete(l.byName, name)
}

// digestAfter is what the digest would be after changes.
func (l *backendList) digestAfter(changed []backendpool.Backend, gone []identity.BackendName) listDigest {
	digest := l.digest
	for _, backend := range changed {
		digest ^= l.byName[backend.ID.Name()].digest ^ digestOf(backend)
	}
	for _, name := range gone {
		digest ^= l.byName[name].digest
	}
	return digest
}

// has tells whether the list says the same of a back end.
func (l *backendList) has(backend backendpool.Backend) bool {
	known, found := l.byName[backend.ID.Name()]
	return found && known.digest == digestOf(backend)
}

// difference returns what a whole list changes in this one.
func (l *backendList) difference(listed []backendpool.Backend) ([]backendpool.Backend, []identity.BackendName) {
	var changed []backendpool.Backend
	missing := map[identity.BackendName]bool{}
	for name := range l.byName {
		missing[name] = true
	}
	for _, backend := range listed {
		delete(missing, backend.ID.Name())
		if !l.has(backend) {
			changed = append(changed, backend)
		}
	}
	return changed, slices.Sorted(maps.Keys(missing))
}

// all returns the back ends, ordered by ID.
func (l *backendList) all() []backendpool.Backend {
	list := make([]backendpool.Backend, 0, len(l.byName))
	for _, listed := range l.byName {
		list = append(list, listed.backend)
	}
	slices.SortFunc(list, func(left, right backendpool.Backend) int { return cmp.Compare(left.ID, right.ID) })
	return list
}
