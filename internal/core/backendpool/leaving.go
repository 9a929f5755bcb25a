package backendpool

// shortOutput is the length in tokens of an answer that ends within about the time
// that a back end takes to be asked for its state, to be ordered and to begin: at some
// four milliseconds a token.
const shortOutput = 100

// Leaving says which back ends are taken out of use on purpose, by the hashes of their
// IDs. Either is used while no other will do.
type Leaving struct {
	// Now get no new requests.
	Now []uint64
	// Soon are next: they get short requests only, so that nothing long is under way
	// when their turn comes, while they still do their part of the reading.
	Soon []uint64
}

// leavingState is whether a back end is taken out of use.
type leavingState int

const (
	stays leavingState = iota
	leavesSoon
	leavesNow
)

// SetLeaving replaces which back ends are taken out of use.
func (p *Pool) SetLeaving(leaving Leaving) {
	states := make(map[uint64]leavingState, len(leaving.Now)+len(leaving.Soon))
	for _, key := range leaving.Soon {
		states[key] = leavesSoon
	}
	for _, key := range leaving.Now {
		states[key] = leavesNow
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.leaving
	p.leaving = states
	for _, keys := range []map[uint64]leavingState{before, states} {
		for key := range keys {
			if found := p.byToldKey(key); found != nil {
				found.leaving = p.leavingOf(found)
			}
		}
	}
}

// leavingOf looks up whether a back end is taken out of use, which its entry keeps: choices look at it for each of
// their candidates. The caller holds the mutex.
func (p *Pool) leavingOf(found *entry) leavingState {
	return max(p.leaving[found.key], p.leaving[found.nameKey])
}

// long tells whether the answer is expected to last. An answer of unknown length is not.
func (q *Query) long() bool { return q.OutputTokens > shortOutput }
