package rollout

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/relay"
)

// newChoice returns a choice on the current standing without a version, refused if requests of the service must be
// refused now.
func (c *Coordinator) newChoice(service identity.ServiceName, route string) (relay.VersionChoice, rollout.Service, *traffic) {
	confirmed := c.options.Directory.ConfirmedAt() // read before the state that it confirms
	state := c.options.Directory.Software(service)
	standing, shared := state.Standing, c.traffic(service)
	return relay.VersionChoice{
		Service: service, Route: route, Order: standing.Order, Row: standing.Row, Stage: standing.Stage,
		Refused: c.refuses(c.options.Now(), confirmed, state, shared),
	}, state, shared
}

// Choose implements relay.Versions.
func (c *Coordinator) Choose(service identity.ServiceName, route string, first bool) relay.VersionChoice {
	choice, state, shared := c.newChoice(service, route)
	if choice.Refused {
		return choice
	}
	standing, now := state.Standing, c.options.Now()
	switch {
	case standing.Stage == rollout.StageShift:
		choice.Version = standing.Target
	case standing.Stage == rollout.StageTrial && first && shared.tryExpose(now, &choice):
		choice.Version, choice.Trial = standing.Target, true
	default:
		choice.Version, choice.Beside = c.stableVersion(service, state, shared), shared.besideStable(state)
	}
	if choice.Version == "" {
		// Without a known version any back end may be used, unless one of them may run a target.
		_, active := activeOrder(state)
		choice.Refused, choice.Any = active, !active
	}
	return choice
}

// Continue implements relay.Versions. A stream ends with the version that began it: a version under trial gets no more
// than its exposure, one that was rolled back nothing, and back ends of the versions that a completed order replaced end
// without draining. During a shift the earlier versions still get what they began.
func (c *Coordinator) Continue(service identity.ServiceName, route string, began identity.SoftwareVersion) relay.VersionChoice {
	choice, state, shared := c.newChoice(service, route)
	choice.Version, choice.Continued = began, true
	if choice.Refused {
		return choice
	}
	standing, now := state.Standing, c.options.Now()
	choice.Earlier = standing.Stage == rollout.StageShift && began != standing.Target
	switch {
	case began == c.stableVersion(service, state, shared):
	case began == standing.Target && standing.Stage == rollout.StageShift:
	case began == standing.Target && standing.Stage == rollout.StageTrial:
		choice.Trial = shared.tryExpose(now, &choice)
		choice.Refused = !choice.Trial
	default:
		choice.Refused = !shared.mayContinue(now, state, began)
	}
	return choice
}

// refuses reports whether requests of a service must be refused now. While an order is active, the versions that
// may get requests can change without this daemon's knowledge, and the old back ends end without draining once it
// is completed. A daemon that is cut off from most others may also miss the beginning of an order. The state must
// have been read after the time of its confirmation, confirmed.
func (c *Coordinator) refuses(now, confirmed time.Time, state rollout.Service, shared *traffic) bool {
	number, active := activeOrder(state)
	if now.Sub(confirmed) <= c.options.ConfirmationLimit {
		// A bad version that gets all requests is replaced by the next row.
		return state.Standing.Stage == rollout.StageShift && shared.stoppedFor(number)
	}
	return active || (len(c.options.Others()) > 0 && !c.quorumHeardUntil.after(now))
}

// stableVersion returns the stable version of a service; it is empty if none is known.
func (c *Coordinator) stableVersion(service identity.ServiceName, state rollout.Service, shared *traffic) identity.SoftwareVersion {
	if state.Standing.Stable != "" {
		return state.Standing.Stable
	}
	named := uint64(0)
	if state.Order != nil {
		named = state.Order.Number
	}
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	if !shared.fallbackKnown || shared.fallbackOrder != named {
		shared.updateFallback(state, c.options.Backends.SoftwareVersions(service))
	}
	return shared.fallback
}

// tryExpose takes the credit for one request to the target under trial. It returns false if the target may not
// get the request.
func (t *traffic) tryExpose(now time.Time, choice *relay.VersionChoice) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.exposing(now, choice.Order) || !t.exposure.TryTake(choice.Route) {
		return false
	}
	choice.Backends = t.backends
	return true
}

// StillValid implements relay.Versions.
func (c *Coordinator) StillValid(choice relay.VersionChoice) bool {
	confirmed := c.options.Directory.ConfirmedAt() // read before the state that it confirms
	state := c.options.Directory.Software(choice.Service)
	now, shared := c.options.Now(), c.traffic(choice.Service)
	if state.Standing.Row != choice.Row || c.refuses(now, confirmed, state, shared) {
		return false
	}
	switch {
	case choice.Any:
		_, active := activeOrder(state)
		return !active && c.stableVersion(choice.Service, state, shared) == ""
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

// noteSent counts a request that was sent. It returns true for the first one to a target under trial.
func (t *traffic) noteSent(choice relay.VersionChoice) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.order != choice.Order {
		return false
	}
	if toTarget(choice) {
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

// toTarget reports whether a choice of an active order is for its target.
func toTarget(choice relay.VersionChoice) bool {
	return choice.Trial || (choice.Stage == rollout.StageShift && !choice.Earlier)
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
func (c *Coordinator) Ended(choice relay.VersionChoice, ended relay.AttemptResult) {
	if choice.Any {
		return
	}
	shared := c.traffic(choice.Service)
	if choice.Stage.Ended() {
		shared.mutex.Lock()
		defer shared.mutex.Unlock()
		shared.noteLatency(choice.Route, ended)
		return
	}
	if result, tells := shared.noteEnd(choice, ended); tells {
		c.metrics.noteAnswer(choice, result)
	}
}

// noteLatency adds the time to the first byte of an answer of the stable version. The caller holds the mutex.
func (t *traffic) noteLatency(route string, ended relay.AttemptResult) {
	if ended.Result == backendpool.ResultServed && ended.FirstByte > 0 {
		t.latency.Note(route, ended.FirstByte, ended.Tokens)
	}
}

// noteEnd counts the result of a request. It returns false if the result says nothing about the version.
func (t *traffic) noteEnd(choice relay.VersionChoice, ended relay.AttemptResult) (rollout.Result, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.order != choice.Order || t.targetIsStable {
		return rollout.ResultGood, false
	}
	target := toTarget(choice)
	result, tells := t.classify(choice.Route, ended)
	if !tells {
		return result, false
	}
	t.evidence.Note(target, rollout.Answer{Route: choice.Route, Backend: ended.Backend, Result: result})
	if !target {
		t.noteLatency(choice.Route, ended)
	}
	return result, true
}

// classify derives the result from the end of a request; false if it says nothing about the version. The caller
// holds the mutex.
func (t *traffic) classify(route string, ended relay.AttemptResult) (rollout.Result, bool) {
	slow := ended.FirstByte > 0 && t.latency.Slow(route, ended.FirstByte, ended.Tokens)
	switch {
	case ended.BackendFailed, ended.Result == backendpool.ResultFailed, ended.Result == backendpool.ResultConnectionLost:
		return rollout.ResultBad, true
	case slow && (ended.Result == backendpool.ResultServed || ended.Result == backendpool.ResultAbandoned):
		return rollout.ResultSlow, true
	default:
		return rollout.ResultGood, ended.Result == backendpool.ResultServed
	}
}
