package relay

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/pause"
)

// Crashes knows under which requests back ends ended, at any daemon.
type Crashes interface {
	// Verdict tells what is believed of a request.
	Verdict(fingerprint quarantine.Fingerprint) quarantine.Status
	// Lost notes that the connection to a back end was lost with a request under way.
	Lost(fingerprint quarantine.Fingerprint, backend identity.BackendID)
	// Served notes that a request had a whole answer.
	Served(fingerprint quarantine.Fingerprint)
}

// reasonQuarantined is the reason of refusals of requests that back ends end of. Sent on, one
// ended 14 back ends in 14 s, and four other requests were cut with each of them (means of 25
// ends, by the logs of seven daemons before twelve back ends).
const reasonQuarantined = "quarantined"

// reasonBackendFailure is the reason where a back end answered that it failed.
const reasonBackendFailure = "backend_failure"

// noCrashes knows of none.
type noCrashes struct{}

func (noCrashes) Verdict(quarantine.Fingerprint) quarantine.Status { return quarantine.Status{} }
func (noCrashes) Lost(quarantine.Fingerprint, identity.BackendID)  {}
func (noCrashes) Served(quarantine.Fingerprint)                    {}

const (
	// certaintyWait is how long it is waited at most until it is known whether a back end that
	// cut the request has ended. One that has refuses the connection, and one that hasn't
	// takes it, within two milliseconds between zones; a silent one is not waited for.
	certaintyWait = 50 * time.Millisecond
	// certaintyCheck is how often it is looked meanwhile.
	certaintyCheck = 2 * time.Millisecond
)

// quarantined tells whether the request may go to no back end any more. Where that hangs on a
// check of a back end, it waits for a moment: of two back ends that cut a request and go on,
// as faulty ones do, none has ended.
func (r *run) quarantined(ctx context.Context) bool {
	crashes, until := r.relay.options.Crashes, r.now().Add(certaintyWait)
	r.verdict = crashes.Verdict(r.admitted.fingerprint)
	for r.verdict.Uncertain && !r.verdict.Quarantined && ctx.Err() == nil && r.now().Before(until) {
		pause.For(ctx, certaintyCheck)
		r.verdict = crashes.Verdict(r.admitted.fingerprint)
	}
	return r.verdict.Quarantined
}

// noteCrash tells how a sending ended for the back end, as far as the request may be to blame.
func (r *run) noteCrash(ticket *backendpool.Ticket, ended failure) {
	fingerprint, crashes := r.admitted.fingerprint, r.relay.options.Crashes
	switch {
	case ended.result == backendpool.ResultCut:
		crashes.Lost(fingerprint, ticket.Backend.ID)
	case ended.result == backendpool.ResultServed, ended.reason == reasonBackendFailure:
		crashes.Served(fingerprint)
	}
}
