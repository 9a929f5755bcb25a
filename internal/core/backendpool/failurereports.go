package backendpool

import "time"

// Parameters of failure reports from other daemons.
const (
	// corroborationWindow is the time within which two daemons must report a back end as unreachable. A single
	// reporter may itself be partitioned.
	corroborationWindow = time.Second
	// recentActivityWindow is how long after a response from a back end reports by other daemons that it is
	// unreachable are ignored.
	recentActivityWindow = 500 * time.Millisecond
	// maxFailureReports bounds the queue of reports to other daemons.
	maxFailureReports = 32
)

// FailureReport tells other daemons that a back end is unreachable, or that another one has its address.
type FailureReport struct {
	// Key is the hash of the back end's ID.
	Key uint64
	// Replaced is set when another back end has the address.
	Replaced bool
}

// queueFailureReport queues a report to other daemons. The caller holds the mutex.
func (p *Pool) queueFailureReport(found *entry, result Result) {
	if result == ResultUnreachable {
		p.queueFinding(Finding{Key: found.key, Unreached: true})
	}
	reportable := result == ResultUnreachable || result == ResultReplaced
	if reportable && len(p.failureReports) < maxFailureReports {
		p.failureReports = append(p.failureReports, FailureReport{Key: found.key, Replaced: result == ResultReplaced})
	}
}

// TakeFailureReports returns the queued reports and clears the queue.
func (p *Pool) TakeFailureReports() []FailureReport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	failureReports := p.failureReports
	p.failureReports = nil
	return failureReports
}

// ReceiveFailureReports processes another daemon's reports. A replaced address is taken as certain. That a back end
// is unreachable is accepted only from two daemons, and only if the back end hasn't just responded to this one.
func (p *Pool) ReceiveFailureReports(now time.Time, from string, failureReports []FailureReport) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, report := range failureReports {
		if found := p.byPeerKey(report.Key); found != nil {
			found.applyFailureReport(now, from, report)
			p.watched[found] = true
		}
	}
}

func (e *entry) applyFailureReport(now time.Time, from string, report FailureReport) {
	if report.Replaced {
		e.eject(now, replacedEjection)
		return
	}
	second := e.lastReporter != "" && e.lastReporter != from && now.Sub(e.lastReportedAt) <= corroborationWindow
	e.lastReporter, e.lastReportedAt = from, now
	e.probeState.reportedDown = now.Sub(e.lastActivityAt) > recentActivityWindow
	if second && now.Sub(e.lastActivityAt) > recentActivityWindow {
		e.probeState.unreachable = true
		e.eject(now, minEjection)
	}
}
