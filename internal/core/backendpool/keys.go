package backendpool

// Daemons name back ends to each other by the hashes of their IDs. Builds that know back ends by their names alone
// use the hash of the name: what they tell is taken to be of the listed life. That is safe, since nothing rests on it:
// a sending demands the back end and its weights by itself.

// byToldKey is the back end that another daemon named by a hash; nil where it isn't listed. The caller holds the mutex.
func (p *Pool) byToldKey(key uint64) *entry {
	if found := p.byKey[key]; found != nil {
		return found
	}
	return p.byNameKey[key]
}
