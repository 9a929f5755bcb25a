// Package model is a model engine without I/O and without a clock: continuous
// batching, chunked prefill, a prefix cache of limited size with LRU eviction,
// priorities, cancel, resume, weights and KV transfer. Time comes in with every
// call and results come out as typed results, so that the HTTP stand-in and the
// simulated experiments run the same engine.
package model

import (
	"cmp"
	"time"
)

// Options are the sizes and costs of an engine. The zero value of a field takes
// its default.
type Options struct {
	// Blocks is how many KV blocks of prefix.BlockTokens tokens the engine holds.
	Blocks int
	// MaxRunning is how many requests share a batch.
	MaxRunning int
	// MaxWaiting is how many requests may wait; more are refused.
	MaxWaiting int
	// PrefillPerToken is the cost of computing one prompt token.
	PrefillPerToken time.Duration
	// StepBase is the cost of a step whatever is in it.
	StepBase time.Duration
	// DecodePerSequence is the cost that each decoding request adds to a step.
	DecodePerSequence time.Duration
	// StepCeiling is how long a step may become by prefill chunks.
	StepCeiling time.Duration
	// KVPerBlock is the cost of importing or exporting one block.
	KVPerBlock time.Duration
}

// The defaults of Options: a small engine that computes about 25,000 prompt
// tokens a second and keeps the time between tokens under 25 ms.
const (
	DefaultBlocks            = 8192
	DefaultMaxRunning        = 64
	DefaultMaxWaiting        = 256
	DefaultPrefillPerToken   = 30 * time.Microsecond
	DefaultStepBase          = 8 * time.Millisecond
	DefaultDecodePerSequence = 50 * time.Microsecond
	DefaultStepCeiling       = 25 * time.Millisecond
	DefaultKVPerBlock        = 40 * time.Microsecond
)

// minimumChunk is the least prefill tokens that a step may hold, so that a full
// batch of decoding requests cannot starve new prompts.
const minimumChunk = 64

// WithDefaults fills the fields that are zero.
func (o Options) WithDefaults() Options {
	o.Blocks = cmp.Or(o.Blocks, DefaultBlocks)
	o.MaxRunning = cmp.Or(o.MaxRunning, DefaultMaxRunning)
	o.MaxWaiting = cmp.Or(o.MaxWaiting, DefaultMaxWaiting)
	o.PrefillPerToken = cmp.Or(o.PrefillPerToken, DefaultPrefillPerToken)
	o.StepBase = cmp.Or(o.StepBase, DefaultStepBase)
	o.DecodePerSequence = cmp.Or(o.DecodePerSequence, DefaultDecodePerSequence)
	o.StepCeiling = cmp.Or(o.StepCeiling, DefaultStepCeiling)
	o.KVPerBlock = cmp.Or(o.KVPerBlock, DefaultKVPerBlock)
	return o
}
