package rollout

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// shareInterval is the shortest time over which the current share of requests is measured.
const shareInterval = 5 * time.Second

// traffic is the state that the goroutines of a service's requests share with the goroutine of Run.
type traffic struct {
	mutex sync.Mutex
	// order is the active order, and row the row of the standing, to which the other fields refer.
	order, row uint64
	// fallback is the stable version while there is no standing. It was selected with respect to the order with
	// the number fallbackOrder, whose target is another version.
	fallback      identity.SoftwareVersion
	fallbackOrder uint64
	fallbackKnown bool
	exposure      *rollout.Exposure
	evidence      rollout.Evidence
	// latency models the stable version's answers, with or without an order.
	latency *rollout.LatencyModel
	// backends are the listed back ends of the target that the trial uses. They are only selected again if the
	// list has changed: with 2,800 back ends the selection takes 0.5 ms, during which requests wait.
	listed, backends []uint64
	// exposeUntil is until when enough collectors have granted requests to the target.
	exposeUntil time.Time
	// stopped is set once the target was found bad, and exposed once it got a request under trial.
	stopped bool
	exposed bool
	// targetIsStable is set if the order targets the stable version, so that there is nothing to compare.
	targetIsStable bool
	// unordered are the versions that serve beside the stable one.
	unordered unorderedVersions
	// sent counts the requests sent during the order, and marks are two earlier snapshots of it.
	sent  sentCounts
	marks [2]mark
	// pooled is the evidence of all daemons, if this one is a collector.
	pooled *rollout.Evidence
}

// sentCounts are the numbers of requests sent to both versions.
type sentCounts struct{ stable, target int }

// mark is a snapshot of the counts.
type mark struct {
	at   time.Time
	sent sentCounts
}

// share returns the target's share (0 to 1) of the requests sent since earlier counts.
func (s sentCounts) share(since sentCounts) float64 {
	stable, target := s.stable-since.stable, s.target-since.target
	if stable+target == 0 {
		return 0
	}
	return float64(target) / float64(stable+target)
}

// traffic returns the traffic of a service, which it makes if needed.
func (c *Coordinator) traffic(service identity.ServiceName) *traffic {
	c.mutex.RLock()
	found := c.trafficByService[service]
	c.mutex.RUnlock()
	if found != nil {
		return found
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.trafficByService[service] == nil {
		c.trafficByService[service] = &traffic{latency: rollout.NewLatencyModel()}
	}
	return c.trafficByService[service]
}

// upToDate reports whether a service without an order needs no work: the traffic matches the state, and there is
// either a standing that the store holds, or no version for which one could be written.
func (t *traffic) upToDate(state rollout.Service) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	unversioned := t.fallbackKnown && t.fallback == ""
	return t.order == 0 && t.row == state.Standing.Row && !state.Lost && (t.row > 0 || unversioned)
}

// synchronize updates a service's traffic to its current state.
func (c *Coordinator) synchronize(now time.Time, service identity.ServiceName, state rollout.Service) {
	order, active := activeOrder(state)
	var listed []uint64
	if state.Standing.Stage == rollout.StageTrial {
		listed = c.options.Backends.KeysOf(service, state.Standing.Target)
	}
	shared := c.traffic(service)
	if changed := shared.resetForOrder(order, state); changed {
		c.metrics.noteStage(service, state.Standing)
	}
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	if state.Standing.Row == 0 {
		shared.updateFallback(state, c.options.Backends.SoftwareVersions(service))
	}
	if active {
		c.prepare(now, shared, rollout.Order{Service: service, Target: state.Standing.Target, Number: order}, listed)
	}
}

// prepare updates the traffic for the active order, with the listed back ends of its target while it is under
// trial. The caller holds the traffic's mutex.
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
	shared.updateMarks(now)
	c.metrics.noteShare(order.Service, shared.sent.share(shared.marks[0].sent))
}

// resetForOrder resets the traffic if the active order has changed. It reports whether the standing has changed.
func (t *traffic) resetForOrder(order uint64, state rollout.Service) (changed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changed = t.row != state.Standing.Row
	t.row = state.Standing.Row
	t.targetIsStable = state.Standing.Target == state.Standing.Stable
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

// updateFallback selects the stable version of a service without a standing. A selected version is kept while it
// is listed, so that orders that arrive before the standing is written don't change which version serves until
// then. The caller holds the mutex.
func (t *traffic) updateFallback(state rollout.Service, listed map[identity.SoftwareVersion]int) {
	var targets []identity.SoftwareVersion
	t.fallbackOrder = 0
	if state.Order != nil {
		targets = append(targets, state.Order.Target)
		t.fallbackOrder = state.Order.Number
	}
	if t.fallback != "" && listed[t.fallback] > 0 {
		return
	}
	t.fallback, t.fallbackKnown = rollout.ChooseStable(listed, targets), len(listed) > 0
}

// updateMarks keeps two earlier snapshots of the counts, for the current share. The caller holds the mutex.
func (t *traffic) updateMarks(now time.Time) {
	if now.Sub(t.marks[1].at) < shareInterval {
		return
	}
	t.marks[0] = t.marks[1]
	t.marks[1] = mark{at: now, sent: t.sent}
}

// exposing reports whether a request may go to the target of an order under trial. The caller holds the mutex.
func (t *traffic) exposing(now time.Time, order uint64) bool {
	return t.order == order && !t.stopped && now.Before(t.exposeUntil) && len(t.backends) > 0
}

// stop ends the exposure of an order's target.
func (t *traffic) stop(order uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.order == order {
		t.stopped = true
	}
}

// stoppedFor reports whether an order's target was found bad.
func (t *traffic) stoppedFor(order uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.order == order && t.stopped
}

// setExposeUntil sets until when the target of an order may get requests.
func (t *traffic) setExposeUntil(order uint64, until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.order == order {
		t.exposeUntil = until
	}
}

// localEvidence returns a copy of this daemon's evidence of an order.
func (t *traffic) localEvidence(order uint64) rollout.Evidence {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var counted rollout.Evidence
	if t.order == order {
		counted.Merge(t.evidence)
	}
	return counted
}
