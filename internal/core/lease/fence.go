package lease

import "github.com/lotusward/lotusward/internal/core/identity"

// Fence is what a receiver of fenced effects keeps: the newest token it has
// seen. The zero value admits every token.
type Fence struct {
	newest identity.FencingToken
}

// Admit takes an effect's token. It returns false for an effect of an earlier
// grant than the newest seen, which must then be refused.
func (f *Fence) Admit(token identity.FencingToken) bool {
	if token < f.newest {
		return false
	}
	f.newest = token
	return true
}

// Newest returns the newest token seen.
func (f *Fence) Newest() identity.FencingToken { return f.newest }
