package rollout

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// collectorCount is the number of daemons that pool the evidence of an order: two of five may fail.
	collectorCount = 5
	// reportInterval is the time between reports to the collectors. A bad version is stopped within a few of
	// these; four reports in a row may be lost before grants expire.
	reportInterval = 200 * time.Millisecond
	// grantTime is how long a grant holds, counted from the sending of the report that it answers: a daemon that
	// misses a stop exposes nothing after it.
	grantTime = time.Second
	// refreshInterval is how often all evidence is reported, so that a new collector has it all within
	// warmupTime. The reports in between only hold the routes with new answers of the target. Each is sent
	// changeRepeats times, as reports may be lost.
	refreshInterval = 600 * time.Millisecond
	changeRepeats   = 2
	// maximumReportBytes bounds the routes of one report. The rest of a datagram of 8 KB is for the sample (300
	// bytes), a reason, and the other fields. A route takes at most routeBytes and its name, and each of its back
	// ends backendBytes. maximumReportBackends bounds the number of a route's back ends in one report.
	maximumReportBytes    = 6500
	routeBytes            = 50
	backendBytes          = 25
	maximumReportBackends = 200
)

// reporter holds the state of this daemon's reports on an order, and the grants that it has received.
type reporter struct {
	order, number uint64
	dueAt         time.Time
	lastState     reportedState
	// sentAt holds when the reports of the last grantTime were sent, by number.
	sentAt map[uint64]time.Time
	// grants holds until when each collector has granted requests to the target.
	grants  map[string]time.Time
	granted bool
	// reportedRoutes are the routes as they were last reported, and sampledAt is when the sample was reported.
	reportedRoutes map[string]reportedRoute
	sampledAt      time.Time
}

// reportedRoute is the state of a route when it was last reported.
type reportedRoute struct {
	at time.Time
	// answers is the reported number of the target's answers, and repeats how often that number was reported.
	answers, repeats int
}

// reportedState is the part of a report that is sent immediately when it changes.
type reportedState struct {
	row     uint64
	idle    bool
	stopped bool
}

// rankings caches the collectors of each service's last order. It is safe for concurrent use.
type rankings struct {
	mutex     sync.Mutex
	byService map[identity.ServiceName]ranking
}

// ranking holds the collectors of an order, selected from this daemon and a list of others.
type ranking struct {
	order              uint64
	others, collectors []string
}

// collectorsOf returns the daemons that pool the evidence of an order, highest rank first. The ranking is cached
// for each list of the others. The result must not be changed.
func (c *Coordinator) collectorsOf(service identity.ServiceName, order uint64) []string {
	others := c.options.Others()
	c.rankings.mutex.Lock()
	defer c.rankings.mutex.Unlock()
	last := c.rankings.byService[service]
	if last.collectors == nil || last.order != order || !peerlink.SameList(last.others, others) {
		last = ranking{order: order, others: others, collectors: c.rank(service, order, others)}
		c.rankings.byService[service] = last
	}
	return last.collectors
}

func (c *Coordinator) rank(service identity.ServiceName, order uint64, others []string) []string {
	key := rendezvous.Key(string(service) + "/" + strconv.FormatUint(order, 10))
	return rendezvous.Top(key, c.withSelf(others), collectorCount)
}

// report sends this daemon's report on the active order to its collectors, if it is due.
func (c *Coordinator) report(ctx context.Context, now time.Time, state rollout.Service, service identity.ServiceName, order uint64) {
	reporter := c.reporterOf(service, order)
	c.logGrants(now, service, state, reporter)
	// Counted after the row was read, so that requests that were sent by an older row are included.
	underWay := c.options.Backends.InFlightOnOtherVersions(service, activeTarget(state))
	message := reportMessage{
		Service: service, Order: order, Incarnation: c.incarnation,
		Row: state.Standing.Row, UnderWay: underWay, Reads: c.options.Directory.Reads(),
	}
	if stop := c.stops[service]; stop != nil && stop.order == order {
		message.Stopped, message.Reason = true, stop.reason
	}
	saying := reportedState{row: message.Row, idle: underWay == 0, stopped: message.Stopped}
	if now.Before(reporter.dueAt) && saying == reporter.lastState {
		return
	}
	reporter.dueAt, reporter.lastState = now.Add(reportInterval), saying
	reporter.dropExpired(now)
	for _, part := range splitEvidence(reporter.unreported(now, c.traffic(service).localEvidence(order))) {
		reporter.number++
		reporter.sentAt[reporter.number] = now
		message.Number, message.Routes, message.Sample = reporter.number, part.Routes, part.StableSample
		c.sendReport(ctx, now, message)
	}
}

// reporterOf returns this daemon's reporter for an order, which it makes if needed.
func (c *Coordinator) reporterOf(service identity.ServiceName, order uint64) *reporter {
	found := c.reporters[service]
	if found == nil || found.order != order {
		found = &reporter{order: order, sentAt: map[uint64]time.Time{}, grants: map[string]time.Time{}, reportedRoutes: map[string]reportedRoute{}}
		c.reporters[service] = found
	}
	return found
}

