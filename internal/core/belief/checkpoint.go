package belief

import "github.com/lotusward/lotusward/internal/core/prefix"

// BlocksPerCheckpoint is the mean distance of two checkpoints in a chain. The
// index only knows checkpoints: the blocks whose hash is a multiple of it. Since
// the hash alone decides, a cache event needs no knowledge of its block's place
// in a chain, and all daemons agree on the checkpoints without talking.
const BlocksPerCheckpoint = 16

// Checkpoint is a block of a chain that the index may know.
type Checkpoint struct {
	Hash prefix.Hash
	// Blocks is how many blocks the chain has up to and including this one.
	Blocks int32
}

// IsCheckpoint tells whether the index knows blocks with this hash.
func IsCheckpoint(hash prefix.Hash) bool {
	return hash%BlocksPerCheckpoint == 0
}

// AppendCheckpoints appends the checkpoints of a chain, first block first.
func AppendCheckpoints(checkpoints []Checkpoint, chain prefix.Chain) []Checkpoint {
	for index, hash := range chain {
		if IsCheckpoint(hash) {
			checkpoints = append(checkpoints, Checkpoint{Hash: hash, Blocks: int32(index + 1)})
		}
	}
	return checkpoints
}
