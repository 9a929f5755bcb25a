package openai

import (
	"encoding/binary"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusward/lotusward/internal/relay"
)

const (
	// bytesPerToken is the estimate of a front end without a tokenizer.
	bytesPerToken = 4
	// blockBytes is how finely prompts are compared.
	blockBytes = 512
	// rememberedBlocks bounds the blocks that are remembered, of the last requests; half
	// of them at least.
	rememberedBlocks = 1 << 15
)

// splitter cuts prompts into the part that other requests share and the request's own.
// Callers of this interface declare no parts, so that it remembers the hashes of blocks of
// the last prompts: what a prompt begins with as an earlier one did is shared. It is safe
// for use by several goroutines.
type splitter struct {
	mutex         sync.Mutex
	newer, before map[uint64]bool
}

func newSplitter() *splitter { return &splitter{newer: map[uint64]bool{}} }

// split returns the parts of a prompt for a model, the request's own last.
func (s *splitter) split(model string, prompt []byte) []relay.Part {
	chain := chainOf(model, prompt)
	shared := s.shared(chain)
	own := relay.Part{ID: strconv.FormatUint(xxhash.Sum64(prompt), 16), Tokens: tokens(len(prompt) - shared*blockBytes)}
	if shared == 0 {
		return []relay.Part{own}
	}
	return []relay.Part{{ID: strconv.FormatUint(chain[shared-1], 16), Tokens: tokens(shared * blockBytes)}, own}
}

// shared counts the leading blocks that an earlier prompt began with, and remembers all.
func (s *splitter) shared(chain []uint64) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, hash := range chain {
		if !s.newer[hash] && !s.before[hash] {
			break
		}
		count++
	}
	for _, hash := range chain {
		s.newer[hash] = true
	}
	if len(s.newer) > rememberedBlocks/2 {
		s.newer, s.before = map[uint64]bool{}, s.newer
	}
	return count
}

// chainOf hashes the whole blocks of a prompt, each with all before it.
func chainOf(model string, prompt []byte) []uint64 {
	chain := make([]uint64, len(prompt)/blockBytes)
	parent := xxhash.Sum64String(model)
	var buffer [8 + blockBytes]byte
	for index := range chain {
		binary.LittleEndian.PutUint64(buffer[:8], parent)
		copy(buffer[8:], prompt[index*blockBytes:(index+1)*blockBytes])
		parent = xxhash.Sum64(buffer[:])
		chain[index] = parent
	}
	return chain
}

// tokens estimates how many tokens a text has.
func tokens(textBytes int) int { return (textBytes + bytesPerToken - 1) / bytesPerToken }
