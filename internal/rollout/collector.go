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
	// learningTime is how long a collector grants nothing after it began or was paused: each
	// daemon has sent five reports by then, with all its evidence and any stop.
	learningTime = time.Second
	// judgeInterval is how often evidence is compared. For 340 daemons that takes a millisecond.
	judgeInterval = 100 * time.Millisecond
	// heardTime is how old a daemon's last report may be for it to count as heard: it has sent
	// five in that time.
	heardTime = time.Second
)

// collector pools the evidence of an order.
type collector struct {
	order uint64
	// began is when it began to collect, and trustedFrom is from when on this collector has heard enough to decide.
	began, trustedFrom time.Time
	// daemons are the last reports by address, and evidence is all counts by incarnation: those
	// of a daemon's earlier incarnation still tell about the version.
	daemons  map[string]*reported
	evidence map[countedBy]*rollout.Evidence
	changed  bool
	judgedAt time.Time
	monitor  rollout.Monitor
	verdict  rollout.Verdict
	// shiftRow is the row version of the shift's standing, and shiftSince when this collector
	// learned of it.
	shiftRow   uint64
	shiftSince time.Time
}

// reported is the last report of a daemon; see reportMessage.
type reported struct {
	incarnation identity.Incarnation
	number      uint64
	heardAt     time.Time
	row         uint64
	underWay    int
	reads       bool
}

// isNewerThan tells whether a report that comes now was sent before this one. Incarnations are times
// of day, which may be set back: once nothing was heard for heardTime, a lower one is a restart.
func (r *reported) isNewerThan(now time.Time, got reportMessage) bool {
	if got.Incarnation == r.incarnation {
		return got.Number < r.number
	}
	return got.Incarnation < r.incarnation && now.Sub(r.heardAt) <= heardTime
}

// countedBy names one incarnation of a daemon.
type countedBy struct {
	address     string
	incarnation identity.Incarnation
}

// hearReport answers another daemon's report.
func (c *Coordinator) hearReport(_ context.Context, now time.Time, from string, got reportMessage) {
	if got.Stopped {
		c.noteStop(now, got.Service, got.Order, got.Reason, from)
	}
	answer := c.collect(now, from, got)
	peerlink.Tell(c.options.Link, from, peerlink.KindVersionGrant, &answer)
}

// collect takes in a report and answers it.
func (c *Coordinator) collect(now time.Time, from string, got reportMessage) grantMessage {
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
	found.note(now, from, got)
	if stop := c.stops[got.Service]; stop != nil && stop.order == got.Order {
		answer.Stopped, answer.Reason = true, stop.reason
	}
	ended := standing.Order > got.Order || (standing.Order == got.Order && standing.Stage.Ended())
	answer.Granted = !answer.Stopped && !ended && !found.verdict.Bad && !c.paused(now) && !now.Before(found.trustedFrom)
	return answer
}

func newCollector(now time.Time, order uint64) *collector {
	return &collector{
		order: order, began: now, trustedFrom: now.Add(learningTime),
		daemons: map[string]*reported{}, evidence: map[countedBy]*rollout.Evidence{},
	}
}

// note takes in a report. Reports may come late or twice.
func (c *collector) note(now time.Time, from string, got reportMessage) {
	c.count(from, got)
	if last := c.daemons[from]; last != nil && last.isNewerThan(now, got) {
		return
	}
	c.daemons[from] = &reported{
		incarnation: got.Incarnation, number: got.Number, heardAt: now,
		row: got.Row, underWay: got.UnderWay, reads: got.Reads,
	}
}

// count takes in the evidence of a report.
func (c *collector) count(from string, got reportMessage) {
	key := countedBy{address: from, incarnation: got.Incarnation}
	counted := c.evidence[key]
	if counted == nil {
		counted = &rollout.Evidence{}
		c.evidence[key] = counted
	}
	counted.MergeCumulative(rollout.Evidence{Routes: got.Routes, StableSample: got.Sample})
	c.changed = c.changed || len(got.Routes) > 0
}

// pool adds up the evidence of all daemons.
func (c *collector) pool() rollout.Evidence {
	var pooled rollout.Evidence
	for _, counted := range c.evidence {
		pooled.Merge(*counted)
	}
	return pooled
}

// judge compares the target of an order with the stable version, where this daemon is a
// collector and evidence is new.
func (c *Coordinator) judge(now time.Time, service identity.ServiceName, order uint64) {
	found := c.collecting(service, order)
	if found == nil || !found.changed || now.Sub(found.judgedAt) < judgeInterval {
		return
	}
	found.changed, found.judgedAt = false, now
	pooled := found.pool()
	found.verdict = found.monitor.Compare(pooled)
	c.traffic(service).notePooled(order, pooled)
	if found.verdict.Bad {
		c.noteStop(now, service, order, found.verdict.Reason, c.self)
	}
}

// collecting returns what this daemon has collected of an order; nil where it is no collector.
func (c *Coordinator) collecting(service identity.ServiceName, order uint64) *collector {
	found := c.collectors[service]
	if found == nil || found.order != order || !slices.Contains(c.collectorsOf(service, order), c.self) {
		return nil
	}
	return found
}

// notePooled keeps the evidence of all daemons for operators.
func (t *traffic) notePooled(order uint64, pooled rollout.Evidence) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.order == order {
		t.pooled = &pooled
	}
}
