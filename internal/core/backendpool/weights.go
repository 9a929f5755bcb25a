package backendpool

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// LearnVersion records the version of a model's weights that a back end holds.
func (p *Pool) LearnVersion(id identity.BackendID, model identity.ModelName, version uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if found := p.byPeerKey(rendezvous.Key(string(id))); found != nil {
		p.learn(found, model, version)
	}
}

// learn records a version that a back end holds. The caller holds the mutex.
func (p *Pool) learn(found *entry, model identity.ModelName, version uint64) {
	found.learn(model, version)
	p.newest[model] = max(p.newest[model], version)
}

// LearnVersions records that back ends, by the hashes of their IDs, hold a version of a model's weights.
func (p *Pool) LearnVersions(keys []uint64, model identity.ModelName, version uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, key := range keys {
		if found := p.byPeerKey(key); found != nil {
			p.learn(found, model, version)
		}
	}
}

// Holder is a back end and the version of a model's weights that it holds.
type Holder struct {
	Backend Backend
	Version uint64
	// InFlight is the number of requests of all daemons in flight there.
	InFlight float64
	// Reading is the outstanding prefill work there, in tokens.
	Reading float64
	// Ejected is set while the back end is ejected.
	Ejected bool
}

// AnyOutdated reports whether a back end that is neither ejected nor draining holds an older version of a model's
// weights than the given one.
func (p *Pool) AnyOutdated(now time.Time, model identity.ModelName, version uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, found := range p.byID {
		held := found.version(model)
		if held > 0 && held < version && found.listed() && !found.ejected(now) {
			return true
		}
	}
	return false
}

// Holders returns the back ends that hold a model, oldest version first, excluding those that have ended or whose
// address now belongs to another one.
func (p *Pool) Holders(now time.Time, model identity.ModelName) []Holder {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var holders []Holder
	for _, found := range p.byID {
		if version := found.version(model); version > 0 && !found.hasEnded() {
			holders = append(holders, Holder{
				Backend: found.described(), Version: version,
				InFlight: float64(found.inFlight) + found.others.InFlight,
				Reading:  found.reading + found.others.Reading, Ejected: found.ejected(now),
			})
		}
	}
	slices.SortFunc(holders, func(left, right Holder) int {
		return cmp.Or(cmp.Compare(left.Version, right.Version), cmp.Compare(left.Backend.ID, right.Backend.ID))
	})
	return holders
}
