package backendpool

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// State is the pool's view of one back end, for operators.
type State struct {
	Backend Backend
	// Versions are the versions of the weights that it is known to hold.
	Versions map[identity.ModelName]uint64
	// Leaving is set if it is draining or is being taken out of service deliberately.
	Leaving bool
	// Backoff is the remaining time for which it asked this daemon for no requests.
	Backoff time.Duration
	// Refusing is set while it is used only as a last resort because it refuses requests.
	Refusing bool
	// Ejected is set while it gets no requests because of failures.
	Ejected bool
	// OwnInFlight is the number of this daemon's requests in flight there, InFlight that of all daemons, and
	// Reading the outstanding prefill work, in tokens.
	OwnInFlight int
	InFlight    float64
	Reading     float64
}

// States returns the state of all back ends, ordered by ID.
func (p *Pool) States(now time.Time) []State {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	states := make([]State, 0, len(p.byID))
	for _, id := range slices.Sorted(maps.Keys(p.byID)) {
		found := p.byID[id]
		state := State{
			Refusing: found.refusals.refusing(), Backend: found.described(), Versions: map[identity.ModelName]uint64{},
			Leaving: found.isDraining() || found.leaving == leavesNow, Ejected: found.ejected(now),
			OwnInFlight: found.inFlight, InFlight: float64(found.inFlight) + found.others.InFlight,
			Reading: found.reading + found.others.Reading,
		}
		if found.backsOff(now) {
			state.Backoff = found.notices.backoff.until.Sub(now)
		}
		for model := range found.backend.Weights {
			state.Versions[model] = found.version(model)
		}
		states = append(states, state)
	}
	return states
}
