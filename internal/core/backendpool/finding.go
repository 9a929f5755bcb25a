package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Where hundreds of daemons stand before thousands of back ends, each sends a request to the same one every few hours:
// what one has found out of it no other would ever learn by itself. Each back end has homes among the daemons, which are
// told and asked what is under way there; they keep what others have found out as well.

const (
	// unreachedTime, refusingTime and drainingTime are how long a back end is left out since a home has told why. Who asks
	// again is told again. One that drains does so for seconds before its row is gone.
	unreachedTime = time.Second
	refusingTime  = time.Second
	drainingTime  = 8 * time.Second
	// maximumFindings bounds those that wait to be told.
	maximumFindings = 64
)

// Finding is what a daemon has found out of a back end.
type Finding struct {
	// Key is the hash of the back end's ID.
	Key uint64
	// Unreached: it could not be reached.
	Unreached bool
	// Draining: it said that it drains.
	Draining bool
	// Refusing: it refused requests that its load doesn't explain.
	Refusing bool
}

// IsEmpty tells whether nothing was found out.
func (f Finding) IsEmpty() bool { return !f.Unreached && !f.Draining && !f.Refusing }

// noteFinding leaves a finding to be told. The caller holds the mutex.
func (p *Pool) noteFinding(finding Finding) {
	if len(p.findings) >= maximumFindings {
		return
	}
	p.findings = append(p.findings, finding)
	p.signalChange()
}

// TakeFindings returns what this daemon has found out since the last call.
func (p *Pool) TakeFindings() []Finding {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	findings := p.findings
	p.findings = nil
	return findings
}

// ReceiveFinding takes in, at a home of a back end, what another daemon has found out. That it is out of reach is looked
// into at once: the other one may be cut off itself.
func (p *Pool) ReceiveFinding(now time.Time, finding Finding) {
	if p.takeFinding(now, finding) {
		p.suspected()
	}
}

// takeFinding returns true where the back end is to be probed.
func (p *Pool) takeFinding(now time.Time, finding Finding) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byToldKey(finding.Key)
	if found == nil {
		return false
	}
	if finding.Draining {
		found.told.drainingUntil = now.Add(drainingTime)
	}
	if finding.Refusing {
		found.told.refusingUntil = now.Add(refusingTime)
	}
	return finding.Unreached && p.suspectNow(now, found)
}

// RequestProbe has a back end probed at once, since something else shows that it may be out of reach.
func (p *Pool) RequestProbe(now time.Time, id identity.BackendID) {
	if p.suspectListed(now, id) {
		p.suspected()
	}
}

func (p *Pool) suspectListed(now time.Time, id identity.BackendID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byID[id]
	return found != nil && p.suspectNow(now, found)
}

// suspectNow makes a back end be probed at once, unless it has just answered or is out already. The caller holds the
// mutex.
func (p *Pool) suspectNow(now time.Time, found *entry) bool {
	if found.suspicion.unreached || now.Sub(found.heardAt) <= soundTime {
		return false
	}
	found.suspicion.cutAt = now
	p.watched[found] = true
	return true
}

// FindingOf returns what this daemon has found out of a back end, or was told as its home.
func (p *Pool) FindingOf(now time.Time, key uint64) Finding {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byToldKey(key)
	if found == nil {
		return Finding{Key: key}
	}
	return Finding{
		Key:       key,
		Unreached: found.suspicion.unreached && found.suspicion.own,
		Draining:  found.said.drains() || now.Before(found.told.drainingUntil),
		Refusing:  found.refusals.refusing() || now.Before(found.told.refusingUntil),
	}
}

// ReceiveHomeFindings takes in what homes of back ends know. These are left out for a moment, and used only where no other will do.
func (p *Pool) ReceiveHomeFindings(now time.Time, known []Finding) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, finding := range known {
		found := p.byToldKey(finding.Key)
		if found == nil {
			continue
		}
		var out time.Duration
		if finding.Unreached {
			out = unreachedTime
		}
		if finding.Refusing {
			out = max(out, refusingTime)
		}
		if finding.Draining {
			out = max(out, drainingTime)
		}
		if until := now.Add(out); out > 0 && until.After(found.ejectedUntil) {
			found.ejectedUntil = until
		}
	}
}

// told is what others have found out of a back end, as its home was told.
type told struct {
	drainingUntil, refusingUntil time.Time
}
