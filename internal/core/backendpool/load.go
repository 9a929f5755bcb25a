package backendpool

import (
	"cmp"
	"slices"
)

// Load is one daemon's load on a back end.
type Load struct {
	// Key is the hash of the back end's ID.
	Key      uint64
	InFlight float64
	// Reading is the outstanding prefill work of requests without a first byte, in tokens.
	Reading float64
	// Tokens is the total prompt length of the requests in flight.
	Tokens float64
}

// Add returns the sum of two loads on one back end.
func (l Load) Add(other Load) Load {
	return Load{
		Key: other.Key, InFlight: l.InFlight + other.InFlight,
		Reading: l.Reading + other.Reading, Tokens: l.Tokens + other.Tokens,
	}
}

// IsEmpty reports whether there is no load.
func (l Load) IsEmpty() bool { return l.InFlight == 0 && l.Reading == 0 && l.Tokens == 0 }

// Loads returns this daemon's loads on at most the given number of back ends, ordered by key.
func (p *Pool) Loads(most int) []Load {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var loads []Load
	p.visits += uint64(len(p.watched))
	for found := range p.watched {
		if found.inFlight == 0 {
			continue
		}
		loads = append(loads, found.load())
	}
	slices.SortFunc(loads, func(left, right Load) int { return cmp.Compare(left.Key, right.Key) })
	return loads[:min(len(loads), most)]
}

// SetOthersLoad replaces the load of all other daemons, by key. It is complete if all of them have reported.
func (p *Pool) SetOthersLoad(loads map[uint64]Load, complete bool) {
	defer p.onCapacityFreed()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.othersComplete = complete
	for found := range p.peerLoaded {
		found.others = Load{}
	}
	clear(p.peerLoaded)
	for key, load := range loads {
		if found := p.byPeerKey(key); found != nil {
			load.Key = found.key
			found.others = load.Add(found.others)
			p.peerLoaded[found] = true
		}
	}
}

// UpdateOthersLoad replaces the load of all other daemons on some back ends.
func (p *Pool) UpdateOthersLoad(loads []Load) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, load := range loads {
		if found := p.byPeerKey(load.Key); found != nil {
			found.others = load
			p.peerLoaded[found] = true
		}
	}
}

// Changed returns a channel that is signaled when this daemon's load has changed or there are new findings.
func (p *Pool) Changed() <-chan struct{} { return p.changed }

// ChangedLoads returns this daemon's load on each back end where it has changed since the last call.
func (p *Pool) ChangedLoads() []Load {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	loads := make([]Load, 0, len(p.loadChanged))
	for found := range p.loadChanged {
		loads = append(loads, found.load())
	}
	clear(p.loadChanged)
	return loads
}

// markLoadChanged records that the load on a back end has changed. The caller holds the mutex.
func (p *Pool) markLoadChanged(found *entry) {
	p.loadChanged[found] = true
	p.signalChange()
}

func (p *Pool) signalChange() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// load returns this daemon's load on the back end.
func (e *entry) load() Load {
	return Load{Key: e.key, InFlight: float64(e.inFlight), Reading: e.reading, Tokens: float64(e.tokens)}
}
