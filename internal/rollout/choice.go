package rollout

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/relay"
)

// Choose implements relay.Versions.
func (c *Coordinator) Choose(service identity.ServiceName, route string, first bool) relay.VersionChoice {
	confirmed := c.options.Directory.ConfirmedAt() // before what it confirms is looked up
	believed := c.options.Directory.Software(service)
	standing := believed.Standing
	choice := relay.VersionChoice{
		Service: service, Route: route, Order: standing.Order, Row: standing.Row, Stage: standing.Stage,
	}
	now, shared := c.options.Now(), c.traffic(service)
	if c.refuses(now, confirmed, believed, shared) {
		choice.Refused = true
		return choice
	}
	switch {
	case standing.Stage == rollout.StageShift:
		choice.Version = standing.Target
	case standing.Stage == rollout.StageTrial && first && shared.take(now, &choice):
		choice.Version, choice.Trial = standing.Target, true
	default:
		choice.Version = c.stable(service, believed, shared)
	}
	if choice.Version == "" {
		// Without a version any back end will do, but not while one of them may be a target.
		_, active := underWay(believed)
		choice.Refused, choice.Any = active, !active
	}
	return choice
}

// refuses tells whether no request of a service may be sent now. While an order is under way, the
// versions that may get requests can change without this daemon's knowing, and once it is completed
// the old back ends end without a drain. The same can begin unseen for who is cut off from
// most others. What is believed must have been looked up after the time of its confirmation.
func (c *Coordinator) refuses(now, confirmed time.Time, believed rollout.Service, shared *traffic) bool {
	number, active := underWay(believed)
	if now.Sub(confirmed) <= c.options.ConfirmationLimit {
		// A bad version to which all requests go is replaced with the next row.
		return believed.Standing.Stage == rollout.StageShift && shared.stoppedFor(number)
	}
	return active || (len(c.options.Others()) > 0 && !c.enoughHeard.after(now))
}

// stable is the stable version of a service; empty where none is known.
func (c *Coordinator) stable(service identity.ServiceName, believed rollout.Service, shared *traffic) identity.SoftwareVersion {
	if believed.Standing.Stable != "" {
		return believed.Standing.Stable
	}
	named := uint64(0)
	if believed.Order != nil {
		named = believed.Order.Number
	}
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	if !shared.fallbackKnown || shared.fallbackOrder != named {
		shared.learnFallback(believed, c.options.Backends.SoftwareVersions(service))
	}
	return shared.fallback
}

// take takes the credit for one request to the target of the choice's order.
func (t *traffic) take(now time.Time, choice *relay.VersionChoice) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.exposing(now, choice.Order) || !t.exposure.TryTake(choice.Route) {
		return false
	}
	choice.Backends = t.backends
	return true
}

// Stands implements relay.Versions.
func (c *Coordinator) Stands(choice relay.VersionChoice) bool {
	confirmed := c.options.Directory.ConfirmedAt() // before what it confirms is looked up
	believed := c.options.Directory.Software(choice.Service)
	now, shared := c.options.Now(), c.traffic(choice.Service)
	if believed.Standing.Row != choice.Row || c.refuses(now, confirmed, believed, shared) {
		return false
	}
	switch {
	case choice.Any:
		_, active := underWay(believed)
		return !active && c.stable(choice.Service, believed, shared) == ""
	case choice.Trial:
		shared.mutex.Lock()
		defer shared.mutex.Unlock()
		return shared.exposing(now, choice.Order)
	default:
		return true
	}
}

// Sent implements relay.Versions.
func (c *Coordinator) Sent(choice relay.VersionChoice) {
	if choice.Stage != rollout.StageTrial && choice.Stage != rollout.StageShift {
		return
	}
	shared := c.traffic(choice.Service)
	if first := shared.noteSent(choice); first {
		c.options.Log.WithFields(logrus.Fields{
			"service": choice.Service, "version": choice.Version, "order": choice.Order, "route": choice.Route, "back_ends": len(choice.Backends),
		}).Info("A version under trial gets its first request from this daemon.")
	}
}

// noteSent counts a sending. It returns true at the first one to a target under trial.
func (t *traffic) noteSent(choice relay.VersionChoice) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.order != choice.Order {
		return false
	}
	if choice.Trial || choice.Stage == rollout.StageShift {
		t.sent.target++
		first := choice.Trial && !t.exposed
		t.exposed = t.exposed || choice.Trial
		return first
	}
	t.sent.stable++
	if t.exposure != nil {
		t.exposure.Earn(choice.Route)
	}
	return false
}

// Dropped implements relay.Versions.
func (c *Coordinator) Dropped(choice relay.VersionChoice) {
	if !choice.Trial {
		return
	}
	shared := c.traffic(choice.Service)
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	if shared.order == choice.Order {
		shared.exposure.Return(choice.Route)
	}
}

// Ended implements relay.Versions.
func (c *Coordinator) Ended(choice relay.VersionChoice, ended relay.SendingEnd) {
	if choice.Any {
		return
	}
	shared := c.traffic(choice.Service)
	if choice.Stage.Ended() {
		shared.mutex.Lock()
		defer shared.mutex.Unlock()
		shared.notePace(choice.Route, ended)
		return
	}
	if result, tells := shared.noteEnd(choice, ended); tells {
		c.metrics.noteAnswer(choice, result)
	}
}

// notePace notes how soon the stable version answered. The caller holds the mutex.
func (t *traffic) notePace(route string, ended relay.SendingEnd) {
	if ended.Result == backendpool.ResultServed && ended.FirstByte > 0 {
		t.pace.Note(route, ended.FirstByte, ended.Tokens)
	}
}

// noteEnd counts how a sending ended, if that tells about the version.
func (t *traffic) noteEnd(choice relay.VersionChoice, ended relay.SendingEnd) (rollout.Result, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.order != choice.Order || t.restating {
		return rollout.ResultGood, false
	}
	target := choice.Trial || choice.Stage == rollout.StageShift
	result, tells := t.classify(choice.Route, ended)
	if !tells {
		return result, false
	}
	t.evidence.Note(target, rollout.Answer{Route: choice.Route, Backend: ended.Backend, Result: result})
	if !target {
		t.notePace(choice.Route, ended)
	}
	return result, true
}

// classify says what an end tells about the version; false where it tells nothing. The caller
// holds the mutex.
func (t *traffic) classify(route string, ended relay.SendingEnd) (rollout.Result, bool) {
	slow := ended.FirstByte > 0 && t.pace.Slow(route, ended.FirstByte, ended.Tokens)
	switch {
	case ended.BackendFailed, ended.Result == backendpool.ResultFailed, ended.Result == backendpool.ResultCut:
		return rollout.ResultBad, true
	case slow && (ended.Result == backendpool.ResultServed || ended.Result == backendpool.ResultAbandoned):
		return rollout.ResultSlow, true
	default:
		return rollout.ResultGood, ended.Result == backendpool.ResultServed
	}
}
