package scheduler

import (
	"fmt"
	"slices"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/belief"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

const (
	testConcurrency = 4
	testQueueLimit  = 6
)

// world drives a scheduler and keeps a plain account of what it may do.
type world struct {
	policy   *Scheduler
	now      time.Time
	backends map[identity.BackendID]Backend
	next     int
	waiting  map[identity.RequestID]Request
	running  map[identity.RequestID]Start
	requests map[identity.RequestID]Request
	// held are the chains that each life of an engine may have cached.
	held map[life][]prefix.Chain
	// active counts each tenant's requests from admission to the end.
	active map[identity.TenantName]int
}

type life struct {
	id          identity.BackendID
	incarnation identity.Incarnation
}

var testEngines = []identity.BackendID{"e1", "e2", "e3", "e4"}

func newWorld(t *rapid.T) *world {
	w := &world{
		policy:   New(Options{Zone: "a", QueueLimit: testQueueLimit, Window: 5 * time.Millisecond}),
		now:      time.Unix(1000, 0),
		backends: map[identity.BackendID]Backend{},
		waiting:  map[identity.RequestID]Request{},
		running:  map[identity.RequestID]Start{},
		requests: map[identity.RequestID]Request{},
		held:     map[life][]prefix.Chain{},
		active:   map[identity.TenantName]int{},
	}
	w.policy.SetTenants(w.now, []TenantLimit{{Tenant: "limited", ConcurrentRequests: testConcurrency}})
	for _, id := range testEngines {
		w.backends[id] = testEngine(id, 1)
	}
	w.setBackends(t)
	return w
}

func testEngine(id identity.BackendID, incarnation identity.Incarnation) Backend {
	return Backend{
		ID: id, Kind: identity.KindEngine, Service: "llm", Zone: "a", Incarnation: incarnation,
		Models: []enginewire.LoadedModel{{Model: "m", Version: "1", Ready: true}},
	}
}

func (w *world) setBackends(t *rapid.T) {
	var list []Backend
	for _, id := range testEngines {
		if backend, found := w.backends[id]; found {
			list = append(list, backend)
		}
	}
	w.act(t, w.policy.SetBackends(w.now, list))
}

// change restarts, drains, returns, reloads or removes an engine.
func (w *world) change(t *rapid.T) {
	id := rapid.SampledFrom(testEngines).Draw(t, "engine")
	backend, found := w.backends[id]
	if !found {
		w.backends[id] = testEngine(id, w.newestLife(id)+1)
		w.setBackends(t)
		return
	}
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		backend.Incarnation = w.newestLife(id) + 1
	case 1:
		backend.Leaving = !backend.Leaving
	case 2:
		model := backend.Models[0]
		model.Version = rapid.SampledFrom([]identity.WeightsVersion{"1", "2"}).Draw(t, "version")
		backend.Models = []enginewire.LoadedModel{model}
	case 3:
		model := backend.Models[0]
		model.Ready = !model.Ready
		backend.Models = []enginewire.LoadedModel{model}
	case 4:
		w.held[life{id, backend.Incarnation}] = nil
		delete(w.backends, id)
		w.setBackends(t)
		return
	}
	w.backends[id] = backend
	w.setBackends(t)
}

func (w *world) newestLife(id identity.BackendID) identity.Incarnation {
	newest := w.backends[id].Incarnation
	for known := range w.held {
		if known.id == id {
			newest = max(newest, known.incarnation)
		}
	}
	return newest
}

func (w *world) arrive(t *rapid.T) {
	w.next++
	request := Request{
		ID:           identity.RequestID(fmt.Sprint("r", w.next)),
		Tenant:       rapid.SampledFrom([]identity.TenantName{"limited", "free"}).Draw(t, "tenant"),
		Kind:         identity.KindEngine,
		Model:        "m",
		Version:      rapid.SampledFrom([]identity.WeightsVersion{"1", "1", "1", "2"}).Draw(t, "version"),
		Class:        identity.PriorityClass(rapid.IntRange(0, 2).Draw(t, "class")),
		Chain:        testChain(rapid.IntRange(1, 3).Draw(t, "document"), rapid.IntRange(1, 40).Draw(t, "blocks")),
		OutputTokens: 10,
		Deadline:     w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline")) * time.Millisecond),
		Attempt:      1,
	}
	request.PromptTokens = len(request.Chain)*prefix.BlockTokens + 3
	w.submit(t, request)
}

func (w *world) submit(t *rapid.T, request Request) {
	w.waiting[request.ID] = request
	w.requests[request.ID] = request
	if request.Attempt == 1 {
		w.active[request.Tenant]++
	}
	w.act(t, w.policy.Arrive(w.now, request))
}

// testChain makes a chain of checkpoints only.
func testChain(document, blocks int) prefix.Chain {
	chain := make(prefix.Chain, blocks)
	for index := range chain {
		chain[index] = prefix.Hash((document*1000 + index + 1) * belief.BlocksPerCheckpoint)
	}
	return chain
}