// unreported returns the part of the evidence that has to be reported now.
func (r *reporter) unreported(now time.Time, counted rollout.Evidence) rollout.Evidence {
	var news rollout.Evidence
	if now.Sub(r.sampledAt) >= refreshInterval {
		news.StableSample, r.sampledAt = counted.StableSample, now
	}
	for _, route := range counted.Routes {
		answers, told := route.TargetCounts().Total(), r.reportedRoutes[route.Route]
		if answers == told.answers && told.repeats >= changeRepeats && now.Sub(told.at) < refreshInterval {
			continue
		}
		if answers != told.answers {
			told.repeats = 0
		}
		r.reportedRoutes[route.Route] = reportedRoute{at: now, answers: answers, repeats: told.repeats + 1}
		news.Routes = append(news.Routes, route)
	}
	return news
}

// sendReport sends a report to the collectors, one of which may be this daemon.
func (c *Coordinator) sendReport(ctx context.Context, now time.Time, message reportMessage) {
	datagram, fits := c.options.Link.Encode(peerlink.KindVersionReport, &message)
	if !fits {
		c.options.Log.WithFields(logrus.Fields{"service": message.Service, "routes": len(message.Routes)}).Error("A report exceeds the size of one datagram.")
		return
	}
	for _, address := range c.collectorsOf(message.Service, message.Order) {
		if address == c.self {
			c.handleGrant(ctx, now, c.self, c.processReport(now, c.self, message))
			continue
		}
		c.options.Link.Send(address, datagram)
	}
}

// splitEvidence splits evidence into one or more parts that each fit into a datagram.
func splitEvidence(whole rollout.Evidence) []rollout.Evidence {
	parts, room := []rollout.Evidence{{StableSample: whole.StableSample}}, maximumReportBytes
	for _, route := range whole.Routes {
		for _, piece := range splitRoute(route) {
			size := routeBytes + len(piece.Route) + backendBytes*len(piece.Target)
			if size > room {
				parts, room = append(parts, rollout.Evidence{}), maximumReportBytes
			}
			last := &parts[len(parts)-1]
			last.Routes = append(last.Routes, piece)
			room -= size
		}
	}
	return parts
}

// splitRoute splits a route's evidence by back ends.
func splitRoute(route rollout.RouteEvidence) []rollout.RouteEvidence {
	divided := []rollout.RouteEvidence{route}
	for last := 0; len(divided[last].Target) > maximumReportBackends; last++ {
		all := divided[last].Target
		divided[last].Target = all[:maximumReportBackends]
		divided = append(divided, rollout.RouteEvidence{Route: route.Route, Target: all[maximumReportBackends:]})
	}
	return divided
}

// dropExpired removes the reports whose grants would have expired.
func (r *reporter) dropExpired(now time.Time) {
	for number, at := range r.sentAt {
		if now.Sub(at) > grantTime {
			delete(r.sentAt, number)
		}
	}
}

// handleGrant processes a collector's answer.
func (c *Coordinator) handleGrant(ctx context.Context, now time.Time, from string, got grantMessage) {
	if got.Standing != nil {
		c.learn(ctx, *got.Standing)
	}
	if got.Stopped {
		c.recordStop(now, got.Service, got.Order, got.Reason, from)
	}
	reporter := c.reporters[got.Service]
	if reporter == nil || reporter.order != got.Order || !got.Granted || !c.membersKnown() {
		return
	}
	sentAt, known := reporter.sentAt[got.Number]
	collectors := c.collectorsOf(got.Service, got.Order)
	if !known || !slices.Contains(collectors, from) {
		return
	}
	if until := sentAt.Add(grantTime); until.After(reporter.grants[from]) {
		reporter.grants[from] = until
	}
	c.traffic(got.Service).setExposeUntil(got.Order, reporter.grantedUntil(collectors))
}

// grantedUntil returns until when the grants of more than half of the collectors hold.
func (r *reporter) grantedUntil(collectors []string) time.Time {
	granted := make([]time.Time, 0, len(collectors))
	for _, address := range collectors {
		granted = append(granted, r.grants[address])
	}
	slices.SortFunc(granted, func(left, right time.Time) int { return right.Compare(left) })
	return granted[len(collectors)/2]
}

// logGrants logs when a trial gains or loses the grants of more than half of the collectors.
func (c *Coordinator) logGrants(now time.Time, service identity.ServiceName, state rollout.Service, reporter *reporter) {
	collectors := c.collectorsOf(service, reporter.order)
	until := reporter.grantedUntil(collectors)
	granted := until.After(now)
	if granted == reporter.granted || state.Standing.Stage != rollout.StageTrial {
		return
	}
	reporter.granted = granted
	log := c.options.Log.WithFields(logrus.Fields{"service": service, "order": reporter.order, "collectors": len(collectors), "until_ms": until.Sub(now).Milliseconds()})
	if granted {
		log.Info("Enough daemons grant requests to the version under trial.")
		return
	}
	log.Warn("Too few daemons grant requests to the version under trial. It gets none.")
}
