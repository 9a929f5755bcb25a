// Package prefix turns a prompt into a chain of block hashes. Two prompts share
// exactly the leading blocks whose hashes are equal. The chain starts from a
// salt of tenant, model and weights version, so that no hash is shared between
// tenants, models or versions.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// The token estimate of the router, which has no tokenizer: a token is
// BytesPerToken bytes of the rendered prompt, and a block is BlockTokens tokens.
const (
	BytesPerToken = 4
	BlockTokens   = 16
	BlockBytes    = BytesPerToken * BlockTokens
)

// Hash names a block together with all blocks before it.
type Hash uint64

// Chain is the hashes of a prompt's full blocks, first block first.
type Chain []Hash

// Salt separates caches that must never be shared.
type Salt uint64

// SaltOf makes the salt of a tenant, model and weights version.
func SaltOf(tenant identity.TenantName, model identity.ModelName, version identity.WeightsVersion) Salt {
	digest := xxhash.New()
	for _, part := range []string{string(tenant), string(model), string(version)} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(part)
	}
	return Salt(digest.Sum64())
}

// ChainOf hashes the full blocks of a rendered prompt. A last block that is not
// full is left out.
func ChainOf(salt Salt, prompt []byte) Chain {
	blocks := len(prompt) / BlockBytes
	chain := make(Chain, blocks)
	var buffer [8 + BlockBytes]byte
	parent := uint64(salt)
	for index := range blocks {
		binary.LittleEndian.PutUint64(buffer[:8], parent)
		copy(buffer[8:], prompt[index*BlockBytes:(index+1)*BlockBytes])
		parent = xxhash.Sum64(buffer[:])
		chain[index] = Hash(parent)
	}
	return chain
}

// Tokens estimates how many tokens a rendered prompt of this many bytes has.
func Tokens(promptBytes int) int {
	return (promptBytes + BytesPerToken - 1) / BytesPerToken
}
