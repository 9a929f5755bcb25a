package rollout

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// shareInterval is the least time over which the present share of requests is told.
const shareInterval = 5 * time.Second

// traffic is what the goroutines of a service's requests share with the goroutine of Run.
type traffic struct {
	mutex sync.Mutex
	// order is the order under way, and row the standing's, that the rest is of.
	order, row uint64
	// fallback is the stable version while there is no standing, given that the order named by
	// fallbackOrder targets another one.
	fallback      identity.SoftwareVersion
	fallbackOrder uint64
	fallbackKnown bool
	exposure      *rollout.Exposure
	evidence      rollout.Evidence
	// pace is of the stable version's answers, with an order or without one.
	pace *rollout.LatencyModel
	// backends are those of the target's listed ones that the trial uses. They are only chosen
	// anew when the list has changed: of 2,800 that takes 0.5 ms, in which requests wait.
	listed, backends []uint64
	// exposeUntil is until when enough collectors have granted requests to the target.
	exposeUntil time.Time
	// stopped is set once the target was found bad, and exposed once it got a request under trial.
	stopped bool
	exposed bool
	// restating is set where the order targets the stable version: there is nothing to judge.
	restating bool
	// sent counts the sendings of the order, and marks are its last two earlier values.
	sent  sentCounts
	marks [2]mark
	// pooled is the evidence of all daemons, where this one is a collector.
	pooled *rollout.Evidence
}

// sentCounts are the numbers of sendings to both versions.
type sentCounts struct{ stable, target int }

// mark is what was counted up to a time.
type mark struct {
	at   time.Time
	sent sentCounts
}

// share is the target's part (0 to 1) of the sendings since earlier counts.
func (s sentCounts) share(since sentCounts) float64 {
	stable, target := s.stable-since.stable, s.target-since.target
	if stable+target == 0 {
		return 0
	}
	return float64(target) / float64(stable+target)
}

// traffic returns what is shared of a service.
func (c *Coordinator) traffic(service identity.ServiceName) *traffic {
	c.mutex.RLock()
	found := c.traffics[service]
	c.mutex.RUnlock()
	if found != nil {
		return found
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.traffics[service] == nil {
		c.traffics[service] = &traffic{pace: rollout.NewLatencyModel()}
	}
	return c.traffics[service]
}

// settled tells whether a service without an order needs no look: the traffic is that of what is
// believed, and there is a standing that the store holds, or no version of which one could be written.
func (t *traffic) settled(believed rollout.Service) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	unversioned := t.fallbackKnown && t.fallback == ""
	return t.order == 0 && t.row == believed.Standing.Row && !believed.Lost && (t.row > 0 || unversioned)
}

// synchronize makes a service's traffic that of what is believed now.
func (c *Coordinator) synchronize(now time.Time, service identity.ServiceName, believed rollout.Service) {
	order, active := underWay(believed)
	var listed []uint64
	if believed.Standing.Stage == rollout.StageTrial {
		listed = c.options.Backends.KeysOf(service, believed.Standing.Target)
	}
	shared := c.traffic(service)
	if changed := shared.follow(order, believed); changed {
		c.metrics.noteStage(service, believed.Standing)
	}
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	if believed.Standing.Row == 0 {
		shared.learnFallback(believed, c.options.Backends.SoftwareVersions(service))
	}
	if active {
		c.prepare(now, shared, rollout.Order{Service: service, Target: believed.Standing.Target, Number: order}, listed)
	}
}

// prepare makes the traffic ready for the order under way, with the listed back ends of its target
// while it is under trial. The caller holds the traffic's mutex.
func (c *Coordinator) prepare(now time.Time, shared *traffic, order rollout.Order, listed []uint64) {
	if shared.exposure == nil {
		shared.exposure = rollout.NewExposure(c.options.ExposureShare, rand.Float64())
	}
	if stop := c.stops[order.Service]; stop != nil && stop.order == order.Number {
		shared.stopped = true
	}
	if !slices.Equal(shared.listed, listed) {
		shared.listed, shared.backends = listed, nil
		if len(listed) > 0 {
			shared.backends = rollout.TrialBackends(order, listed, c.options.ExposureShare)
		}
	}
	shared.remember(now)
	c.metrics.noteShare(order.Service, shared.sent.share(shared.marks[0].sent))
}

// follow begins anew where the order is another one. It tells whether the standing is.
func (t *traffic) follow(order uint64, believed rollout.Service) (changed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changed = t.row != believed.Standing.Row
	t.row = believed.Standing.Row
	t.restating = believed.Standing.Target == believed.Standing.Stable
	if t.order == order || order == 0 {
		t.order = order
		return changed
	}
	t.order = order
	t.exposure, t.evidence, t.pooled = nil, rollout.Evidence{}, nil
	t.exposeUntil, t.stopped, t.exposed = time.Time{}, false, false
	t.listed, t.backends = nil, nil
	t.sent, t.marks = sentCounts{}, [2]mark{}
	return changed
}

// learnFallback finds the stable version of a service without a standing. One that was found
// stays while it is listed: orders that come before the standing is written don't change which
// version served till then. The caller holds the mutex.
func (t *traffic) learnFallback(believed rollout.Service, listed map[identity.SoftwareVersion]int) {
	var targets []identity.SoftwareVersion
	t.fallbackOrder = 0
	if believed.Order != nil {
		targets = append(targets, believed.Order.Target)
		t.fallbackOrder = believed.Order.Number
	}
	if t.fallback != "" && listed[t.fallback] > 0 {
		return
	}
	t.fallback, t.fallbackKnown = rollout.ChooseStable(listed, targets), len(listed) > 0
}

// remember keeps two earlier counts, for the present share. The caller holds the mutex.
func (t *traffic) remember(now time.Time) {
	if now.Sub(t.marks[1].at) < shareInterval {
		return
	}
	t.marks[0] = t.marks[1]
	t.marks[1] = mark{at: now, sent: t.sent}
}

// exposing tells whether a request of an order may go to its target under trial. The caller
// holds the mutex.
func (t *traffic) exposing(now time.Time, order uint64) bool {
	return t.order == order && !t.stopped && now.Before(t.exposeUntil) && len(t.backends) > 0
}

// stop ends the exposure to an order's target.
func (t *traffic) stop(order uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.order == order {
		t.stopped = true
	}
}

// stoppedFor tells whether an order's target was found bad.
func (t *traffic) stoppedFor(order uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.order == order && t.stopped
}

// allowUntil sets until when requests may go to the target of an order.
func (t *traffic) allowUntil(order uint64, until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.order == order {
		t.exposeUntil = until
	}
}

// counted is a copy of this daemon's evidence of an order.
func (t *traffic) counted(order uint64) rollout.Evidence {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var counted rollout.Evidence
	if t.order == order {
		counted.Merge(t.evidence)
	}
	return counted
}
