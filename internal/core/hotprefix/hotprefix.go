// Package hotprefix tells which prompt prefixes many recent requests share. It
// counts each prompt at a few depths only, with rates that decay, in bounded
// memory (the space-saving algorithm: a new prefix takes the place of the coldest).
package hotprefix

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
)

const (
	// shallowestBlocks is the least depth that is counted; each next one is twice
	// as deep.
	shallowestBlocks = 16
	// capacity bounds the prefixes that are counted.
	capacity = 1024
	// halfLife is how long a rate takes to fall to its half without requests.
	halfLife = 10 * time.Second
	// rebaseAfter is how often weights are scaled down.
	rebaseAfter = 50 * halfLife
	// deeperShare is how much of a prefix's rate a longer one must have for the
	// shorter one to be left out of the answer.
	deeperShare = 0.8
)

// Request is what the tracker needs of a request.
type Request struct {
	Tenant  identity.TenantName
	Model   identity.ModelName
	Version identity.WeightsVersion
	Chain   prefix.Chain
}

// Prefix is a prefix that recent requests share.
type Prefix struct {
	Hash    prefix.Hash
	Tenant  identity.TenantName
	Model   identity.ModelName
	Version identity.WeightsVersion
	// Blocks is the prefix's length.
	Blocks int
	// RequestsPerSecond is the present rate.
	RequestsPerSecond float64
}

type entry struct {
	Prefix
	// parent is the hash at the next shallower counted depth, or zero.
	parent prefix.Hash
	// weight is the decayed count in units of Tracker.unit, so that time passing
	// changes no entry and their order stays.
	weight float64
	// position is the entry's place in the heap.
	position int
}

// Tracker counts prefixes. It is owned by one goroutine.
type Tracker struct {
	entries map[prefix.Hash]*entry
	// coldest is a heap with the entry of the least weight on top.
	coldest coldestFirst
	// base is the time at which one request has weight 1. A later request weighs
	// more in place of the earlier ones weighing less.
	base time.Time
}

// New makes an empty tracker.
func New() *Tracker {
	return &Tracker{entries: make(map[prefix.Hash]*entry)}
}

// Observe counts a request.
func (t *Tracker) Observe(now time.Time, request Request) {
	t.rebase(now)
	unit := t.unit(now)
	var parent prefix.Hash
	for blocks := shallowestBlocks; blocks <= len(request.Chain); blocks *= 2 {
		hash := request.Chain[blocks-1]
		counted, found := t.entries[hash]
		if !found {
			counted = t.insert(hash, parent, blocks, request)
		}
		counted.weight += unit
		heap.Fix(&t.coldest, counted.position)
		parent = hash
	}
}

// insert adds a prefix. When there is no room it takes the place of the coldest
// and takes over its weight, so that a prefix that keeps coming back is not
// displaced every time.
func (t *Tracker) insert(hash, parent prefix.Hash, blocks int, request Request) *entry {
	added := &entry{
		Prefix: Prefix{
			Hash: hash, Tenant: request.Tenant, Model: request.Model, Version: request.Version, Blocks: blocks,
		},
		parent: parent,
	}
	if len(t.entries) >= capacity {
		displaced := heap.Pop(&t.coldest).(*entry)
		delete(t.entries, displaced.Hash)
		added.weight = displaced.weight
	}
	t.entries[hash] = added
	heap.Push(&t.coldest, added)
	return added
}

// unit is the weight of a request that comes now.
func (t *Tracker) unit(now time.Time) float64 {
	return math.Exp2(now.Sub(t.base).Seconds() / halfLife.Seconds())
}

// rebase moves the base to now before weights grow out of range. All weights
// shrink by the same factor, so their order stays.
func (t *Tracker) rebase(now time.Time) {
	if !t.base.IsZero() && now.Sub(t.base) < rebaseAfter {
		return
	}
	if !t.base.IsZero() {
		unit := t.unit(now)
		for _, counted := range t.entries {
			counted.weight /= unit
		}
	}
	t.base = now
}

// coldestFirst implements heap.Interface.
type coldestFirst []*entry

// Len implements heap.Interface.
func (h coldestFirst) Len() int { return len(h) }

// Less implements heap.Interface.
func (h coldestFirst) Less(i, j int) bool { return h[i].weight < h[j].weight }

// Swap implements heap.Interface.
func (h coldestFirst) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *coldestFirst) Push(added any) {
	pushed := added.(*entry)
	pushed.position = len(*h)
	*h = append(*h, pushed)
}

// Pop implements heap.Interface.
func (h *coldestFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// ratePerWeight turns a decayed count into a rate: at a steady rate r the count
// settles at r times the mean life of a count.
var ratePerWeight = math.Ln2 / halfLife.Seconds()

// Top returns the hottest prefixes, hottest first. A prefix is left out when a
// longer one has nearly all of its requests.
func (t *Tracker) Top(now time.Time, count int) []Prefix {
	unit := t.unit(now)
	covered := make(map[prefix.Hash]bool)
	for _, deeper := range t.entries {
		parent, found := t.entries[deeper.parent]
		if found && deeper.weight >= deeperShare*parent.weight {
			covered[parent.Hash] = true
		}
	}
	var top []Prefix
	for hash, counted := range t.entries {
		if covered[hash] {
			continue
		}
		hot := counted.Prefix
		hot.RequestsPerSecond = counted.weight / unit * ratePerWeight
		top = append(top, hot)
	}
	slices.SortFunc(top, func(left, right Prefix) int {
		return cmp.Or(cmp.Compare(right.RequestsPerSecond, left.RequestsPerSecond), cmp.Compare(left.Hash, right.Hash))
	})
	return top[:min(count, len(top))]
}
