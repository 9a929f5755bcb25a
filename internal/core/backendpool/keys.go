package backendpool

// Daemons identify back ends to each other by the hashes of their IDs. Releases without incarnations use the hash
// of the name, which is taken to mean the listed incarnation. That is safe because no guarantee depends on it: each
// request carries the back end and the weights that it requires.

// byPeerKey returns the back end with a hash that another daemon sent; nil if it isn't listed. The caller holds the
// mutex.
func (p *Pool) byPeerKey(key uint64) *entry {
	if found := p.byKey[key]; found != nil {
		return found
	}
	return p.byNameKey[key]
}
