package model

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
)

// Key names one attempt of a request on an engine.
type Key struct {
	RequestID identity.RequestID
	Attempt   int
}

// Request is one attempt as the engine sees it.
type Request struct {
	Key   Key
	Model identity.ModelName
	// Version is the weights version that the request must run on.
	Version identity.WeightsVersion
	// Chain is the block hashes of what the engine holds at the end: the prompt,
	// and behind it as much of the answer as shall be cached too.
	Chain prefix.Chain
	// ContextTokens is what is computed before the first new token: the prompt
	// and, of a resumed request, the answer so far.
	ContextTokens int
	// FirstOffset is the offset of the first token to generate; more than zero
	// in a resumed request.
	FirstOffset int
	// OutputTokens is how many tokens the whole answer has.
	OutputTokens int
	// Priority orders requests; a lower number goes first.
	Priority int
}

// newTokens is how many tokens the engine generates for the request.
func (r Request) newTokens() int { return r.OutputTokens - r.FirstOffset }

// blocks is how many KV blocks the request needs at its end.
func (r Request) blocks() int {
	tokens := r.ContextTokens + r.newTokens()
	return (tokens + prefix.BlockTokens - 1) / prefix.BlockTokens
}

// Result is what an engine reports.
type Result interface{ isResult() }

// Started says that a request began to run.
type Started struct {
	At           time.Time
	Key          Key
	CachedTokens int
}

// Token is one generated token.
type Token struct {
	At     time.Time
	Key    Key
	Offset int
}

// Finished says that a request has given all its tokens.
type Finished struct {
	At  time.Time
	Key Key
}

// Refused says that a waiting request will not run, and did not.
type Refused struct {
	At  time.Time
	Key Key
	// Code is one of the refusal codes of package enginewire.
	Code string
}

// Imported says that imported KV blocks are in the cache.
type Imported struct {
	At     time.Time
	Blocks int
}

func (Started) isResult()  {}
func (Token) isResult()    {}
func (Finished) isResult() {}
func (Refused) isResult()  {}
func (Imported) isResult() {}
