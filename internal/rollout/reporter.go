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
	// collectorCount is how many daemons pool the evidence of an order: two of five may be gone.
	collectorCount = 5
	// reportInterval is how often collectors are told. A bad version stops within a few of these;
	// four reports in a row may be lost before grants run out.
	reportInterval = 200 * time.Millisecond
	// grantTime is how long a grant holds, from when the report that it answers was sent: a
	// daemon that hears of no stop exposes nothing after it.
	grantTime = time.Second
	// refreshInterval is how often all evidence is reported: a collector that begins has it all
	// within learningTime. The reports in between have only the routes on which the target has
	// answered since, each newsRepeats times, as reports may be lost.
	refreshInterval = 600 * time.Millisecond
	newsRepeats     = 2
	// reportedBytes bounds the routes of one report. The rest of a datagram of 8 KB is for the
	// sample (300 bytes), a reason, and the other fields. A route takes at most routeBytes and its
	// name, and each of its back ends backendBytes. reportedBackends is how many back ends of a
	// route go into one report.
	reportedBytes    = 6500
	routeBytes       = 50
	backendBytes     = 25
	reportedBackends = 200
)

// reporter is how this daemon reports on an order, and what it was granted.
type reporter struct {
	order, number uint64
	dueAt         time.Time
	said          said
	// sentAt are when the reports of the last grantTime were sent, by number.
	sentAt map[uint64]time.Time
	// grants are until when collectors have granted requests to the target.
	grants  map[string]time.Time
	granted bool
	// told are the routes as they were last reported, and sampledAt is when the sample was.
	told      map[string]toldRoute
	sampledAt time.Time
}

// toldRoute is how a route was last reported.
type toldRoute struct {
	at time.Time
	// answers is the number of the target's answers then, and repeats how often that number was
	// reported.
	answers, repeats int
}

// said is what is reported at once when it changes.
type said struct {
	row     uint64
	idle    bool
	stopped bool
}

// rankings keep the collectors of each service's last order. They are safe for use by several
// goroutines.
type rankings struct {
	mutex     sync.Mutex
	byService map[identity.ServiceName]ranking
}

// ranking holds the collectors of an order among this daemon and the others of a list.
type ranking struct {
	order              uint64
	others, collectors []string
}

// collectorsOf are the daemons that pool the evidence of an order, best first. They are ranked once
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

// report tells the collectors of the order under way what this daemon does, when that is due.
func (c *Coordinator) report(ctx context.Context, now time.Time, believed rollout.Service, service identity.ServiceName, order uint64) {
	reporter := c.reporterOf(service, order)
	c.noteGranted(now, service, believed, reporter)
	// Counted after the row was read, so that a request that was sent by an older row is included.
	underWay := c.options.Backends.InFlightAtOthers(service, targetOf(believed))
	message := reportMessage{
		Service: service, Order: order, Incarnation: c.incarnation,
		Row: believed.Standing.Row, UnderWay: underWay, Reads: c.options.Directory.Reads(),
	}
	if stop := c.stops[service]; stop != nil && stop.order == order {
		message.Stopped, message.Reason = true, stop.reason
	}
	saying := said{row: message.Row, idle: underWay == 0, stopped: message.Stopped}
	if now.Before(reporter.dueAt) && saying == reporter.said {
		return
	}
	reporter.dueAt, reporter.said = now.Add(reportInterval), saying
	reporter.forget(now)
	for _, part := range split(reporter.news(now, c.traffic(service).counted(order))) {
		reporter.number++
		reporter.sentAt[reporter.number] = now
		message.Number, message.Routes, message.Sample = reporter.number, part.Routes, part.StableSample
		c.sendReport(ctx, now, message)
	}
}

// reporterOf returns how this daemon reports on an order.
func (c *Coordinator) reporterOf(service identity.ServiceName, order uint64) *reporter {
	found := c.reporters[service]
	if found == nil || found.order != order {
		found = &reporter{order: order, sentAt: map[uint64]time.Time{}, grants: map[string]time.Time{}, told: map[string]toldRoute{}}
		c.reporters[service] = found
	}
	return found
}

