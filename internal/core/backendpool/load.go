package backendpool

import (
	"cmp"
	"slices"
)

// Load is what one daemon has under way at a back end.
type Load struct {
	// Key is the hash of the back end's ID.
	Key      uint64
	InFlight float64
	// Reading is the work of the requests whose answer has not begun, in tokens.
	Reading float64
	// Tokens is how long the prompts of all these requests are together.
	Tokens float64
}

// Add adds two loads of one back end.
func (l Load) Add(other Load) Load {
	return Load{
		Key: other.Key, InFlight: l.InFlight + other.InFlight,
		Reading: l.Reading + other.Reading, Tokens: l.Tokens + other.Tokens,
	}
}

// IsEmpty tells whether nothing is under way.
func (l Load) IsEmpty() bool { return l.InFlight == 0 && l.Reading == 0 && l.Tokens == 0 }

// Loads returns what this daemon has under way, for at most a number of back ends,
// ordered by key.
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

// SetOthersLoad replaces what all other daemons have under way, by key. It is whole where
// all of them tell.
func (p *Pool) SetOthersLoad(loads map[uint64]Load, whole bool) {
	defer p.freed()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.othersWhole = whole
	for found := range p.loaded {
		found.others = Load{}
	}
	clear(p.loaded)
	for key, load := range loads {
		if found := p.byToldKey(key); found != nil {
			load.Key = found.key
			found.others = load.Add(found.others)
			p.loaded[found] = true
		}
	}
}

// UpdateOthersLoad replaces what all other daemons have under way at some back ends.
func (p *Pool) UpdateOthersLoad(loads []Load) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, load := range loads {
		if found := p.byToldKey(load.Key); found != nil {
			found.others = load
			p.loaded[found] = true
		}
	}
}

// Changed gets a value when what this daemon has under way has changed, or it has found something out.
func (p *Pool) Changed() <-chan struct{} { return p.changed }

// ChangedLoads returns what this daemon has under way at the back ends where that has
// changed since the last call.
func (p *Pool) ChangedLoads() []Load {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	loads := make([]Load, 0, len(p.touched))
	for found := range p.touched {
		loads = append(loads, found.load())
	}
	clear(p.touched)
	return loads
}

// touch notes that what is under way at a back end has changed. The caller holds the mutex.
func (p *Pool) touch(found *entry) {
	p.touched[found] = true
	p.signalChange()
}

func (p *Pool) signalChange() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// load is what this daemon has under way at the back end.
func (e *entry) load() Load {
	return Load{Key: e.key, InFlight: float64(e.inFlight), Reading: e.reading, Tokens: float64(e.tokens)}
}
