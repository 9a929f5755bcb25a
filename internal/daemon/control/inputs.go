package control

import (
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/registry"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// SetDocument puts a configuration document in force.
func (l *Loop) SetDocument(document *dynamic.Document) {
	l.post(documentChanged{document: document})
}

// SetIsolated tells whether the configuration may be out of date.
func (l *Loop) SetIsolated(isolated bool) {
	l.post(isolationChanged{isolated: isolated})
}

// ObserveMachines takes a machine list of the platform.
func (l *Loop) ObserveMachines(list platformwire.MachineList) {
	l.post(machinesListed{list: list})
}

// ObserveKnowledge takes what another daemon knows of the back ends.
func (l *Loop) ObserveKnowledge(knowledge registry.Knowledge) {
	l.post(knowledgeGiven{knowledge: knowledge})
}

// Knowledge returns what this daemon knows of the back ends, for another daemon.
func (l *Loop) Knowledge() registry.Knowledge {
	var knowledge registry.Knowledge
	l.Call(func(now time.Time) { knowledge = l.state.registry.Knowledge(now) })
	return knowledge
}

// ObserveStatus takes a status report of a back end.
func (l *Loop) ObserveStatus(status enginewire.Status) {
	l.post(statusReported{status: status})
}

// ObserveLeaving takes the word of an answer to one of our own requests that a
// back end left at a state version. It is spread to the other daemons.
func (l *Loop) ObserveLeaving(id identity.BackendID, stateVersion uint64) {
	l.post(leavingSeen{id: id, stateVersion: stateVersion})
}

// ObserveCacheEvents takes cache events of an engine. They only correct what is
// believed already, so they go first when the loop falls behind: it returns false
// when the batch was dropped for that.
func (l *Loop) ObserveCacheEvents(backend identity.BackendID, batch enginewire.CacheEventBatch) bool {
	if len(l.inbox) > inboxSize/2 {
		return false
	}
	l.post(cacheEventsSeen{backend: backend, batch: batch})
	return true
}

// Call runs a function on the control goroutine and waits for it. It returns
// false, without running the function, when the loop has stopped.
func (l *Loop) Call(function func(now time.Time)) bool {
	done := make(chan struct{})
	l.post(call{function: function, done: done})
	select {
	case <-done:
		return true
	case <-l.stopped:
		return false
	}
}

// Status returns the newest status report of a back end and when it came. It
// asks the control goroutine: it is for operators' questions, not for traffic.
func (l *Loop) Status(backend identity.BackendID) (status enginewire.Status, heardAt time.Time, found bool) {
	l.Call(func(time.Time) {
		status, heardAt, found = l.state.registry.Status(backend)
	})
	return status, heardAt, found
}
