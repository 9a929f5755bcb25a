package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Sizes of the benchmark: prompts of 32,768 tokens that share their first quarter
// with all others and the rest with those of the same document.
const (
	benchmarkBlocks    = 2048
	benchmarkRoot      = 512
	benchmarkDocuments = 400
)

// BenchmarkDecision times Arrive alone, and beside it the whole of a request:
// arrival, first token and end.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{10, 100, 1000, 2800} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) { benchmarkDecision(b, engines) })
	}
}

func benchmarkDecision(b *testing.B, engines int) {
	random := rand.New(rand.NewPCG(1, 2))
	documents := benchmarkChains(random)
	now := time.Unix(1000, 0)
	policy := New(Options{Zone: "a"})
	backends := make([]Backend, engines)
	for index := range backends {
		backends[index] = testEngine(identity.BackendID(fmt.Sprint("engine-", index)), 1)
	}
	policy.SetBackends(now, backends)
	deciding, decided := time.Duration(0), 0
	request := func(number int) {
		id := identity.RequestID(fmt.Sprint(number))
		chain := documents[random.IntN(random.IntN(benchmarkDocuments)+1)]
		arrived := Request{
			ID: id, Tenant: "t", Kind: identity.KindEngine, Model: "m", Version: "1", Class: identity.ClassStandard,
			Chain: chain, PromptTokens: benchmarkBlocks*prefix.BlockTokens + 7, OutputTokens: 100, Attempt: 1,
		}
		began := time.Now()
		actions := policy.Arrive(now, arrived)
		deciding += time.Since(began)
		decided++
		actions = append(actions, policy.Tick(now)...)
		for _, action := range actions {
			start := action.(Start)
			uncached := benchmarkBlocks*prefix.BlockTokens - start.ExpectedCachedTokens
			now = now.Add(20*time.Millisecond + time.Duration(uncached)*40*time.Microsecond)
			policy.FirstToken(now, FirstToken{RequestID: start.RequestID, Backend: start.Backend.ID, Incarnation: 1, CachedTokens: start.ExpectedCachedTokens})
			policy.Finish(now, Finish{RequestID: start.RequestID, Backend: start.Backend.ID, OutputTokens: 100})
		}
		now = now.Add(10 * time.Millisecond)
		reporter := backends[random.IntN(engines)].ID
		policy.ObserveLoad(now, reporter, 1, enginewire.Load{Running: 10, QueuedTokens: random.IntN(2_000), TotalBlocks: 60_000})
	}
	number := 0
	for ; number < 4*benchmarkDocuments; number++ {
		request(number)
	}
	deciding, decided = 0, 0
	b.ResetTimer()
	for b.Loop() {
		number++
		request(number)
	}
	b.ReportMetric(float64(deciding.Nanoseconds())/float64(decided), "ns/decision")
	b.ReportMetric(float64(policy.index.Entries()), "entries")
}

// benchmarkChains makes the chains of documents that share a root.
func benchmarkChains(random *rand.Rand) []prefix.Chain {
	root := make(prefix.Chain, benchmarkRoot)
	for index := range root {
		root[index] = prefix.Hash(random.Uint64())
	}
	documents := make([]prefix.Chain, benchmarkDocuments)
	for document := range documents {
		chain := append(prefix.Chain(nil), root...)
		for len(chain) < benchmarkBlocks {
			chain = append(chain, prefix.Hash(random.Uint64()))
		}
		documents[document] = chain
	}
	return documents
}
