package scheduler

import (
	"github.com/lotusward/lotusward/internal/core/belief"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/placement"
	"github.com/lotusward/lotusward/internal/core/placement/estimate"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Constants of the choice of candidates.
const (
	// leastLoadedCandidates is how many of the least loaded back ends are looked at.
	leastLoadedCandidates = 8
	// crossZoneSeconds is what the network to another zone adds to a first token.
	crossZoneSeconds = 0.003
	// decodeSeconds is taken for what one decoding request adds to a step.
	decodeSeconds = 50e-6
	// pageSeconds is taken for the time of a web-app request, to compare queues.
	pageSeconds = 0.002
)

// choose picks a back end for a job. It returns false when there is none.
func (s *Scheduler) choose(now float64, wanted *job) (placement.Candidate, bool) {
	query := placement.Query{
		Class:        wanted.request.Class,
		PromptTokens: wanted.request.PromptTokens,
		Excluded:     wanted.request.Excluded,
		Root:         s.rootOf(wanted),
	}
	s.collect(now, wanted, &query)
	return s.pipeline.Place(&query, s.candidates)
}

// rootOf is the key on which daemons agree for a prompt.
func (s *Scheduler) rootOf(wanted *job) uint64 {
	chain := wanted.request.Chain
	if len(chain) == 0 {
		return rendezvous.Key(string(wanted.request.ID))
	}
	return uint64(chain[rootBlocks(len(chain), s.options.RootBlocks)-1])
}

// rootBlocks is the length of the prefix root of a chain: a power of two, so that
// prompts of about the same length agree, which leaves out the end of the chain,
// where prompts mostly differ.
func rootBlocks(blocks, most int) int {
	root := 1
	for root*2 <= blocks-blocks/8 && root*2 <= most {
		root *= 2
	}
	return root
}

// collect gathers the candidates: those that cache a part of the prompt, the
// least loaded ones, and those that rank first for the prefix root.
func (s *Scheduler) collect(now float64, wanted *job, query *placement.Query) {
	s.candidates = s.candidates[:0]
	clear(s.considered)
	s.matches = s.index.AppendMatches(s.matches[:0], wanted.checkpoints)
	for _, match := range s.matches {
		s.consider(now, wanted, s.bySlot[match.Slot], match)
	}
	count := leastLoadedCandidates + len(wanted.request.Excluded)
	wanted.group.byLoad.Ascend(func(state *backendState) bool {
		s.considerUnmatched(now, wanted, state)
		count--
		return count > 0
	})
	for _, state := range wanted.group.ring.top(query.Root) {
		if state != nil {
			s.considerUnmatched(now, wanted, state)
		}
	}
	if !s.options.NoImport && wanted.isEngineWork() {
		s.offerImports(wanted.group.imports)
	}
}

func (s *Scheduler) considerUnmatched(now float64, wanted *job, state *backendState) {
	if !s.considered[state] {
		s.consider(now, wanted, state, s.index.Depth(wanted.checkpoints, state.slot))
	}
}

// consider appends a back end to the candidates when it takes the work.
func (s *Scheduler) consider(now float64, wanted *job, state *backendState, match belief.Match) {
	if state == nil || !state.takes(wanted.group) {
		return
	}
	s.considered[state] = true
	candidate := placement.Candidate{
		ID:           state.backend.ID,
		Key:          state.key,
		Computing:    match.Pending,
		Index:        int(state.slot),
		CachedTokens: min(match.Blocks*prefix.BlockTokens, wanted.request.PromptTokens),
		DelaySeconds: s.delay(now, state, wanted.request.Class),
	}
	if wanted.isEngineWork() {
		candidate.SecondsPerToken = state.pace.SecondsPerToken()
		candidate.AheadTokens = s.ahead(now, wanted, state)
		candidate.TurnoverSeconds, _ = s.index.Turnover(state.slot)
		candidate.ReuseProbability = s.index.Reuse(state.slot)
	} else {
		candidate.SecondsPerToken = 0
		candidate.DelaySeconds += float64(state.running) * pageSeconds
	}
	s.candidates = append(s.candidates, candidate)
}

// delay is what a request to a back end waits beside prompt tokens.
func (s *Scheduler) delay(now float64, state *backendState, class identity.PriorityClass) float64 {
	delay := max(0, state.avoidUntil-now)
	if state.backend.Zone != s.options.Zone {
		delay += crossZoneSeconds
	}
	if state.backend.Kind == identity.KindEngine {
		delay += state.pace.StepSeconds() + s.batchSeconds(state, class)
	}
	return delay
}

// batchSeconds is what the requests in an engine's batch cost a first token.
func (s *Scheduler) batchSeconds(state *backendState, class identity.PriorityClass) float64 {
	decoding := float64(state.batch.occupancy()) * decodeSeconds
	if class == identity.ClassInteractive {
		return decoding + state.batch.wait(0, 0)
	}
	return decoding + state.batch.wait(state.parked.Len(), slotReserve)
}

// ahead is how many prompt tokens an engine will compute before a job's own.
func (s *Scheduler) ahead(now float64, wanted *job, state *backendState) float64 {
	if wanted.request.Class == identity.ClassInteractive {
		return 0 // the engine takes it before all others
	}
	tokens := state.queue.at(now, state.pace)
	for _, parked := range state.parked.Items() {
		if parked.order.Compare(wanted.order) >= 0 {
			break
		}
		if parked != wanted {
			tokens += parked.uncached
		}
	}
	return tokens
}

// offerImports tells each candidate which other one caches most of the prompt.
func (s *Scheduler) offerImports(imports *estimate.Pace) {
	best := -1
	for index := range s.candidates {
		if s.candidates[index].Computing {
			continue
		}
		if best < 0 || s.candidates[index].CachedTokens > s.candidates[best].CachedTokens {
			best = index
		}
	}
	if best < 0 {
		return
	}
	for index := range s.candidates {
		if missing := s.candidates[best].CachedTokens - s.candidates[index].CachedTokens; missing > 0 {
			s.candidates[index].ImportTokens = missing
			s.candidates[index].ImportFrom = s.candidates[best].ID
			s.candidates[index].ImportSeconds = imports.StepSeconds() + float64(missing)*imports.SecondsPerToken()
		}
	}
}
