package backendpool

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// State is what is believed of one back end, for operators.
type State struct {
	Backend Backend
	// Versions are of the weights that it is known to hold.
	Versions map[identity.ModelName]uint64
	// Leaving is set when it says so, and while it is taken out of use on purpose.
	Leaving bool
	// Backoff is for how long it still wants no requests from this daemon.
	Backoff time.Duration
	// Refusing is set while it gets requests only where no other will do, since it refuses them.
	Refusing bool
	// Ejected is set while it gets no requests because of failed ones.
	Ejected bool
	// OwnInFlight is how many requests of this daemon are under way there, InFlight of all
	// daemons, and Reading how much of their prompts waits to be read, in tokens.
	OwnInFlight int
	InFlight    float64
	Reading     float64
}

// States returns what is believed of all back ends, ordered by ID.
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
			state.Backoff = found.said.backoff.until.Sub(now)
		}
		for model := range found.backend.Weights {
			state.Versions[model] = found.version(model)
		}
		states = append(states, state)
	}
	return states
}
