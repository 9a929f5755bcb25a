package backendpool

import "time"

// Times of what other daemons tell of back ends.
const (
	// accusationTime is within which two daemons must tell that a back end cannot be
	// reached: one alone may be cut off itself.
	accusationTime = time.Second
	// soundTime is how long a back end that has answered this daemon is not doubted
	// because of others.
	soundTime = 500 * time.Millisecond
	// maximumDoubts bounds the doubts that wait to be told.
	maximumDoubts = 32
)

// FailureReport says that a back end could not be reached, or that another has its address.
type FailureReport struct {
	// Key is the hash of the back end's ID.
	Key uint64
	// Replaced is set when another back end has the address.
	Replaced bool
}

// noteDoubt leaves a doubt to be told. The caller holds the mutex.
func (p *Pool) noteDoubt(found *entry, result Result) {
	if result == ResultUnreachable {
		p.noteFinding(Finding{Key: found.key, Unreached: true})
	}
	told := result == ResultUnreachable || result == ResultReplaced
	if told && len(p.doubts) < maximumDoubts {
		p.doubts = append(p.doubts, FailureReport{Key: found.key, Replaced: result == ResultReplaced})
	}
}

// TakeFailureReports returns what other daemons were not told of yet, and counts it as told.
func (p *Pool) TakeFailureReports() []FailureReport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	doubts := p.doubts
	p.doubts = nil
	return doubts
}

// ReceiveFailureReports takes in what another daemon tells. Who has an address is certain; that
// a back end is out of reach is believed of two daemons, unless it has just answered
// this one.
func (p *Pool) ReceiveFailureReports(now time.Time, from string, doubts []FailureReport) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, doubt := range doubts {
		if found := p.byToldKey(doubt.Key); found != nil {
			found.hear(now, from, doubt)
			p.watched[found] = true
		}
	}
}

func (e *entry) hear(now time.Time, from string, doubt FailureReport) {
	if doubt.Replaced {
		e.eject(now, replacedEjection)
		return
	}
	second := e.accusedBy != "" && e.accusedBy != from && now.Sub(e.accusedAt) <= accusationTime
	e.accusedBy, e.accusedAt = from, now
	e.suspicion.accused = now.Sub(e.heardAt) > soundTime
	if second && now.Sub(e.heardAt) > soundTime {
		e.suspicion.unreached = true
		e.eject(now, shortestEjection)
	}
}
