package model

import (
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Engine is one engine in one incarnation. It is not safe for concurrent use.
// Times given to its methods never go back.
type Engine struct {
	options  Options
	cache    *cache
	waiting  []*sequence // in order of priority and arrival
	running  []*sequence // in order of priority and arrival
	byKey    map[Key]*sequence
	arrivals uint64
	step     *step
	imports  []pendingImport
	models   map[identity.ModelName]enginewire.LoadedModel
	results  []Result
	// waitingTokens is how many tokens the waiting requests will compute.
	waitingTokens int
	// coming counts, for each block, the requests that will compute it.
	coming map[prefix.Hash]int
}

// New makes an empty engine without models.
func New(options Options) *Engine {
	options = options.WithDefaults()
	return &Engine{
		options: options,
		cache:   newCache(options.Blocks),
		byKey:   make(map[Key]*sequence),
		models:  make(map[identity.ModelName]enginewire.LoadedModel),
		coming:  make(map[prefix.Hash]int),
	}
}

// Submit takes a request, which runs or waits. It returns a refusal code of
// package enginewire, or "" when the request was taken; a refused request did
// not run.
func (e *Engine) Submit(now time.Time, request Request) string {
	e.advance(now)
	if code := e.refusalOf(request); code != "" {
		return code
	}
	e.arrivals++
	added := &sequence{request: request, arrival: e.arrivals}
	e.byKey[request.Key] = added
	e.expect(added)
	insertInOrder(&e.waiting, added)
	e.startStep(now)
	return ""
}

func (e *Engine) refusalOf(request Request) string {
	loaded, found := e.models[request.Model]
	switch {
	case !found || !loaded.Ready:
		return enginewire.CodeModelNotLoaded
	case loaded.Version != request.Version:
		return enginewire.CodeWrongWeights
	case request.newTokens() < 1 || request.ContextTokens < 1 || request.blocks() > e.options.Blocks:
		return enginewire.CodeInvalidRequest
	case e.byKey[request.Key] != nil:
		return enginewire.CodeInvalidRequest
	case len(e.waiting) >= e.options.MaxWaiting:
		return enginewire.CodeQueueFull
	default:
		return ""
	}
}

// Cancel stops a request. It returns false when the request is not in the engine.
func (e *Engine) Cancel(now time.Time, key Key) bool {
	e.advance(now)
	found := e.byKey[key]
	if found == nil {
		return false
	}
	e.remove(found)
	return true
}

// NextEventAt tells when the engine has something to do next. The second result
// is false when it has nothing to do until it is called.
func (e *Engine) NextEventAt() (time.Time, bool) {
	var next time.Time
	if e.step != nil {
		next = e.step.endsAt
	}
	if len(e.imports) > 0 && (next.IsZero() || e.imports[0].endsAt.Before(next)) {
		next = e.imports[0].endsAt
	}
	return next, !next.IsZero()
}

// Advance brings the engine up to now and returns all results since the last call.
func (e *Engine) Advance(now time.Time) []Result {
	e.advance(now)
	results := e.results
	e.results = nil
	return results
}

// TakeCacheEvents returns the cache events since the last call, oldest first.
func (e *Engine) TakeCacheEvents() []enginewire.CacheEvent {
	events := e.cache.events
	e.cache.events = nil
	return events
}

// CachedTokens tells how much of a prompt the engine would take from its cache
// now.
func (e *Engine) CachedTokens(chain prefix.Chain, contextTokens int) int {
	return e.cache.cachedBlocks(Request{Chain: chain, ContextTokens: contextTokens}) * prefix.BlockTokens
}

func (e *Engine) advance(now time.Time) {
	for {
		next, found := e.NextEventAt()
		if !found || next.After(now) {
			return
		}
		if len(e.imports) > 0 && !e.imports[0].endsAt.After(next) {
			e.finishImport()
			continue
		}
		e.finishStep()
		e.startStep(next)
	}
}

// remove takes a request out of the engine and frees its blocks.
func (e *Engine) remove(removed *sequence) {
	delete(e.byKey, removed.request.Key)
	e.unannounce(removed)
	if !removed.started {
		e.waitingTokens -= removed.expected
	}
	removeFrom(&e.waiting, removed)
	removeFrom(&e.running, removed)
	e.cache.dismiss(removed)
}

func insertInOrder(list *[]*sequence, added *sequence) {
	position, _ := slices.BinarySearchFunc(*list, added, func(one, other *sequence) int {
		if one.before(other) {
			return -1
		}
		return 1
	})
	*list = slices.Insert(*list, position, added)
}

func removeFrom(list *[]*sequence, removed *sequence) {
	if position := slices.Index(*list, removed); position >= 0 {
		*list = slices.Delete(*list, position, position+1)
	}
}
