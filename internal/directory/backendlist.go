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

// backendList is the list of back ends as a daemon believes it to be.
type backendList struct {
	byID map[identity.BackendID]listedBackend
	// digest is of all of them.
	digest listDigest
}

type listedBackend struct {
	backend backendpool.Backend
	digest  listDigest
}

func newBackendList() *backendList {
	return &backendList{byID: map[identity.BackendID]listedBackend{}}
}

// put adds a back end, in place of what was known of it.
func (l *backendList) put(backend backendpool.Backend) {
	digest := digestOf(backend)
	l.digest ^= l.byID[backend.ID].digest ^ digest
	l.byID[backend.ID] = listedBackend{backend: backend, digest: digest}
}

// remove drops a back end; one that is not listed is passed over.
func (l *backendList) remove(id identity.BackendID) {
	l.digest ^= l.byID[id].digest
	delete(l.byID, id)
}

// digestAfter is what the digest would be after changes.
func (l *backendList) digestAfter(changed []backendpool.Backend, gone []identity.BackendID) listDigest {
	digest := l.digest
	for _, backend := range changed {
		digest ^= l.byID[backend.ID].digest ^ digestOf(backend)
	}
	for _, id := range gone {
		digest ^= l.byID[id].digest
	}
	return digest
}

// has tells whether the list says the same of a back end.
func (l *backendList) has(backend backendpool.Backend) bool {
	known, found := l.byID[backend.ID]
	return found && known.digest == digestOf(backend)
}

// difference returns what a whole list changes in this one.
func (l *backendList) difference(listed []backendpool.Backend) ([]backendpool.Backend, []identity.BackendID) {
	var changed []backendpool.Backend
	missing := map[identity.BackendID]bool{}
	for id := range l.byID {
		missing[id] = true
	}
	for _, backend := range listed {
		delete(missing, backend.ID)
		if !l.has(backend) {
			changed = append(changed, backend)
		}
	}
	return changed, slices.Sorted(maps.Keys(missing))
}

// all returns the back ends, ordered by ID.
func (l *backendList) all() []backendpool.Backend {
	list := make([]backendpool.Backend, 0, len(l.byID))
	for _, listed := range l.byID {
		list = append(list, listed.backend)
	}
	slices.SortFunc(list, func(left, right backendpool.Backend) int { return cmp.Compare(left.ID, right.ID) })
	return list
}
