package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// With hundreds of daemons and thousands of back ends, a daemon sends a request to any one back end only every few
// hours, so that it would rarely detect a failure by itself. Each back end therefore has homes among the daemons,
// which are told and asked about its load and also collect what other daemons have observed.

const (
	// unreachableHold, refusingHold and drainingHold are how long a back end is avoided after a home has reported
	// why. A daemon that asks again gets the report again. A draining back end is listed for seconds before its row
	// is gone.
	unreachableHold = time.Second
	refusingHold    = time.Second
	drainingHold    = 8 * time.Second
	// maxPendingFindings bounds the queue of findings to report.
	maxPendingFindings = 64
)

// Finding is what a daemon has observed about a back end.
type Finding struct {
	// Key is the hash of the back end's ID.
	Key uint64
	// Unreached is set if no connection could be made.
	Unreached bool
	// Draining is set if it announced that it is draining.
	Draining bool
	// Refusing is set if it refused requests although its load doesn't explain that.
	Refusing bool
}

// IsEmpty reports whether nothing was observed.
func (f Finding) IsEmpty() bool { return !f.Unreached && !f.Draining && !f.Refusing }

// queueFinding queues a finding to be reported. The caller holds the mutex.
func (p *Pool) queueFinding(finding Finding) {
	if len(p.findings) >= maxPendingFindings {
		return
	}
	p.findings = append(p.findings, finding)
	p.signalChange()
}

// TakeFindings returns the queued findings and clears the queue.
func (p *Pool) TakeFindings() []Finding {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	findings := p.findings
	p.findings = nil
	return findings
}

// ReceiveFinding processes another daemon's finding at a home of the back end. A back end reported as unreachable
// is probed at once, since the reporting daemon may itself be partitioned.
func (p *Pool) ReceiveFinding(now time.Time, finding Finding) {
	if p.applyFinding(now, finding) {
		p.onProbeRequested()
	}
}

// applyFinding returns true if the back end is to be probed.
func (p *Pool) applyFinding(now time.Time, finding Finding) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byPeerKey(finding.Key)
	if found == nil {
		return false
	}
	if finding.Draining {
		found.reported.drainingUntil = now.Add(drainingHold)
	}
	if finding.Refusing {
		found.reported.refusingUntil = now.Add(refusingHold)
	}
	return finding.Unreached && p.scheduleProbe(now, found)
}

// RequestProbe schedules an immediate probe of a back end that other evidence suggests is unreachable.
func (p *Pool) RequestProbe(now time.Time, id identity.BackendID) {
	if p.scheduleProbeOf(now, id) {
		p.onProbeRequested()
	}
}

func (p *Pool) scheduleProbeOf(now time.Time, id identity.BackendID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byID[id]
	return found != nil && p.scheduleProbe(now, found)
}

// scheduleProbe schedules an immediate probe unless the back end has just responded or is already known to be
// unreachable. The caller holds the mutex.
func (p *Pool) scheduleProbe(now time.Time, found *entry) bool {
	if found.probeState.unreachable || now.Sub(found.lastActivityAt) <= recentActivityWindow {
		return false
	}
	found.probeState.connectionLostAt = now
	p.watched[found] = true
	return true
}

// FindingOf returns what this daemon has observed about a back end, or was told as its home.
func (p *Pool) FindingOf(now time.Time, key uint64) Finding {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byPeerKey(key)
	if found == nil {
		return Finding{Key: key}
	}
	return Finding{
		Key:       key,
		Unreached: found.probeState.unreachable && found.probeState.observedHere,
		Draining:  found.notices.drains() || now.Before(found.reported.drainingUntil),
		Refusing:  found.refusals.refusing() || now.Before(found.reported.refusingUntil),
	}
}

// ReceiveHomeFindings processes the findings that homes of back ends return. Such back ends are avoided for a
// while, and used only as a last resort.
func (p *Pool) ReceiveHomeFindings(now time.Time, known []Finding) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, finding := range known {
		found := p.byPeerKey(finding.Key)
		if found == nil {
			continue
		}
		var out time.Duration
		if finding.Unreached {
			out = unreachableHold
		}
		if finding.Refusing {
			out = max(out, refusingHold)
		}
		if finding.Draining {
			out = max(out, drainingHold)
		}
		if until := now.Add(out); out > 0 && until.After(found.ejectedUntil) {
			found.ejectedUntil = until
		}
	}
}

// reported holds what other daemons have reported to a home of the back end.
type reported struct {
	drainingUntil, refusingUntil time.Time
}
