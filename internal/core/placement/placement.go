// Package placement picks a back end for one request, in the manner of the llm-d
// scheduler: filters drop candidates, a scorer gives each of those left its cost
// in one unit, and a picker takes one. The plugins are in packages of their own.
package placement

import "github.com/lotusward/lotusward/internal/core/identity"

// Query is what placement needs to know of a request.
type Query struct {
	Class        identity.PriorityClass
	PromptTokens int
	Excluded     []identity.BackendID
	// Root is the key by which daemons agree on engines for a prefix without talking.
	Root uint64
}

// Candidate is a back end with what is believed about it for one request.
type Candidate struct {
	ID identity.BackendID
	// Key is the hash of the ID.
	Key uint64
	// Index is the caller's own number for the back end.
	Index int
	// CachedTokens is how much of the prompt is or will be cached there.
	CachedTokens int
	// Computing is set when some of them are still to be computed.
	Computing bool
	// AheadTokens are the prompt tokens to be computed before the request's own.
	AheadTokens float64
	// SecondsPerToken is the back end's pace for prompt tokens.
	SecondsPerToken float64
	// DelaySeconds is what the request waits beside prompt tokens: the network,
	// the engine's step, and the time for which a failing back end is avoided.
	DelaySeconds float64
	// ReuseProbability is the chance that a block which the back end evicts would
	// have been asked for again.
	ReuseProbability float64
	// TurnoverSeconds is how long the back end keeps an unused block; zero while
	// it has room.
	TurnoverSeconds float64
	// ImportTokens are cached tokens that could be imported from ImportFrom.
	ImportTokens int
	ImportFrom   identity.BackendID
	// ImportSeconds is how long the import should take.
	ImportSeconds float64
	// Cost is the scorer's result, in seconds; the least is best.
	Cost float64
	// Wait is the expected time to the first token, in seconds.
	Wait float64
}

// Filter drops candidates that must not or should not get the request.
type Filter interface {
	Keep(query *Query, candidate *Candidate) bool
}

// Scorer sets Cost and Wait of a candidate.
type Scorer interface {
	Score(query *Query, candidate *Candidate)
}

// Picker takes one of at least one candidates and returns its position.
type Picker interface {
	Pick(query *Query, candidates []Candidate) int
}

// Pipeline is a configured set of plugins.
type Pipeline struct {
	Filters []Filter
	Scorer  Scorer
	Picker  Picker
}

// Place picks one of the candidates. It returns false when the filters leave
// none. The slice is used as scratch space.
func (p *Pipeline) Place(query *Query, candidates []Candidate) (Candidate, bool) {
	kept := candidates[:0]
	for index := range candidates {
		if p.keep(query, &candidates[index]) {
			kept = append(kept, candidates[index])
		}
	}
	if len(kept) == 0 {
		return Candidate{}, false
	}
	for index := range kept {
		p.Scorer.Score(query, &kept[index])
	}
	return kept[p.Picker.Pick(query, kept)], true
}

func (p *Pipeline) keep(query *Query, candidate *Candidate) bool {
	for _, filter := range p.Filters {
		if !filter.Keep(query, candidate) {
			return false
		}
	}
	return true
}
