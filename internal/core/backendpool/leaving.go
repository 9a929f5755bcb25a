package backendpool

// maxShortOutput is the output length in tokens that is generated in about the time that a back end takes to be
// polled for its state, to be ordered to load weights and to start: at some four milliseconds a token.
const maxShortOutput = 100

// Leaving lists the back ends that are being taken out of service deliberately, by the hashes of their IDs. Both
// kinds are used only as a last resort.
type Leaving struct {
	// Now lists those that get no new requests.
	Now []uint64
	// Soon lists those that are next. They get only requests with short output, so that nothing long is in flight
	// when their turn comes, and still do their share of the prefill work.
	Soon []uint64
}

// leavingState is whether a back end is being taken out of service.
type leavingState int

const (
	stays leavingState = iota
	leavesSoon
	leavesNow
)

// SetLeaving replaces the set of back ends that are being taken out of service.
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
			if found := p.byPeerKey(key); found != nil {
				found.leaving = p.leavingOf(found)
			}
		}
	}
}

// leavingOf looks up a back end's leaving state. Entries cache it, since it is checked for each candidate of each
// choice. The caller holds the mutex.
func (p *Pool) leavingOf(found *entry) leavingState {
	return max(p.leaving[found.key], p.leaving[found.nameKey])
}

// expectsLongOutput reports whether the output is expected to be long. Output of unknown length is not.
func (q *Query) expectsLongOutput() bool { return q.OutputTokens > maxShortOutput }
