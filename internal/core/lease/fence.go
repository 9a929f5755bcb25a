package lease

import "github.com/lotusward/lotusward/internal/core/identity"

// Fence is the state kept by a receiver of fenced effects: the highest token it has seen. The zero
// value admits every token.
type Fence struct {
	newest identity.FencingToken
}

// Admit checks an effect's token. It returns false if a newer grant's token was seen before; the
// effect must then be rejected.
func (f *Fence) Admit(token identity.FencingToken) bool {
	if token < f.newest {
		return false
	}
	f.newest = token
	return true
}

// Newest returns the highest token seen.
func (f *Fence) Newest() identity.FencingToken { return f.newest }
