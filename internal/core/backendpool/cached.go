package backendpool

import (
	"slices"
	"time"
)

// Level tells where the cache of a prompt prefix, up to the end of one of the prompt's shared parts, can be found.
type Level struct {
	// Tokens is the length of the prefix.
	Tokens int
	// Read holds the hashes of the back ends that most likely have the prefix cached, and Reading of those that are
	// about to compute it.
	Read, Reading []uint64
	// Stored is set if the prefix can be fetched from a cache store.
	Stored bool
}

// heldBy reports whether a back end has the prefix cached, or will have once it has processed the requests already
// sent.
func (l *Level) heldBy(key uint64) bool {
	return slices.Contains(l.Read, key) || slices.Contains(l.Reading, key)
}

// movable reports whether the prefix can be transferred from a back end or a store.
func (l *Level) movable() bool { return l.Stored || len(l.Read) > 0 }

// Cached lists the cached prefixes of a prompt, longest first.
type Cached []Level

// held returns how many tokens of the prompt a back end has cached.
func (c Cached) held(key uint64) int {
	for index := range c {
		if c[index].heldBy(key) {
			return c[index].Tokens
		}
	}
	return 0
}

// movable returns how many tokens of the prompt can be transferred from elsewhere.
func (c Cached) movable() int {
	for index := range c {
		if c[index].movable() {
			return c[index].Tokens
		}
	}
	return 0
}

// known reports whether any back end is known to have the longest prefix, or to be computing it.
func (c Cached) known() bool { return len(c) > 0 && len(c[0].Read)+len(c[0].Reading) > 0 }

// memoized returns a query that looks up the cached prefixes only once for each version of the weights. A pick
// needs them for the sample, the costs and the transfer source.
func (q Query) memoized() Query {
	lookup := q.Cached
	if lookup == nil {
		return q
	}
	known := map[uint64]Cached{}
	q.Cached = func(version uint64) Cached {
		cached, found := known[version]
		if !found {
			cached = lookup(version)
			known[version] = cached
		}
		return cached
	}
	return q
}

// cached returns the cached prefixes for a version; nil if unknown.
func (q Query) cached(version uint64) Cached {
	if q.Cached == nil {
		return nil
	}
	return q.Cached(version)
}

// Source tells where the cache of a prompt can be transferred from.
type Source struct {
	// Holder is the back end to transfer from; nil if there is none.
	Holder *Backend
	// HeldTokens is the number of prompt tokens that the picked back end has cached.
	HeldTokens int
	// HolderTokens and StoredTokens are the numbers of prompt tokens that the holder and the store have.
	HolderTokens, StoredTokens int
}

// source finds where to transfer the missing prefix of a query's prompt from: a healthy back end with the same
// version of the weights that has the longest prefix, preferably in the same zone, else in the same region.
func (p *Pool) source(now time.Time, query Query, picked *entry) Source {
	var found Source
	version := picked.version(query.Model)
	if version == 0 {
		return found
	}
	cached := query.cached(version)
	held := cached.held(picked.key)
	if query.cachedEverywhere != nil && query.farMovePays(version, held, cached.movable()) {
		// A transfer from another region takes three times as long as prefill, but it occupies only the link, while
		// prefill delays other requests. The choice of a back end doesn't count on it.
		cached = query.cachedEverywhere(version)
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

// farMovePays reports whether most of what would be transferred from another region is unavailable in the own one.
func (q Query) farMovePays(version uint64, held, near int) bool {
	far := q.cachedEverywhere(version).movable()
	uncached := far - max(held, near)
	return uncached > 0 && float64(uncached) >= minFarShare*float64(far-held)
}

// holder returns one of the given back ends that is healthy and has the picked one's version, preferably in the
// same zone, else in the same region. It returns nil if there is none.
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