// news is the part of the evidence that is to be told now.
func (r *reporter) news(now time.Time, counted rollout.Evidence) rollout.Evidence {
	var news rollout.Evidence
	if now.Sub(r.sampledAt) >= refreshInterval {
		news.StableSample, r.sampledAt = counted.StableSample, now
	}
	for _, route := range counted.Routes {
		answers, told := route.TargetCounts().Total(), r.told[route.Route]
		if answers == told.answers && told.repeats >= newsRepeats && now.Sub(told.at) < refreshInterval {
			continue
		}
		if answers != told.answers {
			told.repeats = 0
		}
		r.told[route.Route] = toldRoute{at: now, answers: answers, repeats: told.repeats + 1}
		news.Routes = append(news.Routes, route)
	}
	return news
}

// sendReport sends a report to the collectors, of which this daemon may be one.
func (c *Coordinator) sendReport(ctx context.Context, now time.Time, message reportMessage) {
	datagram, fits := c.options.Link.Encode(peerlink.KindVersionReport, &message)
	if !fits {
		c.options.Log.WithFields(logrus.Fields{"service": message.Service, "routes": len(message.Routes)}).Error("A report doesn't fit one datagram.")
		return
	}
	for _, address := range c.collectorsOf(message.Service, message.Order) {
		if address == c.self {
			c.takeGrant(ctx, now, c.self, c.collect(now, c.self, message))
			continue
		}
		c.options.Link.Send(address, datagram)
	}
}

// split divides evidence into parts that fit a datagram. There is one at least.
func split(whole rollout.Evidence) []rollout.Evidence {
	parts, room := []rollout.Evidence{{StableSample: whole.StableSample}}, reportedBytes
	for _, route := range whole.Routes {
		for _, piece := range pieces(route) {
			size := routeBytes + len(piece.Route) + backendBytes*len(piece.Target)
			if size > room {
				parts, room = append(parts, rollout.Evidence{}), reportedBytes
			}
			last := &parts[len(parts)-1]
			last.Routes = append(last.Routes, piece)
			room -= size
		}
	}
	return parts
}

// pieces divides a route's evidence by back ends.
func pieces(route rollout.RouteEvidence) []rollout.RouteEvidence {
	divided := []rollout.RouteEvidence{route}
	for last := 0; len(divided[last].Target) > reportedBackends; last++ {
		all := divided[last].Target
		divided[last].Target = all[:reportedBackends]
		divided = append(divided, rollout.RouteEvidence{Route: route.Route, Target: all[reportedBackends:]})
	}
	return divided
}

// forget forgets reports to which an answer would be worth nothing.
func (r *reporter) forget(now time.Time) {
	for number, at := range r.sentAt {
		if now.Sub(at) > grantTime {
			delete(r.sentAt, number)
		}
	}
}

// takeGrant takes in a collector's answer.
func (c *Coordinator) takeGrant(ctx context.Context, now time.Time, from string, got grantMessage) {
	if got.Standing != nil {
		c.learn(ctx, *got.Standing)
	}
	if got.Stopped {
		c.noteStop(now, got.Service, got.Order, got.Reason, from)
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
	c.traffic(got.Service).allowUntil(got.Order, reporter.until(collectors))
}

// until is until when grants of more than half of the collectors hold.
func (r *reporter) until(collectors []string) time.Time {
	granted := make([]time.Time, 0, len(collectors))
	for _, address := range collectors {
		granted = append(granted, r.grants[address])
	}
	slices.SortFunc(granted, func(left, right time.Time) int { return right.Compare(left) })
	return granted[len(collectors)/2]
}

// noteGranted logs when a trial gains or loses the grants of enough collectors.
func (c *Coordinator) noteGranted(now time.Time, service identity.ServiceName, believed rollout.Service, reporter *reporter) {
	collectors := c.collectorsOf(service, reporter.order)
	until := reporter.until(collectors)
	granted := until.After(now)
	if granted == reporter.granted || believed.Standing.Stage != rollout.StageTrial {
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