// act checks each action against the account.
func (w *world) act(t *rapid.T, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Start:
			w.checkStart(t, action)
		case Refuse:
			request, found := w.waiting[action.RequestID]
			assert.Assert(t, found, "%s was refused and did not wait", action.RequestID)
			assert.Assert(t, action.RetryAfter > 0)
			delete(w.waiting, action.RequestID)
			w.active[request.Tenant]--
		}
	}
}

func (w *world) checkStart(t *rapid.T, start Start) {
	request, found := w.waiting[start.RequestID]
	assert.Assert(t, found, "%s started and did not wait", start.RequestID)
	delete(w.waiting, start.RequestID)
	w.running[start.RequestID] = start

	backend, known := w.backends[start.Backend.ID]
	assert.Assert(t, known && backend.Incarnation == start.Backend.Incarnation)
	assert.Assert(t, !backend.Leaving)
	assert.Assert(t, backend.Models[0].Ready && backend.Models[0].Version == request.Version)
	assert.Assert(t, !slices.Contains(request.Excluded, backend.ID))

	place := life{backend.ID, backend.Incarnation}
	most := w.mostHeld(place, request.Chain)
	if start.ImportFrom != "" {
		source, known := w.backends[start.ImportFrom]
		assert.Assert(t, known && !source.Leaving)
		most = max(most, w.mostHeld(life{source.ID, source.Incarnation}, request.Chain))
	}
	assert.Assert(t, start.ExpectedCachedTokens <= most*prefix.BlockTokens,
		"%d tokens expected on %v, which can have %d blocks", start.ExpectedCachedTokens, place, most)
	w.held[place] = append(w.held[place], request.Chain)
}

// mostHeld is how many leading blocks of a chain a life can have cached.
func (w *world) mostHeld(place life, chain prefix.Chain) int {
	most := 0
	for _, held := range w.held[place] {
		most = max(most, commonBlocks(held, chain))
	}
	return most
}

func commonBlocks(one, other prefix.Chain) int {
	count := 0
	for count < min(len(one), len(other)) && one[count] == other[count] {
		count++
	}
	return count
}

// pickRunning draws one of the running requests, or none.
func (w *world) pickRunning(t *rapid.T) (Start, bool) {
	if len(w.running) == 0 {
		return Start{}, false
	}
	ids := make([]identity.RequestID, 0, len(w.running))
	for id := range w.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return w.running[rapid.SampledFrom(ids).Draw(t, "running")], true
}

func (w *world) firstToken(t *rapid.T) {
	start, found := w.pickRunning(t)
	if !found {
		return
	}
	w.act(t, w.policy.FirstToken(w.now, FirstToken{
		RequestID: start.RequestID, Backend: start.Backend.ID, Incarnation: start.Backend.Incarnation,
		CachedTokens: rapid.SampledFrom([]int{-1, 0, start.ExpectedCachedTokens}).Draw(t, "cached"),
	}))
}

func (w *world) finish(t *rapid.T) {
	start, found := w.pickRunning(t)
	if !found {
		return
	}
	failed := rapid.Bool().Draw(t, "failed")
	request := w.requests[start.RequestID]
	retried := failed && request.Attempt < 3
	delete(w.running, start.RequestID)
	if !retried {
		w.active[request.Tenant]--
	}
	w.act(t, w.policy.Finish(w.now, Finish{
		RequestID: start.RequestID, Backend: start.Backend.ID, OutputTokens: 1,
		Failed: failed, Unreachable: failed && rapid.Bool().Draw(t, "unreachable"), Retrying: retried,
	}))
	if retried {
		if rapid.Bool().Draw(t, "arrival between") {
			w.arrive(t)
		}
		request.Attempt++
		request.Excluded = append(slices.Clone(request.Excluded), start.Backend.ID)
		w.submit(t, request)
	}
}

func (w *world) cancel(t *rapid.T) {
	if w.next == 0 {
		return
	}
	id := identity.RequestID(fmt.Sprint("r", rapid.IntRange(1, w.next).Draw(t, "request")))
	request, waits := w.waiting[id]
	actions := w.policy.Cancel(w.now, id)
	if waits {
		delete(w.waiting, id)
		w.active[request.Tenant]--
	}
	w.act(t, actions)
}

// event gives cache events of a life that may be over.
func (w *world) event(t *rapid.T) {
	id := rapid.SampledFrom(testEngines).Draw(t, "engine")
	incarnation := w.newestLife(id) - identity.Incarnation(rapid.IntRange(0, 1).Draw(t, "late"))
	chain := testChain(rapid.IntRange(1, 3).Draw(t, "document"), 40)
	blocks := make([]uint64, len(chain))
	for index, hash := range chain {
		blocks[index] = uint64(hash)
	}
	w.next++
	w.policy.ObserveCacheEvents(w.now, id, enginewire.CacheEventBatch{
		Sequence: uint64(w.next), Incarnation: incarnation,
		Events: []enginewire.CacheEvent{{Kind: enginewire.BlockStored, Blocks: blocks}},
	})
	place := life{id, incarnation}
	w.held[place] = append(w.held[place], chain)
}

func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "milliseconds")) * time.Millisecond)
	w.act(t, w.policy.Tick(w.now))
}
