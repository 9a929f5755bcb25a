package control

import (
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/hotprefix"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/registry"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// event is one thing that happened, applied on the control goroutine.
type event interface {
	apply(state *state, now time.Time)
}

// decision answers an arrival.
type decision struct {
	start scheduler.Start
	err   error
}

type arrival struct {
	request scheduler.Request
	reply   chan decision
}

func (e arrival) apply(state *state, now time.Time) {
	if !state.backendsKnown && !state.placeable(&e.request) {
		state.early = append(state.early, e)
		return
	}
	state.waiting[e.request.ID] = e.reply
	state.usage.arrive(now, e.request)
	state.hot.Observe(now, hotprefix.Request{
		Tenant: e.request.Tenant, Model: e.request.Model, Version: e.request.Version, Chain: e.request.Chain,
	})
	if state.sharing != nil {
		tokens := e.request.PromptTokens + e.request.OutputTokens
		used := state.usage.of(e.request.Tenant)
		state.sharing.Sharer.Observe(now, e.request.Tenant, tokens, used.Waiting+used.Running)
	}
	state.act(state.policy.Arrive(now, e.request))
}

// withdrawal is sent when the caller of Schedule went away. The decision may
// have been made just before; then the attempt is finished unused.
type withdrawal struct {
	id    identity.RequestID
	reply chan decision
}

func (e withdrawal) apply(state *state, now time.Time) {
	if state.forgetEarly(e.reply) {
		return
	}
	if state.waiting[e.id] == e.reply {
		delete(state.waiting, e.id)
		state.usage.end(e.id)
		state.act(state.policy.Cancel(now, e.id))
		return
	}
	select {
	case decided := <-e.reply:
		if decided.err == nil {
			unused := scheduler.Finish{RequestID: e.id, Backend: decided.start.Backend.ID}
			state.usage.end(e.id)
			state.act(state.policy.Finish(now, unused))
		}
	default:
	}
}

type firstToken struct{ report scheduler.FirstToken }

func (e firstToken) apply(state *state, now time.Time) {
	state.registry.ObserveAlive(now, e.report.Backend)
	state.act(state.policy.FirstToken(now, e.report))
}

type finish struct{ report scheduler.Finish }

func (e finish) apply(state *state, now time.Time) {
	if !e.report.Failed {
		state.registry.ObserveAlive(now, e.report.Backend)
	}
	state.usage.end(e.report.RequestID)
	state.act(state.policy.Finish(now, e.report))
}

type documentChanged struct{ document *dynamic.Document }

func (e documentChanged) apply(state *state, now time.Time) {
	state.document = e.document
	state.registry.ObserveDocument(e.document)
	state.shareDocument(now)
	state.documentDirty = true
	if state.membership != nil {
		state.membership.Node.SetRevision(e.document.Revision)
	}
	state.refresh(now)
}

type isolationChanged struct{ isolated bool }

func (e isolationChanged) apply(state *state, _ time.Time) {
	state.isolated = e.isolated
	state.publish()
}

type machinesListed struct{ list platformwire.MachineList }

func (e machinesListed) apply(state *state, now time.Time) {
	state.registry.ObserveMachines(now, e.list)
	state.observeListed(now)
	state.refresh(now)
}

// knowledgeGiven is what another daemon knows, for a daemon that starts.
type knowledgeGiven struct{ knowledge registry.Knowledge }

func (e knowledgeGiven) apply(state *state, now time.Time) {
	state.registry.ObservePeerMachines(now, e.knowledge.Machines)
	for _, status := range e.knowledge.Statuses {
		state.registry.ObserveStatus(now, status)
	}
	state.observeListed(now)
	state.refresh(now)
}

type statusReported struct{ status enginewire.Status }

func (e statusReported) apply(state *state, now time.Time) {
	state.registry.ObserveStatus(now, e.status)
	state.policy.ObserveLoad(now, e.status.Backend, e.status.Incarnation, e.status.Load)
	leaving := e.status.State == enginewire.StateLeaving
	state.tellLeaving(now, e.status.Backend, e.status.StateVersion, leaving)
	state.observeWatched(now, e.status)
	state.refresh(now)
}

// leavingSeen is the word of an answer to a request of this daemon.
type leavingSeen struct {
	id           identity.BackendID
	stateVersion uint64
}

func (e leavingSeen) apply(state *state, now time.Time) {
	state.registry.ObserveLeaving(now, e.id, e.stateVersion)
	state.tellLeaving(now, e.id, e.stateVersion, true)
	state.refresh(now)
}

type cacheEventsSeen struct {
	backend identity.BackendID
	batch   enginewire.CacheEventBatch
}

func (e cacheEventsSeen) apply(state *state, now time.Time) {
	known, _, found := state.registry.Status(e.backend)
	if found && known.Incarnation != e.batch.Incarnation {
		return // another life of the engine: its cache is gone, or not known here yet
	}
	state.policy.ObserveCacheEvents(now, e.backend, e.batch)
}

// call runs a function on the control goroutine, for reads of its state and for
// parts that are owned by it.
type call struct {
	function func(now time.Time)
	done     chan struct{}
}

func (e call) apply(_ *state, now time.Time) {
	e.function(now)
	close(e.done)
}
