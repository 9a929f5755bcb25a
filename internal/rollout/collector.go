package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// warmupTime is how long a collector grants nothing after it started or was paused. In this time each daemon
	// sends five reports, with all its evidence and any stop.
	warmupTime = time.Second
	// evaluationInterval is how often the evidence is compared. With 340 daemons that takes a millisecond.
	evaluationInterval = 100 * time.Millisecond
	// maximumReportAge is the age of the last report up to which a daemon counts as heard: it sends five reports
	// in that time.
	maximumReportAge = time.Second
)

// collector pools the reports of all daemons on an order.
type collector struct {
	order uint64
	// began is when the collector started, and readyAt is from when on it has heard enough to decide.
	began, readyAt time.Time
	// daemons are the last reports by address. evidence holds the counts by incarnation: those of earlier
	// incarnations still apply to the version.
	daemons     map[string]*lastReport
	evidence    map[daemonIncarnation]*rollout.Evidence
	changed     bool
	evaluatedAt time.Time
	monitor     rollout.Monitor
	verdict     rollout.Verdict
	// shiftRow is the row of the shift's standing, and shiftSince when this collector learned of it.
	shiftRow   uint64
	shiftSince time.Time
}

// lastReport is the last report of a daemon; see reportMessage.
type lastReport struct {
	incarnation identity.Incarnation
	number      uint64
	heardAt     time.Time
	row         uint64
	underWay    int
	reads       bool
}

// isNewerThan reports whether a report that arrives now was sent before this one. Incarnations are wall-clock
// times, and the clock may be set back: a lower incarnation counts as a restart if nothing was heard for
// maximumReportAge.
func (r *lastReport) isNewerThan(now time.Time, got reportMessage) bool {
	if got.Incarnation == r.incarnation {
		return got.Number < r.number
	}
	return got.Incarnation < r.incarnation && now.Sub(r.heardAt) <= maximumReportAge
}

// daemonIncarnation identifies one incarnation of a daemon.
type daemonIncarnation struct {
	address     string
	incarnation identity.Incarnation
}

// handleReport answers another daemon's report.
func (c *Coordinator) handleReport(_ context.Context, now time.Time, from string, got reportMessage) {
	if got.Stopped {
		c.recordStop(now, got.Service, got.Order, got.Reason, from)
	}
	answer := c.processReport(now, from, got)
	peerlink.Tell(c.options.Link, from, peerlink.KindVersionGrant, &answer)
}

// processReport adds a report to the collector of its order and returns the answer.
func (c *Coordinator) processReport(now time.Time, from string, got reportMessage) grantMessage {
	answer := grantMessage{Service: got.Service, Order: got.Order, Number: got.Number}
	standing := c.options.Directory.Software(got.Service).Standing
	if standing.Row > got.Row {
		answer.Standing = &standing
	}
	found := c.collectors[got.Service]
	if found == nil || found.order < got.Order {
		found = newCollector(now, got.Order)
		c.collectors[got.Service] = found
	}
	if found.order > got.Order {
		return answer
	}
	found.addReport(now, from, got)
	if stop := c.stops[got.Service]; stop != nil && stop.order == got.Order {
		answer.Stopped, answer.Reason = true, stop.reason
	}
	ended := standing.Order > got.Order || (standing.Order == got.Order && standing.Stage.Ended())
	answer.Granted = !answer.Stopped && !ended && !found.verdict.Bad && !c.paused(now) && !now.Before(found.readyAt)
	return answer
}

func newCollector(now time.Time, order uint64) *collector {
	return &collector{
		order: order, began: now, readyAt: now.Add(warmupTime),
		daemons: map[string]*lastReport{}, evidence: map[daemonIncarnation]*rollout.Evidence{},
	}
}

// addReport adds a report. Reports may be delayed or duplicated.
func (c *collector) addReport(now time.Time, from string, got reportMessage) {
	c.mergeEvidence(from, got)
	if last := c.daemons[from]; last != nil && last.isNewerThan(now, got) {
		return
	}
	c.daemons[from] = &lastReport{
		incarnation: got.Incarnation, number: got.Number, heardAt: now,
		row: got.Row, underWay: got.UnderWay, reads: got.Reads,
	}
}

// mergeEvidence merges the evidence of a report.
func (c *collector) mergeEvidence(from string, got reportMessage) {
	key := daemonIncarnation{address: from, incarnation: got.Incarnation}
	counted := c.evidence[key]
	if counted == nil {
		counted = &rollout.Evidence{}
		c.evidence[key] = counted
	}
	counted.MergeCumulative(rollout.Evidence{Routes: got.Routes, StableSample: got.Sample})
	c.changed = c.changed || len(got.Routes) > 0
}

// pooledEvidence returns the sum of the evidence of all daemons.
func (c *collector) pooledEvidence() rollout.Evidence {
	var pooled rollout.Evidence
	for _, counted := range c.evidence {
		pooled.Merge(*counted)
	}
	return pooled
}

// evaluate compares the target of an order with the stable version if this daemon is a collector and has new
// evidence.
func (c *Coordinator) evaluate(now time.Time, service identity.ServiceName, order uint64) {
	found := c.activeCollector(service, order)
	if found == nil || !found.changed || now.Sub(found.evaluatedAt) < evaluationInterval {
		return
	}
	found.changed, found.evaluatedAt = false, now
	pooled := found.pooledEvidence()
	found.verdict = found.monitor.Compare(pooled)
	c.traffic(service).setPooled(order, pooled)
	if found.verdict.Bad {
		c.recordStop(now, service, order, found.verdict.Reason, c.self)
	}
}

// activeCollector returns this daemon's collector of an order; nil if this daemon isn't one of the order's
// collectors.
func (c *Coordinator) activeCollector(service identity.ServiceName, order uint64) *collector {
	found := c.collectors[service]
	if found == nil || found.order != order || !slices.Contains(c.collectorsOf(service, order), c.self) {
		return nil
	}
	return found
}

// setPooled keeps the evidence of all daemons for display to operators.
func (t *traffic) setPooled(order uint64, pooled rollout.Evidence) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.order == order {
		t.pooled = &pooled
	}
}
