package backendpool

import (
	"slices"
	"time"
)

// Level says where a prompt is up to the end of one of its shared parts.
type Level struct {
	// Tokens is the prompt's length up to there.
	Tokens int
	// Read are the hashes of the back ends that most likely hold it, and Reading of
	// those that are about to read it.
	Read, Reading []uint64
	// Stored is set when it can be taken from a store.
	Stored bool
}

// heldBy tells whether a back end has it, or will have once it has read what was
// sent there before.
func (l *Level) heldBy(key uint64) bool {
	return slices.Contains(l.Read, key) || slices.Contains(l.Reading, key)
}

// movable tells whether it can be taken from elsewhere.
func (l *Level) movable() bool { return l.Stored || len(l.Read) > 0 }

// Cached says where a prompt's shared parts are, the deepest first.
type Cached []Level

// held is how many tokens a back end has.
func (c Cached) held(key uint64) int {
	for index := range c {
		if c[index].heldBy(key) {
			return c[index].Tokens
		}
	}
	return 0
}

// movable is how many tokens can be taken from elsewhere.
func (c Cached) movable() int {
	for index := range c {
		if c[index].movable() {
			return c[index].Tokens
		}
	}
	return 0
}

// known tells whether any back end is known to have the deepest part, or to read it.
func (c Cached) known() bool { return len(c) > 0 && len(c[0].Read)+len(c[0].Reading) > 0 }

// remembered returns a query that asks where the parts are once for each version of
// the weights: a pick needs it for the sample, the costs and the source.
func (q Query) remembered() Query {
	ask := q.Cached
	if ask == nil {
		return q
	}
	known := map[uint64]Cached{}
	q.Cached = func(version uint64) Cached {
		cached, found := known[version]
		if !found {
			cached = ask(version)
			known[version] = cached
		}
		return cached
	}
	return q
}

// cached is where the parts are for a version; nil where nothing is known.
func (q Query) cached(version uint64) Cached {
	if q.Cached == nil {
		return nil
	}
	return q.Cached(version)
}

// Source is where the cache of a prompt can be taken from.
type Source struct {
	// Holder is a back end, or nil when none will do.
	Holder *Backend
	// HeldTokens is how much of the prompt the picked back end has itself.
	HeldTokens int
	// HolderTokens and StoredTokens are how much of the prompt the holder and the
	// store have.
	HolderTokens, StoredTokens int
}

// source finds where what a picked back end lacks of a query's prompt can be taken
// from: a sound back end of the same version, of the same zone or else region if there is one, that
// has as much of it as any.
func (p *Pool) source(now time.Time, query Query, picked *entry) Source {
	var found Source
	version := picked.version(query.Model)
	if version == 0 {
		return found
	}
	cached := query.cached(version)
	held := cached.held(picked.key)
	if query.farCached != nil && query.farPays(version, held, cached.movable()) {
		// A move from another region takes three times as long as reading, but it takes only the
		// link, while reading keeps other requests waiting. The choice of a back end doesn't count on it.
		cached = query.farCached(version)
	}
	found.HeldTokens = held
	for index := range cached {
		level := &cached[index]
		if level.Tokens <= held {
			break
		}
		if level.Stored && found.StoredTokens == 0 {
			found.StoredTokens = level.Tokens
		}
		if found.Holder != nil {
			continue
		}
		if holder := p.holder(now, query, picked, level.Read); holder != nil {
			backend := holder.backend
			found.Holder, found.HolderTokens = &backend, level.Tokens
		}
	}
	return found
}

// farPays tells whether most of what would be moved from another region is held nowhere nearer.
func (q Query) farPays(version uint64, held, near int) bool {
	far := q.farCached(version).movable()
	lacking := far - max(held, near)
	return lacking > 0 && float64(lacking) >= leastFarShare*float64(far-held)
}

// holder returns one of some back ends that is sound and of the picked one's
// version, of the same zone or else region if there is one, or nil.
func (p *Pool) holder(now time.Time, query Query, picked *entry, keys []uint64) *entry {
	version := picked.version(query.Model)
	var found *entry
	region := p.RegionOf(picked.backend.Zone)
	for _, key := range keys {
		candidate := p.byKey[key]
		if candidate == nil || candidate.backend.Service != query.Service || candidate.version(query.Model) != version || candidate.ejected(now) {
			continue
		}
		if candidate.backend.Zone == picked.backend.Zone {
			return candidate
		}
		if found == nil || (p.RegionOf(found.backend.Zone) != region && p.RegionOf(candidate.backend.Zone) == region) {
			found = candidate
		}
	}
	return found
}
