package capacity

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/core/belief"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/lab/capacity/projection"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Sizes of the prompts: 32,768 tokens, of which the first quarter is shared by
// all documents.
const (
	promptBlocks    = 2048
	rootBlocks      = 512
	documentCount   = 400
	noticeBlocks    = 512
	eventBatch      = 64
	engineOutput    = 100
	engineRequestID = "0193a5f0-7c1e-7b1a-9f54-%012d"
)

func randomChain(random *rand.Rand, root prefix.Chain, blocks int) prefix.Chain {
	chain := append(prefix.Chain(nil), root...)
	for len(chain) < blocks {
		chain = append(chain, prefix.Hash(random.Uint64()))
	}
	return chain
}

// traffic sends requests to a scheduler, one after the other.
type traffic struct {
	policy    *scheduler.Scheduler
	random    *rand.Rand
	documents []prefix.Chain
	now       time.Time
	number    int
}

func (m *measurement) newTraffic(engines int) *traffic {
	known := newFleet(m.sizes, engines).knowledge()
	made := &traffic{policy: known.scheduler, random: rand.New(rand.NewPCG(1, 2)), now: start}
	root := randomChain(made.random, nil, rootBlocks)
	for range documentCount {
		made.documents = append(made.documents, randomChain(made.random, root, promptBlocks))
	}
	for range 2 * documentCount {
		made.request()
	}
	return made
}

// request drives one request from its arrival to its end.
func (t *traffic) request() {
	t.number++
	t.now = t.now.Add(10 * time.Millisecond)
	actions := t.policy.Arrive(t.now, scheduler.Request{
		ID: identity.RequestID(fmt.Sprintf(engineRequestID, t.number)), Tenant: tenantName(1), Service: serviceName,
		Kind: identity.KindEngine, Model: modelName(0), Version: "2026-11-30", Class: identity.ClassStandard,
		Chain:        t.documents[t.random.IntN(t.random.IntN(documentCount)+1)],
		PromptTokens: promptBlocks*prefix.BlockTokens + 7, OutputTokens: engineOutput, Attempt: 1,
		Deadline: t.now.Add(time.Minute),
	})
	actions = append(actions, t.policy.Tick(t.now)...)
	for _, action := range actions {
		if started, is := action.(scheduler.Start); is {
			t.answer(started)
		}
	}
}

func (t *traffic) answer(started scheduler.Start) {
	uncached := promptBlocks*prefix.BlockTokens - started.ExpectedCachedTokens
	t.now = t.now.Add(20*time.Millisecond + time.Duration(uncached)*40*time.Microsecond)
	t.policy.FirstToken(t.now, scheduler.FirstToken{
		RequestID: started.RequestID, Backend: started.Backend.ID, Incarnation: started.Backend.Incarnation,
		CachedTokens: started.ExpectedCachedTokens, Load: &enginewire.Load{Running: 10, TotalBlocks: totalBlocks},
	})
	t.policy.Finish(t.now, scheduler.Finish{RequestID: started.RequestID, Backend: started.Backend.ID, OutputTokens: engineOutput})
}

// measurePlacement measures decisions, the belief, events and notices.
func (m *measurement) measurePlacement() {
	slopes := &m.slopes.Placement
	sizes := []int{m.sizes.Runners / 280, m.sizes.Runners / 28, m.sizes.Runners * 5 / 14, m.sizes.Runners}
	slopes.RequestSeconds = m.watch.over(runnersWord, sizes, func(size int) func() { return m.newTraffic(size).request })
	slopes.TickSeconds = m.watch.over(runnersWord, sizes, func(size int) func() {
		sent := m.newTraffic(size)
		return func() { sent.policy.Tick(sent.now) }
	})
	slopes.EntryBytes = projection.Constant(bytesUnit, entryBytes())
	m.measureEvents()
	m.measureNotices()
}

// entryBytes fills an index to its bound and returns the heap for each entry.
func entryBytes() float64 {
	entries := 0
	heap := heapOf(func() *belief.Index {
		random, index := rand.New(rand.NewPCG(1, 2)), belief.New(belief.Options{})
		for number := 0; index.Entries() < belief.DefaultMaxEntries; number++ {
			slot := index.SetEngine(identity.BackendID(fmt.Sprintf("runner-%04d", number%100)), 1)
			index.Place(belief.AppendCheckpoints(nil, randomChain(random, nil, promptBlocks)), slot)
		}
		entries = index.Entries()
		return index
	})
	return heap / float64(entries)
}

// measureEvents decodes and applies batches in which each stored block is removed
// again after a while.
func (m *measurement) measureEvents() {
	const batches = 256
	random := rand.New(rand.NewPCG(3, 4))
	var bodies [][]byte
	total, blocks := 0, 0
	for sequence := range batches {
		chain := randomChain(random, nil, eventBatch)
		stored := make([]uint64, len(chain))
		for position, hash := range chain {
			stored[position] = uint64(hash)
		}
		kind := enginewire.BlockStored
		if sequence%2 == 1 {
			kind = enginewire.BlockRemoved
		}
		body, err := msgpack.Marshal(enginewire.CacheEventBatch{
			Sequence: uint64(sequence + 1), Incarnation: firstIncarnation, Events: []enginewire.CacheEvent{{Kind: kind, Blocks: stored, Parent: 1}},
		})
		m.note(err)
		bodies = append(bodies, body)
		total += len(body)
		blocks += len(stored)
	}
	index := belief.New(belief.Options{})
	sequence := uint64(0)
	perBatch := m.watch.each(func() {
		var batch enginewire.CacheEventBatch
		m.note(msgpack.NewDecoder(bytes.NewReader(bodies[sequence%batches])).Decode(&batch))
		sequence++
		batch.Sequence = sequence
		index.ApplyEvents(index.SetEngine("runner-0001", firstIncarnation), batch)
	})
	m.slopes.Placement.EventSeconds = projection.Constant(seconds, perBatch/eventBatch)
	m.slopes.Placement.EventBytes = projection.Constant(bytesUnit, float64(total)/float64(blocks))
}

func (m *measurement) measureNotices() {
	known := newFleet(m.sizes, m.sizes.Runners).knowledge()
	random := rand.New(rand.NewPCG(5, 6))
	notice := scheduler.Notice{Backend: "runner-0001", Incarnation: firstIncarnation, Tokens: noticeBlocks * prefix.BlockTokens}
	for _, checkpoint := range belief.AppendCheckpoints(nil, randomChain(random, nil, noticeBlocks)) {
		notice.Checkpoints = append(notice.Checkpoints, uint64(checkpoint.Hash))
	}
	body, err := msgpack.Marshal(notice)
	m.note(err)
	m.slopes.Placement.NoticeBytes = projection.Constant(bytesUnit, float64(len(body)))
	m.slopes.Placement.NoticeSeconds = m.watch.one(func() {
		var received scheduler.Notice
		m.note(msgpack.Unmarshal(body, &received))
		known.scheduler.ObserveNotices(start, []scheduler.Notice{received})
	})
}
